/**
 * A host of a cell: serves callers, tracks the configuration, follows the owner, and owns the cell itself while
 * it holds the ownership lease.
 */
import type { Clock, Failure, JobId, NetworkAddress, QueueId, RandomSource, Result, TeamId } from "@waxwingroute/core";
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { isConnectionRefused, RpcServer } from "@waxwingroute/transport";
import type { StreamWriter } from "@waxwingroute/transport";
import type { JobChange, JobSpec, JobState } from "@waxwingroute/workflow";
import { createAdviceGauges } from "./advice-log.js";
import type { Advisor } from "./advisor.js";
import { Announcer } from "./announcer.js";
import { acknowledgementMarginMs, ownerConfirmationMs, readStateMs } from "./call-times.js";
import type { CellMaintenanceOptions } from "./cell-owner.js";
import { CellOwner } from "./cell-owner.js";
import { CellPublisher } from "./cell-publisher.js";
import type { Subscriber } from "./cell-publisher.js";
import type { CellUpdate } from "./cell-service.js";
import { cellService, encodeStates, PeerAdvisor } from "./cell-service.js";
import { ConfigurationTracker } from "./configuration-tracker.js";
import type { CellConfiguration } from "./configuration.js";
import { createCrashGauges } from "./crash-log.js";
import { FallbackStore } from "./fallback-store.js";
import { createHeldTasksGauges } from "./held-tasks-log.js";
import type { QueueTarget } from "./job-gateway.js";
import { gatewayFailures, JobGateway } from "./job-gateway.js";
import { JobIntake } from "./job-intake.js";
import { JobReplica } from "./job-replica.js";
import type { OwnershipTerm } from "./lease-ownership.js";
import { LeaseOwnership } from "./lease-ownership.js";
import { OwnerClient } from "./owner-client.js";
import { PauseMeter } from "./pause-meter.js";
import { PeerDirectory } from "./peer-directory.js";
import type { PlatformCodec } from "./platform-codec.js";
import { decodeJobRecord, parseJobKey, toCancelKey, toJobKey } from "./store-keys.js";
import type { OwnerRecord, PossibleOwner, StoredEpoch } from "./store-keys.js";
import type { LeaseStore, StoreItem, StoreRequest } from "./store.js";
import { storeFailures } from "./store.js";
import type { ExecutorConnector } from "./task-executor.js";
import { createWaitingGauges } from "./waiting-log.js";

/** Dependencies, addresses and limits of a cell host. */
export interface CellHostOptions {
    /** Name of this host. */
    readonly host: string;
    /** At which the other hosts reach this one. */
    readonly address: NetworkAddress;
    /** Addresses of hosts that may be up, for the first contact while the store does not serve this host. */
    readonly seeds: readonly NetworkAddress[];
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly connector: ExecutorConnector;
    readonly advisor: Advisor;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: LogWriter;
    /** Catches the errors of loops and calls that nobody waits for. */
    readonly supervisor: Supervisor;
    /** Longest lease that executors grant, ms. */
    readonly maxLeaseMs: number;
    /** How long the states of finished jobs are kept, ms. */
    readonly retentionMs: number;
    /** Delay of this host's acquisitions, ms, so that other hosts can acquire the cell first. Default 0. */
    readonly acquireDelayMs?: number;
    /** Time to live of this host's ownership lease, ms. Default 1,500. A takeover first waits for its expiry. */
    readonly ownershipLeaseMs?: number;
    /** How long this host sends orders after its ownership lease may have expired, ms. Default 10,000. */
    readonly maxOutageMs?: number;
    /** Longest time from the order to stop a task until it has ended, ms. */
    readonly stopMs: number;
    /** How machines are serviced; absent where the cell does not do that. */
    readonly maintenance?: Omit<CellMaintenanceOptions, "holder">;
    /** Maximum size of the messages that wait for other hosts that read slowly, bytes. Default 64 MiB. */
    readonly maxPeerBacklogBytes?: number;
    /** Called after each direct call to the store, for metrics. */
    readonly onStoreCall?: (operation: StoreRequest["kind"], isAnswered: boolean, tookMs: number) => void;
}

