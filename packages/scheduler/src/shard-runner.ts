/**
 * One shard on one host: takes part in its ownership, and runs a `ShardOwner` while this host holds the right.
 */
import { createFailure, Err, getShardZone, Ok } from "@waxwingroute/core";
import type { Failure, HostId, IncarnationId, Result } from "@waxwingroute/core";
import { Journal, readJournal } from "@waxwingroute/journal";
import type { JobTable } from "@waxwingroute/journal";
import { OwnershipDriver } from "@waxwingroute/ownership";
import type { OwnershipPeers } from "@waxwingroute/ownership";
import { listShards, listZoneHosts } from "@waxwingroute/settings";
import type { ShardStatus } from "@waxwingroute/transport";
import { MirrorStore } from "./mirror-store.js";
import type { PlacementRight, ShardContext } from "./shard-context.js";
import { ShardGrants } from "./shard-grants.js";
import { ShardOwner } from "./shard-owner.js";

/** Wait between two attempts to open the journal after a takeover without the store, in milliseconds. */
const journalRetryMs = 1_000;

/** Period at which a held right is checked for a service that ended, in milliseconds. */
const serviceCheckMs = 250;
/** Wait between two attempts to complete a recovery, in milliseconds. */
const recoveryRetryMs = 10;

export interface ShardRunnerOptions {
    readonly context: ShardContext;
    readonly peers: OwnershipPeers;
    readonly incarnation: IncarnationId;
}

interface ActiveOwner {
    readonly right: PlacementRight;
    readonly owner: ShardOwner;
    readonly grants: ShardGrants;
}

export class ShardRunner {
    readonly ownership: OwnershipDriver;
    private readonly mirror: MirrorStore;
    private active: ActiveOwner | undefined;
    private servedGeneration: number | undefined;
    private isStopping = false;

    constructor(private readonly options: ShardRunnerOptions) {
        const { context, peers, incarnation } = options;
        const { shard, host, settings, store, clock } = context;
        this.mirror = new MirrorStore({
            store,
            clock,
            prefixes: [`journal/${shard}/`, "grants/"],
            isEnabled: () => this.ownership.getState().known?.record.successor === host,
        });
        this.ownership = new OwnershipDriver({
            shard,
            self: host,
            incarnation,
            hosts: listZoneHosts(settings, getShardZone(shard)).map(place => place.host),
            store,
            clock,
            peers,
            timings: settings.ownership,
            listener: {
                onRightGained: right => void this.serveRight(right),
                onRightLost: generation => this.endService(generation, "right lost"),
                onFault: failure =>
                    context.logger.write("error", "ownership fault", {
                        shard,
                        code: failure.code,
                        error: failure.message,
                    }),
            },
        });
    }

    start(): void {
        this.ownership.start();
        this.mirror.start();
    }

    /** Returns the owner object if this host may serve the shard now. */
    findOwner(): Result<ShardOwner, Failure> {
        const { shard } = this.options.context;
        if (this.active !== undefined && this.active.owner.isRecovered && this.active.right.canPlace()) {
            return Ok(this.active.owner);
        }
        const owner: HostId | undefined = this.ownership.getKnownOwner();
        return Err(
            createFailure(
                "not-owner",
                `this host does not own shard "${shard}"; last known owner: ${owner ?? "none"}`,
                "notRun",
            ),
        );
    }

    tick(now: number): void {
        this.active?.owner.tick(now);
    }

    refreshEndpoints(): void {
        this.active?.owner.refreshEndpoints();
    }

    /** Returns the numbers of the shard for metrics; only the state of ownership when this host does not serve it. */
    collectGauges(): Readonly<Record<string, number>> {
        const { active } = this;
        if (active === undefined) {
            return { can_place: 0 };
        }
        const { workerCount, jobCount, taskCount, waitingCount, ejectedWorkerCount } = active.owner.engine.getSummary();
        const { waiting, running, answered, failed, refused, retries } = active.owner.router.getCounters();
        return {
            can_place: active.right.canPlace() ? 1 : 0,
            workers: workerCount,
            ejected_workers: ejectedWorkerCount,
            jobs: jobCount,
            placed_tasks: taskCount,
            waiting_tasks: waitingCount,
            waiting_requests: waiting,
            running_requests: running,
            answered_requests: answered,
            failed_requests: failed,
            refused_requests: refused,
            retried_requests: retries,
        };
    }

    describe(): ShardStatus {
        const { record } = this.ownership.getState().known ?? {};
        return {
            shard: this.options.context.shard,
            owner: record?.owner,
            epoch: record?.epoch ?? 0,
            mode: this.describeMode(),
            canPlace: this.active?.right.canPlace() ?? false,
        };
    }

    /** Lets work in progress end, hands the shard to its successor and stops. */
    async shutdown(waitMs: number): Promise<void> {
        this.isStopping = true;
        const { clock, shard, logger } = this.options.context;
        const deadline = clock.getNow() + waitMs;
        if (this.active !== undefined) {
            await this.active.owner.stop(waitMs / 2);
            this.active.owner.tracker.journal?.close();
            const isTaken = this.ownership.startHandover();
            while (isTaken && this.servedGeneration !== undefined && clock.getNow() < deadline) {
                await clock.wait(20);
            }
            logger.write("info", "shard handed over", { shard, isTaken });
        }
        this.active?.grants.close();
        this.mirror.stop();
        this.ownership.stop();
    }

