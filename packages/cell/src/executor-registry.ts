/**
 * The executors of the cell: reads their entries from the store, keeps a session for each, and tells the scheduler which
 * ones can take work.
 *
 * An executor gets work only while the roster in the store names it as one that can hold any run, so that the next owner
 * knows where runs may be, also on executors whose entries have expired. One that leaves or does not answer is stored with
 * the tasks that it may still hold, so that the next owner keeps back only these.
 */
import { toId, zeroResources } from "@waxwingroute/core";
import type { Clock, ExecutorId, ZoneId } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { ExecutorState, PoolId, TaskKey, WorkflowScheduler } from "@waxwingroute/workflow";
import { ExecutorSession } from "./executor-session.js";
import type { SessionListener } from "./executor-session.js";
import type { PlatformCodec } from "./platform-codec.js";
import { encodeRoster, rosterKey } from "./store-keys.js";
import type { RosterEntry } from "./store-keys.js";
import type { LeaseStore, StoreItem, StoreWrite } from "./store.js";
import { listAll } from "./store.js";
import type { ExecutorConnector, ExecutorEntry } from "./task-executor.js";

export interface ExecutorRegistryOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly connector: ExecutorConnector;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly scheduler: WorkflowScheduler;
    readonly listener: SessionListener;
    readonly fencingToken: number;
    readonly maxLeaseMs: number;
    /** Stores the roster and calls back once it is stored. */
    readonly storeRoster: (write: StoreWrite, onStored: () => void) => void;
    /** The set of executors or their states changed. */
    readonly onChange: () => void;
}

/** Stands for an executor that only the roster names: it takes no work, but runs can be charged to it. */
const unknownExecutor = {
    pool: toId<PoolId>(""),
    zone: toId<ZoneId>(""),
    rack: undefined,
    labels: [],
    capacity: zeroResources,
};

interface ExecutorRecord {
    readonly executor: ExecutorId;
    readonly address: string;
    readonly session: ExecutorSession;
    /** The newest entry; `undefined` if only the roster names the executor. */
    entry: ExecutorEntry | undefined;
    /** Earliest time at which the executor leaves; `undefined` unless it drains. */
    leavesAt: number | undefined;
    /** Time by which it should run nothing, because its machine is to be serviced. */
    emptyBy: number | undefined;
    isGone: boolean;
    /** What the stored roster says of it. */
    stored: Enrolment;
}

/** `absent`: not named. `open`: can hold any run. Otherwise the tasks that it can hold. */
type Enrolment = "absent" | "open" | readonly TaskKey[];

interface Inherited {
    readonly session: ExecutorSession;
    readonly tasks: readonly TaskKey[] | undefined;
}

/** Time between reads of the entries, ms; well below the bound for stopping work on a leaving executor. */
const pollMs = 600;
/** Time after an outage of the store before a missing entry counts, ms: entries are back within about two seconds. */
const returnGraceMs = 2_500;
/** Reads without an answer for longer than this count as an outage, ms. */
const outageMs = 1_500;

export class ExecutorRegistry {
    private readonly records = new Map<ExecutorId, ExecutorRecord>();
    /** Executors that an earlier owner used, with the tasks that they may hold if these are known. */
    private readonly inherited = new Map<ExecutorId, Inherited>();
    private readonly malformed = new Set<string>();
    private isClosed = false;
    private lastReadAt: number;
    private trustMissingAt = 0;
    private fencingToken: number;

    constructor(private readonly options: ExecutorRegistryOptions) {
        this.lastReadAt = options.clock.getNow();
        this.fencingToken = options.fencingToken;
    }

    /** Opens sessions for the executors that an earlier owner may have used. */
    adoptRoster(roster: readonly RosterEntry[]): void {
        for (const { executor, address, tasks } of roster) {
            const record = this.openRecord(executor, address);
            record.stored = tasks ?? "open";
            record.isGone = true;
            this.inherited.set(executor, { session: record.session, tasks });
            this.updateScheduler(executor);
        }
    }

    /** Reads the entries until `close`. */
    async run(): Promise<void> {
        while (!this.isClosed) {
            await this.refresh();
            await this.options.clock.wait(pollMs);
        }
    }