/** Largest request body before a configuration is known, bytes. */
const defaultMaxBodyBytes = 262_144;
/** Retry delay that callers of a starting host are given, ms. */
const startingRetryMs = 500;
/** Retry delay that callers are given while the configuration cannot be confirmed, ms. */
const unconfirmedRetryMs = 1_000;
/** Team of jobs submitted to public queues without a key. */
const publicTeam = toId<TeamId>("public");
/** Upper limit of the store's silence in the gauges, ms. */
const maxReportedSilenceMs = 3_600_000;
/** Pause of this host, as a share of the retention of ended jobs, after which what it reads may be as late as that. */
const longPauseShare = 0.5;
/** Time after such a pause in which submissions are refused, ms: this host reads what arrived during it. */
const wakeMs = 2_000;
/** Longest time for which cancellations of jobs that are not stored are kept, ms; leases of the store end soon after. */
const maxEarlyCancellationMs = 540_000;
/** Timeout of a call that replaces an earlier owner, ms. */
const replaceTimeoutMs = 500;
/** Timeout of a forwarded store request that sets none, ms. */
const forwardedTimeoutMs = 1_000;

/** Answers callers from the state of the cell, and takes part in its ownership. */
export class CellHost extends JobGateway {
    private readonly store: FallbackStore;
    private readonly tracker: ConfigurationTracker;
    private readonly ownership: LeaseOwnership;
    private readonly replica: JobReplica;
    private readonly jobAnnouncer: Announcer;
    /** Apart from the jobs, so that a cancellation waits for none of them. */
    private readonly cancellationAnnouncer: Announcer;
    private readonly intake: JobIntake;
    private readonly publisher: CellPublisher;
    private readonly ownerClient: OwnerClient;
    private readonly server: RpcServer;
    private readonly peers: PeerDirectory;
    private owner: CellOwner | undefined;
    private pendingTerm: OwnershipTerm | undefined;
    /** Set while the pending term waits for the configuration. */
    private confirmation: Promise<void> | undefined;
    private retentionMs: number;
    private readonly pauses: PauseMeter;
    private isTracking = false;
    /** Whether this host has resigned. */
    private isStopping = false;
    private hasStopped = false;
    /** Time at which this host serves others no longer. */
    private servingEndsAt = Infinity;

    constructor(private readonly options: CellHostOptions) {
        super();
        this.retentionMs = options.retentionMs;
        const { address, clock, codec, host, logger, random, supervisor } = options;
        this.pauses = new PauseMeter({ clock, isNeeded: () => !this.hasStopped });
        this.peers = new PeerDirectory(address);
        this.store = new FallbackStore({
            direct: options.store,
            listPeers: () => this.peers.listStores(),
            clock,
            logger,
            supervisor,
            onCall: options.onStoreCall,
        });
        this.replica = new JobReplica({ clock, retentionMs: options.retentionMs });
        const createAnnouncer = () =>
            new Announcer({ clock, supervisor, send: (items, timeoutMs) => this.announce(items, timeoutMs) });
        this.jobAnnouncer = createAnnouncer();
        this.cancellationAnnouncer = createAnnouncer();
        this.intake = new JobIntake({
            store: this.store,
            clock,
            logger,
            supervisor,
            onStored: items => this.addAnnouncements(items),
            earlyCancellationMs: Math.min(options.retentionMs, maxEarlyCancellationMs),
        });
        this.tracker = new ConfigurationTracker({
            store: this.store,
            codec,
            clock,
            logger,
            supervisor,
            onChange: configuration => this.applyConfiguration(configuration),
            getOwnerVersion: () => this.ownerClient.configurationVersion,
        });
        this.publisher = new CellPublisher({
            clock,
            address,
            getStatus: job => this.replica.getStatus(job),
            getConfigurationVersion: () => this.tracker.current?.configuration.version,
        });
        this.ownerClient = new OwnerClient({
            clock,
            logger,
            host,
            address,
            listOpenJobs: () => this.replica.listOpenJobs(),
            onUpdate: update => this.acceptUpdate(update),
            onStates: statuses => statuses.forEach(status => this.replica.record(status, true)),
            onFollowed: jobs => this.replica.markFollowed(jobs),
            onSilent: () => this.ownership.refresh(),
        });
        this.ownership = new LeaseOwnership({
            store: this.store,
            clock,
            random,
            logger,
            supervisor,
            host,
            address,
            incarnation: random.getHex(16),
            isOwnerAlive: () => this.ownerClient.isOwnerAlive,
            acquireDelayMs: options.acquireDelayMs,
            leaseMs: options.ownershipLeaseMs,
            maxOutageMs: options.maxOutageMs,
            listener: {
                onAcquired: (term, isContinued) => this.beginTerm(term, isContinued),
                onLost: () => this.endTerm(),
                onOwnerSeen: (owner, storedEpoch) => this.followOwner(owner, storedEpoch),
            },
        });
        this.server = new RpcServer({ address, maxWaitingBytes: options.maxPeerBacklogBytes });
        this.addService();
        this.addSeeds(options.seeds);
    }