    /**
     * Serves a right until it is lost. Begins again when serving ended although the right is still held, for example because
     * a late write of this process's own earlier recovery fenced the journal.
     */
    private async serveRight(
        right: { generation: number; epoch: number; basis: string; waitMs: number; },
    ): Promise<void> {
        const { clock, logger, shard } = this.options.context;
        const { generation, epoch, basis, waitMs } = right;
        const isRightHeld = () => !this.isStopping && this.ownership.getState().right?.generation === generation;
        do {
            try {
                await this.beginService(generation, epoch, basis, waitMs);
            }
            catch (error) {
                logger.write("error", "recovery failed", { shard, epoch, error: String(error) });
                this.endService(generation, "recovery failed");
            }
            while (this.servedGeneration === generation) {
                await clock.wait(serviceCheckMs);
            }
            // What the ended service sent last must arrive before the next recovery lists the workers.
            await clock.wait(waitMs);
        }
        while (isRightHeld());
    }

    private async beginService(generation: number, epoch: number, basis: string, waitMs: number): Promise<void> {
        const { context } = this.options;
        const { shard, clock, logger } = context;
        if (this.active !== undefined) {
            this.endService(this.active.right.generation, "replaced by a newer right");
        }
        this.servedGeneration = generation;
        logger.write("info", "right gained", { shard, epoch, basis, waitMs });
        const gainedAt = clock.getNow();
        const right: PlacementRight = {
            generation,
            epoch,
            canPlace: () => this.servedGeneration === generation && this.ownership.canPlace(),
        };
        // A takeover without the store starts from the copy; the journal follows when the store answers again.
        const copy = basis === "solo" ? await this.readJournalCopy() : undefined;
        const journal = copy === undefined ? await this.openJournal(generation, epoch) : undefined;
        const jobs = copy ?? journal?.getJobs();
        if (this.servedGeneration !== generation || jobs === undefined) {
            return;
        }
        const grants = new ShardGrants({
            context,
            right,
            store: this.mirror,
            shardCount: listShards(context.settings).length,
            onFenced: () => this.endService(generation, "grants fenced"),
        });
        const owner = new ShardOwner({ context, right, grants, journal, journalJobs: jobs.values() });
        this.active = { right, owner, grants };
        void grants.open();
        await this.awaitCatalog(generation);
        await owner.recover();
        await clock.wait(Math.max(0, gainedAt + waitMs - clock.getNow()));
        // Timers can run a fraction of a millisecond early, and the wait is then not over at the first call.
        while (this.servedGeneration === generation && !this.ownership.completeRecovery(generation)) {
            await clock.wait(recoveryRetryMs);
        }
        if (this.servedGeneration === generation) {
            logger.write("info", "shard in service", {
                shard,
                epoch,
                durationMs: Math.round(clock.getNow() - gainedAt),
            });
        }
        if (journal === undefined) {
            const opened = await this.openJournal(generation, epoch);
            if (opened !== undefined && this.servedGeneration === generation) {
                owner.applyJournal(opened);
                logger.write("info", "journal reached after a takeover without the store", { shard, epoch });
            }
        }
    }

    private async readJournalCopy(): Promise<JobTable | undefined> {
        const { shard, logger } = this.options.context;
        const read = await readJournal(this.mirror, shard);
        if (read.err) {
            logger.write("warn", "no copy of the journal", { shard, code: read.val.code, error: read.val.message });
        }
        return read.ok ? read.val.table : undefined;
    }

    private endService(generation: number, reason: string): void {
        if (this.servedGeneration !== generation) {
            return;
        }
        this.servedGeneration = undefined;
        const { shard, logger } = this.options.context;
        logger.write(this.isStopping ? "info" : "warn", "right lost", { shard, reason });
        this.active?.owner.close();
        this.active?.grants.close();
        this.active = undefined;
    }

    private async openJournal(generation: number, epoch: number): Promise<Journal | undefined> {
        const { shard, host, store, clock, random, logger } = this.options.context;
        while (this.servedGeneration === generation) {
            const opened = await Journal.open({
                shard,
                epoch,
                host,
                store,
                clock,
                random,
                onFenced: () => this.endService(generation, "journal fenced"),
                onCheckpointFailed: failure =>
                    logger.write("warn", "journal checkpoint failed", { shard, error: failure.message }),
            });
            if (opened.ok) {
                return opened.val;
            }
            logger.write("warn", "journal cannot be opened", {
                shard,
                code: opened.val.code,
                error: opened.val.message,
            });
            await clock.wait(journalRetryMs);
        }
        return undefined;
    }

    private async awaitCatalog(generation: number): Promise<void> {
        while (this.servedGeneration === generation && !this.options.context.catalog.isLoaded) {
            await this.options.context.clock.wait(50);
        }
    }

    private describeMode(): string {
        const state = this.ownership.getState();
        if (state.right !== undefined) {
            return state.right.isRecovering
                ? "recovering"
                : state.successor.solo !== undefined
                ? "solo"
                : state.owner?.basis ?? "store";
        }
        return state.successor.armed !== undefined ? "armed" : "standby";
    }
}