    close(): void {
        this.isClosed = true;
        this.records.forEach(record => record.session.close());
    }

    getSession(executor: ExecutorId): ExecutorSession | undefined {
        return this.records.get(executor)?.session;
    }

    /**
     * Returns the tasks that may still run under an earlier owner's order; `undefined` while that can be any task, because
     * an executor that could hold any has neither answered nor lost its leases.
     */
    listUnsettledTasks(): readonly TaskKey[] | undefined {
        const tasks: TaskKey[] = [];
        for (const [executor, { session, tasks: held }] of this.inherited) {
            if (session.isSettled) {
                this.inherited.delete(executor);
            }
            else if (held === undefined) {
                return undefined;
            }
            else {
                tasks.push(...held);
            }
        }
        return tasks;
    }

    setFencingToken(token: number): void {
        this.fencingToken = token;
        this.records.forEach(record => record.session.setFencingToken(token));
    }

    /** Sets by when an executor should run nothing; `undefined`: it can take work again. */
    planEvacuation(executor: ExecutorId, emptyBy: number | undefined): void {
        const record = this.records.get(executor);
        if (record !== undefined) {
            record.emptyBy = emptyBy;
            this.updateScheduler(executor);
            this.options.onChange();
        }
    }

    /** Brings the scheduler's row of an executor and the roster up to date after its session changed. */
    refreshExecutor(executor: ExecutorId): void {
        this.updateScheduler(executor);
        this.updateRoster();
    }

    private updateScheduler(executor: ExecutorId): void {
        const record = this.records.get(executor);
        if (record === undefined) {
            return;
        }
        const { pool, zone, rack, labels, capacity } = record.entry ?? unknownExecutor;
        const state = this.getState(record);
        const { leavesAt, emptyBy } = record;
        this.options.scheduler.updateExecutor({
            executor,
            pool,
            zone,
            rack,
            labels,
            capacity,
            state,
            leavesAt,
            emptyBy,
        });
    }

    /** Reads the entries once. */
    async refresh(): Promise<void> {
        const { clock, codec, store } = this.options;
        const listed = await listAll(store, codec.executorPrefix);
        const now = clock.getNow();
        if (!listed.ok || this.isClosed) {
            return;
        }
        if (now - this.lastReadAt > outageMs) {
            this.trustMissingAt = now + returnGraceMs;
        }
        this.lastReadAt = now;
        this.applyEntries(listed.val.items, now >= this.trustMissingAt);
    }

    private applyEntries(items: readonly StoreItem[], areMissingGone: boolean): void {
        const seen = new Set<ExecutorId>();
        for (const item of items) {
            const decoded = this.options.codec.decodeExecutor(item);
            if (decoded.ok) {
                seen.add(decoded.val.executor);
                this.applyEntry(decoded.val);
            }
            else if (!this.malformed.has(item.key)) {
                this.malformed.add(item.key);
                const reason = decoded.val.message;
                this.options.logger.write("warn", "executor entry skipped", { key: item.key, reason });
            }
        }
        if (areMissingGone) {
            this.markMissing(seen);
        }
        this.updateRoster();
        this.options.onChange();
    }

    private applyEntry(entry: ExecutorEntry): void {
        const record = this.openRecord(entry.executor, entry.address);
        const wasDraining = record.entry?.isDraining;
        if (record.entry === undefined || wasDraining !== entry.isDraining) {
            this.options.logger.write("info", "executor seen", {
                executor: entry.executor,
                pool: entry.pool,
                isDraining: entry.isDraining,
                remainingMs: entry.remainingMs,
            });
        }
        record.entry = entry;
        record.leavesAt = this.computeLeave(record, entry);
        record.isGone = false;
        this.updateScheduler(entry.executor);
    }

    /** Returns the earliest time of the leave; an entry is read up to `pollMs` late, and again until it changes. */
    private computeLeave(record: ExecutorRecord, entry: ExecutorEntry): number | undefined {
        if (!entry.isDraining || entry.remainingMs === undefined) {
            return undefined;
        }
        const leavesAt = this.options.clock.getNow() + entry.remainingMs - pollMs;
        return Math.min(leavesAt, record.leavesAt ?? Infinity);
    }