    /**
     * Starts the RPC server and all loops, unless the host is stopped meanwhile. Rejects if the address is taken; then it
     * may be called again. The configuration is read in any case, because callers can be served without the RPC server.
     */
    async start(): Promise<void> {
        if (!this.isTracking) {
            this.isTracking = true;
            this.tracker.start();
            this.pauses.start();
        }
        await this.server.listen();
        if (this.isStopping) {
            return;
        }
        const isStopped = () => this.hasStopped;
        this.ownership.start();
        this.options.supervisor.startLoop({ operation: "owner client", isStopped, run: () => this.ownerClient.run() });
        this.options.supervisor.startLoop({
            operation: "pruning of job states",
            isStopped,
            run: () => this.pruneReplica(),
        });
    }

    /** Adds addresses of hosts that may be up. Those of unknown hosts are forgotten once an owner lists its hosts. */
    addSeeds(seeds: readonly NetworkAddress[]): void {
        seeds.forEach(seed => this.peers.add(seed));
    }

    /** Sets how long the states of jobs that end from now on are kept, ms. */
    setRetention(retentionMs: number): void {
        this.retentionMs = retentionMs;
        this.replica.setRetention(retentionMs);
        this.owner?.setRetention(retentionMs);
    }

    /**
     * Releases the cell. Requests of callers are still answered for `servingMs`, with the help of later owners. Shortly
     * before its end, stored cancellations are acknowledged whether they are confirmed or not.
     */
    async resign(servingMs?: number): Promise<void> {
        this.isStopping = true;
        if (servingMs !== undefined) {
            this.servingEndsAt = this.options.clock.getNow() + servingMs;
            this.options.clock.schedule(
                Math.max(0, servingMs - acknowledgementMarginMs),
                () => this.cancellationAnnouncer.releaseWaiting(),
            );
        }
        await this.ownership.resign();
    }

    /** Ends the other loops and the connections to other hosts. */
    async stop(): Promise<void> {
        this.isStopping = true;
        this.hasStopped = true;
        await this.ownership.stop();
        this.tracker.stop();
        this.ownerClient.close();
        this.jobAnnouncer.close();
        this.cancellationAnnouncer.close();
        this.publisher.close();
        const cut = await this.server.shutdown(100);
        if (cut.length > 0) {
            this.options.logger.write("warn", "calls of other hosts ended", {
                calls: cut.length,
                methods: [...new Set(cut.map(call => call.method))].join(" "),
                oldestMs: Math.round(Math.max(...cut.map(call => call.ageMs))),
            });
        }
        this.peers.close();
    }

    /** Returns the values of the host's gauges. */
    listGauges(): Readonly<Record<string, number>> {
        return {
            is_owner: this.owner === undefined ? 0 : 1,
            epoch: this.ownership.current?.epoch ?? 0,
            open_jobs: this.owner?.jobCount ?? 0,
            commit_backlog: this.owner?.backlog ?? 0,
            renewal_age_ms: Math.round(this.ownership.renewalAgeMs),
            configuration_version: this.tracker.current?.configuration.version ?? 0,
            configuration_age_ms: Math.round(Math.min(this.tracker.ageMs, maxReportedSilenceMs)),
            store_silence_ms: Math.round(Math.min(this.store.silenceMs, maxReportedSilenceMs)),
            known_jobs: this.replica.size,
            unannounced_jobs: this.jobAnnouncer.backlog,
            unannounced_cancellations: this.cancellationAnnouncer.backlog,
            unopened_executors: this.owner?.unopenedExecutorCount ?? 0,
            unreported_loss_ms: Math.round(this.owner?.unreportedLossMs ?? 0),
            ...this.owner?.waitingGauges
                ?? {
                    ...createWaitingGauges(undefined),
                    ...createAdviceGauges(undefined),
                    ...createCrashGauges(),
                    ...createHeldTasksGauges(undefined, 0),
                },
            peer_backlog_bytes: this.server.waitingBytes,
            peer_calls: this.server.openCallCount,
            unexpected_errors: this.options.supervisor.failureCount,
        };
    }

    /** Returns the reasons why callers should use other hosts; empty if there are none. */
    listProblems(): string[] {
        const problems: string[] = [];
        if (this.isStopping) {
            problems.push("stopping");
        }
        if (this.tracker.current === undefined) {
            problems.push("no configuration yet");
        }
        if (this.intake.isInOutage) {
            problems.push("the store cannot be written");
        }
        return problems;
    }

    override confirmConfiguration(): Promise<void> {
        return this.tracker.confirm();
    }

    override resolveQueue(hostName: string, path: string): Result<QueueTarget, Failure> {
        const index = this.tracker.current;
        if (index === undefined) {
            return Err(createFailure(
                gatewayFailures.notConfigured,
                "this host has not read the configuration yet",
                "notRun",
                startingRetryMs,
            ));
        }
        const queue = index.findQueue(hostName, path);
        if (queue === undefined) {
            const message = `no queue serves ${hostName}${path}`;
            return Err(this.createRejection(gatewayFailures.unknownQueue, message, { host: hostName, path }));
        }
        return Ok({ queue: queue.rules.queue, subpath: path.slice(queue.prefix.length), isPublic: queue.isPublic });
    }

    override authorize(target: QueueTarget, key: string | undefined): Result<TeamId, Failure> {
        const team = key === undefined ? undefined : this.tracker.current?.findTeam(key);
        if (team !== undefined) {
            return Ok(team);
        }
        if (target.isPublic) {
            return Ok(publicTeam);
        }
        const message = "the queue requires a key, and the key is missing or belongs to no team";
        return Err(this.createRejection(gatewayFailures.unknownKey, message, {
            queue: target.queue,
            path: target.subpath,
        }));
    }

    /**
     * Rejects a call for its queue or key. A newer configuration may hold them, so a host that cannot confirm its own
     * asks the caller to retry.
     */
    private createRejection(code: string, message: string, fields: Readonly<Record<string, unknown>>): Failure {
        const { current, ageMs, isConfirmed } = this.tracker;
        this.options.logger.write("info", "call rejected", {
            code,
            ...fields,
            version: current?.configuration.version,
            ageMs: Math.round(Math.min(ageMs, maxReportedSilenceMs)),
            isConfirmed,
        });
        return isConfirmed ? createFailure(code, message, "notRun") : createFailure(
            gatewayFailures.unavailable,
            `${message}, by a configuration that this host cannot confirm at present`,
            "notRun",
            unconfirmedRetryMs,
        );
    }

    override getMaxBodyBytes(): number {
        return this.tracker.current?.configuration.maxBodyBytes ?? defaultMaxBodyBytes;
    }

    override async submit(
        target: QueueTarget,
        team: TeamId,
        job: JobId,
        spec: JobSpec,
    ): Promise<Result<void, Failure>> {
        const { clock, logger } = this.options;
        if (this.pauses.hasWokenFrom(this.retentionMs * longPauseShare, wakeMs)) {
            // The submission may have arrived before the pause. Its repetition may have run, ended, and left the store.
            logger.write("warn", "job not accepted", { job, queue: target.queue, team, code: "pause" });
            const message = "this host was paused, so the submission may be late";
            return Err(createFailure(gatewayFailures.unavailable, message, "notRun", startingRetryMs));
        }
        const { queue } = target;
        const known = this.replica.getStatus(job);
        if (known?.team === team) {
            logger.write("info", "job accepted", { job, queue: target.queue, team, outcome: "known" });
            return Ok(undefined);
        }
        const startedAt = clock.getNow();
        const stored = await this.intake.submit(job, {
            kind: "accepted",
            queue: target.queue,
            team,
            acceptedAtWallMs: clock.getWallTime(),
            queueRules: this.tracker.current?.findRules(target.queue),
            queueRulesVersion: this.tracker.current?.configuration.version,
            spec,
        });
        const tookMs = Math.round(clock.getNow() - startedAt);
        if (!stored.ok) {
            const { code, verdict } = stored.val;
            logger.write("info", "job not accepted", { job, queue: target.queue, team, code, verdict, tookMs });
            return Err(stored.val);
        }
        if (stored.val === "cancelled" || stored.val === "taken") {
            logger.write("info", "job not accepted", { job, queue, team, code: stored.val, tookMs });
            return Err(
                stored.val === "cancelled"
                    ? createFailure(
                        gatewayFailures.cancelledJob,
                        "the job was cancelled before it was submitted; use another id for a new job",
                        "notRun",
                    )
                    : createFailure(gatewayFailures.takenId, "the id is taken; use another one", "notRun"),
            );
        }
        this.replica.record({ job, queue, team, state: "queued" });
        logger.write("info", "job accepted", { job, queue: target.queue, team, outcome: stored.val, tookMs });
        return Ok(undefined);
    }