    private markMissing(seen: ReadonlySet<ExecutorId>): void {
        for (const record of this.records.values()) {
            if (seen.has(record.executor)) {
                continue;
            }
            if (!record.isGone) {
                this.options.logger.write("info", "executor entry gone", { executor: record.executor });
                record.isGone = true;
                this.updateScheduler(record.executor);
            }
            const { scheduler } = this.options;
            const isIdle = scheduler.listRuns(record.executor).length === 0;
            if (isIdle && record.session.isSettled && !record.session.isReachable) {
                record.session.close();
                this.records.delete(record.executor);
                scheduler.removeExecutor(this.options.clock.getNow(), record.executor);
            }
        }
    }

    /** Brings the stored roster up to date; executors that become open can take work once it is stored. */
    private updateRoster(): void {
        const changed = new Map<ExecutorRecord, Enrolment>();
        for (const record of this.records.values()) {
            const wanted = this.computeEnrolment(record);
            if (!isSameEnrolment(record.stored, wanted)) {
                changed.set(record, wanted);
            }
        }
        if (changed.size === 0) {
            return;
        }
        for (const [record, wanted] of changed) {
            // A closed entry takes effect here at once and an open one only when it is stored.
            if (wanted !== "open") {
                record.stored = wanted;
            }
        }
        this.storeRoster(changed, () => {
            for (const [record, wanted] of changed) {
                if (wanted === "open" && this.computeEnrolment(record) === "open") {
                    record.stored = "open";
                    this.updateScheduler(record.executor);
                }
            }
            this.options.onChange();
        });
    }

    private computeEnrolment(record: ExecutorRecord): Enrolment {
        const isUsable = record.entry !== undefined && !record.isGone && !record.entry.isDraining
            && record.session.isReachable;
        if (isUsable) {
            return "open";
        }
        if (!record.session.isSettled) {
            return record.stored;
        }
        const tasks = this.options.scheduler.listRuns(record.executor).map(run => run.task);
        return tasks.length === 0 ? "absent" : tasks;
    }

    private storeRoster(changed: ReadonlyMap<ExecutorRecord, Enrolment>, onStored: () => void): void {
        const roster: RosterEntry[] = [];
        for (const record of this.records.values()) {
            const { executor, address } = record;
            const enrolment = changed.get(record) ?? record.stored;
            if (enrolment === "open") {
                roster.push({ executor, address });
            }
            else if (enrolment !== "absent") {
                roster.push({ executor, address, tasks: enrolment });
            }
        }
        this.options.storeRoster({ key: rosterKey, value: encodeRoster(roster) }, onStored);
    }

    private openRecord(executor: ExecutorId, address: string): ExecutorRecord {
        const existing = this.records.get(executor);
        if (existing !== undefined && existing.address === address) {
            return existing;
        }
        if (existing !== undefined) {
            // The same id at another address is another life of the executor, which holds nothing of before.
            existing.session.close();
            this.inherited.delete(executor);
            this.options.listener.onRunsLost(executor, "executor restarted at another address");
        }
        const { clock, connector, listener, logger, maxLeaseMs } = this.options;
        const session = new ExecutorSession({
            executor,
            client: connector.open({ executor, address }),
            clock,
            logger,
            listener,
            fencingToken: this.fencingToken,
            maxLeaseMs,
            needsFrequentListings: id => this.options.scheduler.needsFrequentReports(id),
        });
        const record: ExecutorRecord = {
            executor,
            address,
            session,
            entry: undefined,
            leavesAt: undefined,
            emptyBy: undefined,
            isGone: false,
            stored: "absent",
        };
        this.records.set(executor, record);
        void session.run();
        return record;
    }

    private getState(record: ExecutorRecord): ExecutorState {
        if (!record.session.isReachable) {
            return "unreachable";
        }
        const isLeaving = record.isGone || record.stored !== "open" || record.entry?.isDraining === true
            || record.emptyBy !== undefined;
        return isLeaving ? "leaving" : "ready";
    }
}

function isSameEnrolment(first: Enrolment, second: Enrolment): boolean {
    if (typeof first === "string" || typeof second === "string") {
        return first === second;
    }
    // Tasks that have ended since make the stored list longer than needed, which only costs a later owner some time.
    return second.every(task => first.includes(task));
}