    override async describe(target: QueueTarget, team: TeamId, job: JobId): Promise<Result<JobState, Failure>> {
        const status = await this.findStatus(job);
        if (!status.ok) {
            return Err(status.val);
        }
        const { queue, state, team: jobTeam } = status.val;
        // The team of a job whose end an earlier version stored is not known.
        if (jobTeam === undefined || jobTeam === team || target.isPublic && queue === target.queue) {
            return Ok(state);
        }
        this.options.logger.write("warn", "call for a job of another team", { job, team, queue: target.queue });
        return Err(createUnknownJobFailure(job));
    }

    private async findStatus(job: JobId): Promise<Result<JobChange, Failure>> {
        const { replica } = this;
        const current = this.owner === undefined ? replica.getCurrentStatus(job) : replica.getStatus(job);
        if (current !== undefined) {
            return Ok(current);
        }
        const reported = await this.ownerClient.follow(job);
        // Without an answer of the owner, the last known status is used, though it may be out of date.
        const known = reported ?? replica.getStatus(job);
        return known === undefined ? this.readStatus(job) : Ok(known);
    }

    override async cancel(target: QueueTarget, team: TeamId, job: JobId): Promise<Result<void, Failure>> {
        const state = await this.describe(target, team, job);
        if (!state.ok) {
            return state.val.code === gatewayFailures.unknownJob
                ? this.cancelUnknown(target, team, job)
                : Err(state.val);
        }
        return state.val === "queued" || state.val === "running" ? this.cancelOpen(job) : Ok(undefined);
    }

    /** Makes sure that a job that is not stored will not be: its submission may be on its way. */
    private async cancelUnknown(target: QueueTarget, team: TeamId, job: JobId): Promise<Result<void, Failure>> {
        const stored = await this.intake.cancelEarly(job, team);
        this.options.logger.write("info", "early cancellation", {
            job,
            team,
            outcome: stored.ok ? stored.val : stored.val.code,
        });
        if (!stored.ok) {
            return Err(stored.val);
        }
        if (stored.val === "stored") {
            return Err(createUnknownJobFailure(job));
        }
        // It was stored meanwhile, or it is another team's.
        const read = await this.readStatus(job);
        const state = read.ok ? await this.describe(target, team, job) : read;
        return state.ok ? this.cancelOpen(job) : Err(state.val);
    }

    private async cancelOpen(job: JobId): Promise<Result<void, Failure>> {
        const stored = await this.intake.cancel(job);
        this.options.logger.write("info", "cancellation", {
            job,
            outcome: stored.ok ? "stored" : stored.val.code,
        });
        if (!stored.ok) {
            return Err(stored.val);
        }
        // An owner that does not know the cancellation yet may still start the job.
        const startedAt = this.options.clock.getNow();
        const isConfirmed = await this.cancellationAnnouncer.waitUntilConfirmed(toCancelKey(job), ownerConfirmationMs);
        this.options.logger.write("info", "cancellation acknowledged", {
            job,
            isConfirmed,
            owner: this.owner === undefined ? this.ownerClient.address : this.options.address,
            waitedMs: Math.round(this.options.clock.getNow() - startedAt),
            isStopping: this.isStopping,
        });
        return Ok(undefined);
    }

    override countPending(queue: QueueId): Result<number, Failure> {
        const count = this.replica.getPending(queue);
        return count === undefined
            ? Err(createFailure(
                gatewayFailures.unavailable,
                "this host has not received counts of pending jobs from the owner of the cell yet",
                "notRun",
                startingRetryMs,
            ))
            : Ok(count);
    }

    private async readStatus(job: JobId): Promise<Result<JobChange, Failure>> {
        const listed = await this.store.call({ kind: "list", prefix: toJobKey(job) }, readStateMs);
        if (!listed.ok) {
            return Err(createFailure(gatewayFailures.unavailable, listed.val.message, "notRun", startingRetryMs));
        }
        const item = listed.val.items.find(candidate => candidate.key === toJobKey(job));
        const record = item === undefined ? undefined : decodeJobRecord(item.value);
        if (record === undefined || !record.ok) {
            return Err(createUnknownJobFailure(job));
        }
        const isCancelled = listed.val.items.some(candidate => candidate.key === toCancelKey(job));
        const { queue, team } = record.val;
        const state = record.val.kind === "finished" ? record.val.state : isCancelled ? "cancelled" : "queued";
        const status = { job, queue, team, state };
        this.replica.record(status);
        return Ok(status);
    }

    private applyConfiguration(configuration: CellConfiguration): void {
        this.owner?.applyConfiguration(configuration);
        // The answer to an old read may be out of date too.
        if (this.confirmation === undefined) {
            this.openOwner();
        }
    }

    private beginTerm(term: OwnershipTerm, isContinued: boolean): void {
        this.ownerClient.setOwner(undefined);
        this.intake.recordEpoch(term);
        if (isContinued && this.owner !== undefined) {
            this.owner.setTerm(term);
            return;
        }
        this.pendingTerm = term;
        // A continued term does not prolong the wait.
        if (this.confirmation === undefined) {
            const confirmation = this.tracker.confirmForOwner();
            this.confirmation = confirmation;
            this.options.supervisor.start("start of the owner", {}, () => this.openConfirmedOwner(confirmation));
        }
    }

    /** Opens the owner once the configuration is confirmed: this host may have been paused or cut off before. */
    private openConfirmedOwner(confirmation: Promise<void>): Promise<void> {
        return confirmation.finally(() => {
            if (this.confirmation === confirmation) {
                this.confirmation = undefined;
                this.openOwner();
            }
        });
    }

    /** Opens the owner for the pending term, unless there is none or it is open. */
    private openOwner(): void {
        const configuration = this.tracker.current?.configuration;
        const term = this.pendingTerm;
        if (configuration === undefined || term === undefined || this.owner !== undefined) {
            return;
        }
        const { advisor, clock, codec, connector, host, logger, maintenance, supervisor } = this.options;
        const owner = new CellOwner({
            store: this.store,
            codec,
            connector,
            clock,
            logger,
            supervisor,
            term,
            configuration,
            maxLeaseMs: this.options.maxLeaseMs,
            retentionMs: this.retentionMs,
            stopMs: this.options.stopMs,
            ownership: this.ownership,
            askToStop: owner => this.askToStop(owner, term.epoch),
            maintenance: maintenance === undefined ? undefined : { ...maintenance, holder: host },
            listener: {
                onChanges: changes => this.publish(changes),
                onPending: counts => {
                    this.replica.recordPending(counts);
                    this.publisher.publishPending(counts);
                },
                onFenced: reason => this.ownership.recordFenced(reason),
                onConflict: () => this.options.supervisor.start("ownership check", {}, () => this.ownership.verify()),
            },
        });
        owner.addAdviceHost({ name: host, advisor });
        this.owner = owner;
        owner.start();
    }

    private async askToStop({ address }: PossibleOwner, epoch: number): Promise<boolean> {
        const client = address === undefined ? undefined : this.peers.add(address);
        if (address === undefined || client === undefined) {
            return false;
        }
        const answered = await client.call(cellService.replaceOwner, { epoch }, replaceTimeoutMs);
        return answered.ok || await isConnectionRefused(address, replaceTimeoutMs);
    }

    private endTerm(): void {
        this.pendingTerm = undefined;
        this.confirmation = undefined;
        this.owner?.close();
        this.owner = undefined;
        this.publisher.close();
    }

    private publish(changes: readonly JobChange[]): void {
        changes.forEach(change => this.replica.record(change));
        this.publisher.publishChanges(changes);
    }

    private addAnnouncements(items: readonly StoreItem[]): void {
        const isCancellation = ({ key }: StoreItem) => parseJobKey(key).isCancel;
        this.cancellationAnnouncer.add(items.filter(isCancellation));
        this.jobAnnouncer.add(items.filter(item => !isCancellation(item)));
    }

    /** Sends items to the owner of the cell, which may be this host. Returns whether it has applied them. */
    private async announce(items: readonly StoreItem[], timeoutMs: number): Promise<boolean> {
        return this.owner === undefined
            ? this.ownerClient.announce(items, timeoutMs)
            : this.owner.acceptAnnounced(items);
    }

    private followOwner(owner: OwnerRecord | undefined, storedEpoch: StoredEpoch): void {
        this.intake.recordEpoch(storedEpoch);
        if (owner !== undefined) {
            this.ownerClient.setOwner(owner.address === this.options.address ? undefined : owner.address);
        }
    }

    private acceptUpdate(update: CellUpdate): void {
        if (update.pending !== undefined) {
            this.replica.recordPending(new Map(update.pending));
        }
        if (update.peers !== undefined) {
            this.peers.replace(update.peers);
        }
        this.options.supervisor.start("configuration refresh", {}, () => this.tracker.refresh());
    }

    private addService(): void {
        this.server.addService(cellService, {
            subscribe: (subscriber, writer) => this.acceptSubscriber(subscriber, writer),
            announce: async ({ host, items }) => {
                if (this.owner?.acceptAnnounced(items) !== true) {
                    return createNotOwnerResult();
                }
                const jobs = items.map(item => parseJobKey(item.key).job);
                return Ok({ states: encodeStates(this.publisher.follow(host, jobs)) });
            },
            follow: async ({ host, jobs }) =>
                this.owner === undefined
                    ? createNotOwnerResult()
                    : Ok({ states: encodeStates(this.publisher.follow(host, jobs)) }),
            replaceOwner: async ({ epoch }) => {
                this.ownership.recordSuccessor(epoch);
                return Ok({});
            },
            ask: async ({ step, executors, timeoutMs }) => {
                if (!this.canServe(timeoutMs)) {
                    return Err(createFailure("peer-unreachable", "the host is stopping", "notRun"));
                }
                const answered = await this.options.advisor.ask(step, executors, timeoutMs);
                return answered.map(grants => ({ grants: [...grants] }));
            },
            callStore: async ({ request, timeoutMs }) => {
                if (!this.store.isDirectlyReachable) {
                    const message = "the forwarding host has no access to the store either";
                    return Err(createFailure(storeFailures.unavailable, message, "notRun"));
                }
                const limitMs = timeoutMs ?? forwardedTimeoutMs;
                if (!this.canServe(request.kind === "watch" ? limitMs + request.waitMs : limitMs)) {
                    return Err(createFailure(storeFailures.unavailable, "the host is stopping", "notRun"));
                }
                const answered = await this.options.store.call(request, limitMs);
                return answered;
            },
        });
    }

    /** Whether a call of another host that takes up to this time would end before this host. */
    private canServe(timeoutMs: number): boolean {
        return this.options.clock.getNow() + timeoutMs <= this.servingEndsAt;
    }

    private acceptSubscriber(subscriber: Subscriber, writer: StreamWriter<CellUpdate>): void {
        const { address, host, jobs } = subscriber;
        const owner = this.owner;
        const client = this.peers.add(address);
        if (owner === undefined || client === undefined) {
            writer.end();
            return;
        }
        const adviceHost = { name: host, advisor: new PeerAdvisor(client) };
        this.publisher.addSubscriber(subscriber, writer);
        owner.addAdviceHost(adviceHost);
        this.options.logger.write("info", "host follows this owner", { follower: host, address, jobs: jobs.length });
        // The host may subscribe again before this stream closes.
        writer.onClose(() => owner.removeAdviceHost(adviceHost));
    }

    private async pruneReplica(): Promise<void> {
        while (!this.hasStopped) {
            await this.options.clock.wait(1_000);
            this.replica.prune();
        }
    }
}

function createUnknownJobFailure(job: JobId): Failure {
    return createFailure(gatewayFailures.unknownJob, `no job has the id ${job}`, "notRun");
}

function createNotOwnerResult(): Result<never, Failure> {
    return Err(createFailure("not-owner", "this host does not own the cell", "notRun"));
}
