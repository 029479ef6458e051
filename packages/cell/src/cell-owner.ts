/**
 * The owner of a cell: recovers the state that earlier owners stored, follows the jobs that hosts accept, runs the
 * scheduler and carries out its decisions.
 *
 * Tasks of jobs accepted before the takeover start only once no executor of the roster can still run them by an order
 * of an earlier owner: each has listed its runs, or all leases that it can hold have expired. Tasks of newer jobs start
 * at once.
 */
import type { Clock, ExecutorId, Failure, QueueId, Result } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type {
    AdviceGrant,
    AdviceSendResult,
    EndSource,
    JobChange,
    ListedRun,
    RunEnd,
    SchedulerRules,
    StepKey,
    TaskKey,
} from "@waxwingroute/workflow";
import { parseTaskKey, WorkflowScheduler } from "@waxwingroute/workflow";
import type { AdviceHost } from "./advice-dispatcher.js";
import { AdviceDispatcher } from "./advice-dispatcher.js";
import { AdviceLog } from "./advice-log.js";
import type { CellConfiguration } from "./configuration.js";
import { CrashLog } from "./crash-log.js";
import type { StoredEnd } from "./end-acknowledgements.js";
import { computeLongestGrant } from "./executor-leases.js";
import { ExecutorRegistry } from "./executor-registry.js";
import type { SessionListener } from "./executor-session.js";
import { HeldTasksLog } from "./held-tasks-log.js";
import type { HeldTasks } from "./held-tasks-log.js";
import { JobFeed } from "./job-feed.js";
import type { OwnershipTerm } from "./lease-ownership.js";
import type { MachineManager } from "./machine-manager.js";
import { MaintenanceDriver } from "./maintenance-driver.js";
import { OrderSender } from "./order-sender.js";
import type { OwnerAuthorityOptions } from "./owner-authority.js";
import { OwnerAuthority } from "./owner-authority.js";
import { OwnerJobs } from "./owner-jobs.js";
import { OwnerJournal } from "./owner-journal.js";
import type { JobEvent, StoredCell } from "./owner-recovery.js";
import { readRoster, readStoredCell } from "./owner-recovery.js";
import type { PlatformCodec } from "./platform-codec.js";
import { rosterKey } from "./store-keys.js";
import type { LeaseStore, StoreItem } from "./store.js";
import type { ExecutorConnector } from "./task-executor.js";
import type { LostRun } from "./tracked-run.js";
import { WaitingLog } from "./waiting-log.js";

/** Dependencies, term and limits of a cell owner. */
export interface CellOwnerOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly connector: ExecutorConnector;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    readonly term: OwnershipTerm;
    readonly configuration: CellConfiguration;
    /** Longest lease that executors grant, ms. */
    readonly maxLeaseMs: number;
    /** How long the states of finished jobs are kept, ms. */
    readonly retentionMs: number;
    /** Longest time from the order to stop a task until it has ended, ms. */
    readonly stopMs: number;
    /** See `OwnerAuthorityOptions`. */
    readonly ownership: OwnerAuthorityOptions["ownership"];
    readonly askToStop: OwnerAuthorityOptions["askToStop"];
    /** How machines are serviced; absent where the cell does not do that. */
    readonly maintenance?: CellMaintenanceOptions;
    readonly listener: OwnerListener;
}

/** How the owner services machines. */
export interface CellMaintenanceOptions {
    readonly machines: MachineManager;
    /** Name of this host, which its orders carry. */
    readonly holder: string;
    /** See `MaintenanceDriverOptions.ownerChangeMs`. */
    readonly ownerChangeMs: number;
}

/** Receives what the owner reports. */
export interface OwnerListener {
    /** The states of jobs changed, and callers can be told. */
    onChanges(changes: readonly JobChange[]): void;
    /** Reports the number of jobs without a started task by queue, at a fixed interval. */
    onPending(counts: ReadonlyMap<QueueId, number>): void;
    /** An executor or a machine has seen a later fencing token. */
    onFenced(reason: string): void;
    /** The owner key or the epoch of a job is not that of the term, so another host may own the cell. */
    onConflict(): void;
}

/**
 * Lease of the runs on an executor, ms. It outlasts a lost renewal together with a takeover, and it bounds how long the
 * tasks of a lost executor wait before they can start elsewhere.
 */
const executorLeaseMs = 4_500;
/** Delay from an event to the tick that decides on it, ms; events in between share the tick. */
const tickDelayMs = 5;
/** Interval of ticks without an event, ms. */
const idleTickMs = 100;
/** Interval of reports of pending jobs, ms; with the interval of heartbeats, half of the age that callers accept. */
const pendingReportMs = 500;
/** Pause after a failed read, ms. */
const retryMs = 150;

/** Schedules the jobs of the cell while this host owns it. */
export class CellOwner implements SessionListener {
    private readonly scheduler: WorkflowScheduler;
    private readonly journal: OwnerJournal;
    private readonly registry: ExecutorRegistry;
    private readonly advice: AdviceDispatcher;
    private readonly orders: OrderSender;
    private readonly jobs: OwnerJobs;
    private readonly feed: JobFeed;
    private readonly maintenance: MaintenanceDriver | undefined;
    private readonly authority: OwnerAuthority;
    private readonly adviceLog: AdviceLog;
    private readonly waitingLog: WaitingLog;
    private readonly crashLog: CrashLog;
    private readonly heldTasksLog: HeldTasksLog;
    private configuration: CellConfiguration;
    private isClosed = false;
    private isRecovered = false;
    private isTickScheduled = false;
    /** Whether tasks that an earlier owner may have started can start, except those of executors with unknown runs. */
    private hasReleasedTasks = false;
    /** Whether these exceptions can start too. */
    private isReleaseComplete = false;
    private deferredActions: (() => void)[] = [];
    private readonly startedAt: number;
    private epoch: number;

    constructor(private readonly options: CellOwnerOptions) {
        const { clock, connector, codec, logger, store, supervisor, term, maxLeaseMs, retentionMs } = options;
        this.startedAt = clock.getNow();
        this.epoch = term.epoch;
        this.configuration = options.configuration;
        this.scheduler = new WorkflowScheduler({ stopMs: options.stopMs, leaseMs: maxLeaseMs });
        this.scheduler.setEpoch(term.epoch);
        this.scheduler.applyRules(toRules(options.configuration));
        this.journal = new OwnerJournal({
            store,
            clock,
            logger,
            supervisor,
            term,
            retentionMs,
            onConflict: () => options.listener.onConflict(),
            onExpired: job => this.jobs.forgetExpired(job),
        });
        const { askToStop, ownership } = options;
        this.authority = new OwnerAuthority(
            {
                clock,
                logger,
                supervisor,
                journal: this.journal,
                ownership,
                askToStop,
                confirmExecutors: () => this.registry.confirmExecutors(),
            },
            term,
        );
        this.jobs = new OwnerJobs({
            scheduler: this.scheduler,
            journal: this.journal,
            clock,
            logger,
            firstEpoch: term.epoch,
            onLaterEpoch: () => options.listener.onConflict(),
            hasReleasedTasks: () => this.hasReleasedTasks,
            onChanges: changes => options.listener.onChanges(changes),
            onSchedulingNeeded: () => this.requestTick(),
        });
        this.feed = new JobFeed({
            store,
            clock,
            logger,
            supervisor,
            onEvent: (event, path) => this.jobs.applyEvent(event, path),
            onFullRead: events => this.jobs.applyFullRead(events),
        });
        this.registry = new ExecutorRegistry({
            store,
            codec,
            connector,
            clock,
            logger,
            supervisor,
            scheduler: this.scheduler,
            listener: this,
            fencingToken: term.epoch,
            maxLeaseMs: Math.min(maxLeaseMs, executorLeaseMs),
            stopMs: options.stopMs,
            longestLeaseMs: maxLeaseMs,
            authority: this.authority,
            isPoolKnown: pool => this.configuration.pools.has(pool) || this.scheduler.isPoolUsed(pool),
            storeRoster: (write, onStored) => this.journal.recordWrite(write, onStored),
            onChange: () => this.requestTick(),
        });
        this.orders = new OrderSender({
            logger,
            supervisor,
            getSession: executor => this.registry.getSession(executor),
            onThrottleUnconfirmed: ({ executor, task, run }) =>
                this.scheduler.recordThrottleUnconfirmed(executor, task, run),
        });
        this.advice = new AdviceDispatcher({
            clock,
            logger,
            supervisor,
            onAnswer: (step, candidates, grants) => this.acceptAdvice(step, candidates, grants),
        });
        this.adviceLog = new AdviceLog({
            dispatcher: this.advice,
            clock,
            logger,
            canOrder: () => this.authority.canOrder,
        });
        this.waitingLog = new WaitingLog({
            scheduler: this.scheduler,
            clock,
            logger,
            onSample: sample => {
                this.adviceLog.record(sample);
                this.crashLog.sample();
                this.heldTasksLog.sample();
            },
        });
        this.crashLog = new CrashLog({ scheduler: this.scheduler, clock, logger });
        this.heldTasksLog = new HeldTasksLog({ clock, logger, describeHeldTasks: () => this.describeHeldTasks() });
        this.maintenance = options.maintenance === undefined ? undefined : this.createMaintenance(options.maintenance);
    }

    private createMaintenance(maintenance: CellMaintenanceOptions): MaintenanceDriver {
        const { clock, codec, listener, logger, ownership, store, supervisor } = this.options;
        return new MaintenanceDriver({
            ...maintenance,
            store,
            codec,
            clock,
            logger,
            supervisor,
            getFencingToken: () => this.epoch,
            isLeaseValid: () => ownership.isLeaseValid,
            countRuns: executor => this.scheduler.listRuns(executor).length,
            planEvacuation: (executor, emptyBy) => this.registry.planEvacuation(executor, emptyBy),
            storeValue: (write, revision, onStored) => {
                if (revision !== undefined) {
                    this.journal.setRevision(write.key, revision);
                }
                this.journal.recordWrite(write, onStored);
            },
            onFenced: reason => listener.onFenced(reason),
        });
    }

    /** Whether no task is held back any more because an earlier owner may have started it. */
    get hasReleasedAllTasks(): boolean {
        return this.isReleaseComplete;
    }

    /** Number of records that are not stored yet. */
    get backlog(): number {
        return this.journal.backlog;
    }

    /** Number of executors that could take work and wait until the stored roster lists them. */
    get unopenedExecutorCount(): number {
        return this.registry.unopenedCount;
    }

    /** Longest time for which runs have stayed charged to an executor that holds them no longer, ms. */
    get unreportedLossMs(): number {
        return this.registry.unreportedLossMs;
    }

    /**
     * Number of steps that could start and do not, by the name of the gauge of their reason, and the gauges of the calls
     * to the advisor, of crashes, and of tasks that are held back after a takeover.
     */
    get waitingGauges(): Readonly<Record<string, number>> {
        return {
            ...this.waitingLog.gauges,
            ...this.adviceLog.gauges,
            ...this.crashLog.gauges,
            ...this.heldTasksLog.gauges,
        };
    }

    /** Number of jobs in the scheduler. */
    get jobCount(): number {
        return this.scheduler.jobCount;
    }

    /** Recovers the state of the cell and then schedules until `close`. */
    start(): void {
        this.startLoop("recovery of the cell", () => this.run());
        this.authority.start();
    }

    private async run(): Promise<void> {
        const { clock, logger, store } = this.options;
        const [roster, stored] = await Promise.all([
            this.retry(() => readRoster(store, logger)).then(read => {
                this.journal.setRevision(rosterKey, read?.revision ?? 0);
                this.registry.adoptRoster(read?.entries ?? []);
                return read;
            }),
            this.retry(() => readStoredCell(store, logger)),
            this.registry.refresh(),
        ]);
        // The answers may arrive after the owner was closed.
        if (roster === undefined || stored === undefined || this.isClosed) {
            return;
        }
        const readAt = clock.getNow();
        this.restore(stored);
        logger.write("info", "cell recovered", {
            epoch: this.options.term.epoch,
            jobs: this.scheduler.jobCount,
            finished: this.jobs.finishedCount,
            batches: stored.batches.length,
            executors: roster.entries.length,
            readMs: Math.round(readAt - this.startedAt),
        });
        this.registry.start();
        this.startLoop("idle ticks", () => this.tickWhenIdle());
        this.startLoop("log of waiting steps", () => this.waitingLog.run());
        this.startLoop("count of pending jobs", () => this.reportPending());
        this.startLoop("maintenance", () => this.maintenance?.run() ?? Promise.resolve());
        this.startLoop("job feed", () => this.feed.run(stored.storeRevision));
    }

    private startLoop(operation: string, run: () => Promise<void>): void {
        this.options.supervisor.startLoop({ operation, isStopped: () => this.isClosed, run });
    }

    /** Stops all loops; records that are not stored yet are dropped. */
    close(): void {
        this.isClosed = true;
        this.authority.close();
        this.feed.close();
        this.maintenance?.close();
        this.waitingLog.close();
        this.journal.close();
        this.registry.close();
    }

    /** Continues in a new term of this host; no other host has owned the cell since the previous one. */
    setTerm(term: OwnershipTerm): void {
        this.epoch = term.epoch;
        this.journal.setTerm(term);
        this.jobs.setEpoch(term.epoch);
        this.registry.setFencingToken(term.epoch);
        this.authority.setTerm(term);
    }

    /** Sets how long records of jobs that finish from now on are kept, ms. */
    setRetention(retentionMs: number): void {
        this.journal.setRetention(retentionMs);
    }

    /** Applies the rules of a newer configuration. */
    applyConfiguration(configuration: CellConfiguration): void {
        this.configuration = configuration;
        this.scheduler.applyRules(toRules(configuration));
        this.requestTick();
    }

    /** Adds a host through which the advisor can be asked. */
    addAdviceHost(host: AdviceHost): void {
        this.advice.addHost(host);
    }

    /** Removes a host through which the advisor could be asked, unless it was added again since. */
    removeAdviceHost(host: AdviceHost): void {
        this.advice.removeHost(host);
    }

    onReachable(executor: ExecutorId): void {
        this.registry.refreshExecutor(executor);
        this.releaseHeldTasks();
        this.requestTick();
    }

    onUnreachable(executor: ExecutorId): void {
        this.registry.refreshExecutor(executor);
    }

    onRunsLost(executor: ExecutorId, reason: string, source: EndSource): void {
        this.runAfterRecovery(() => {
            const lost = this.scheduler.listRuns(executor).length;
            this.options.logger.write("warn", "runs lost", { executor, reason, source, runs: lost });
            this.scheduler.recordRunsLost(this.options.clock.getNow(), executor, source);
            this.releaseHeldTasks();
            this.requestTick();
        });
    }

    onStarted(executor: ExecutorId, task: TaskKey, run: number): void {
        this.runAfterRecovery(() => this.scheduler.recordStarted(this.options.clock.getNow(), executor, task, run));
    }

    onRunning(executor: ExecutorId, run: ListedRun): void {
        this.runAfterRecovery(() => this.scheduler.recordRunning(this.options.clock.getNow(), executor, run));
    }

    onEnded(end: RunEnd, source: EndSource, acknowledge?: (stored: StoredEnd) => void): void {
        this.runAfterRecovery(() => this.acceptEnd(end, source, acknowledge));
    }

    onUntrackedRun(executor: ExecutorId, run: ListedRun): boolean {
        if (!this.isRecovered) {
            this.runAfterRecovery(() => this.adoptOrStopRun(executor, run));
            return true;
        }
        return this.adoptRun(executor, run);
    }

    onCrash(executor: ExecutorId, runs: readonly LostRun[]): void {
        this.crashLog.recordCrash(executor, runs);
        // A probe that was the only suspect explains the crash.
        if (!runs.some(({ isProbe, outcome }) => isProbe && outcome === "crashed")) {
            const losses = runs.filter(({ isListed, outcome }) => isListed && outcome === "lost");
            this.runAfterRecovery(() => this.scheduler.recordLateLosses(losses));
        }
    }

    onFenced(executor: ExecutorId): void {
        // The host may own the cell again by now, with a later token.
        if (!this.isClosed) {
            this.options.listener.onFenced(`executor ${executor} has seen a later fencing token`);
        }
    }

    /** Runs the action once the scheduler holds what earlier owners stored. */
    private runAfterRecovery(action: () => void): void {
        if (this.isRecovered) {
            action();
        }
        else {
            this.deferredActions.push(action);
        }
    }

    private adoptOrStopRun(executor: ExecutorId, run: ListedRun): void {
        if (!this.adoptRun(executor, run)) {
            this.registry.getSession(executor)?.startStop(run.task, run.run);
        }
    }

    private adoptRun(executor: ExecutorId, run: ListedRun): boolean {
        const now = this.options.clock.getNow();
        const isAdopted = this.scheduler.adoptRun(now, executor, run);
        if (!isAdopted) {
            this.scheduler.adoptRunToStop(now, executor, run);
        }
        const { task } = run;
        this.options.logger.write("info", "run taken over", { executor, task, run: run.run, isAdopted });
        return isAdopted;
    }

    private acceptEnd(
        end: RunEnd,
        source: EndSource,
        acknowledge: ((stored: StoredEnd) => void) | undefined,
    ): void {
        const now = this.options.clock.getNow();
        const isTaskKnown = this.scheduler.recordEnd(now, end, source);
        this.scheduler.takeGivenUpJobs().forEach(job => this.crashLog.recordGivenUp(job));
        this.options.logger.write("info", "run ended", {
            executor: end.executor,
            task: end.task,
            run: end.run,
            outcome: end.outcome,
            source,
            sequence: end.sequence,
            isTaskKnown: isTaskKnown ? undefined : false,
        });
        const job = parseTaskKey(end.task)?.job;
        if (this.jobs.isEndStored(job)) {
            acknowledge?.({});
            this.jobs.forgetFinished(job);
        }
        else if (acknowledge !== undefined || end.outcome === "crashed" || end.outcome === "suspected") {
            // The executor does not list crashes, so the next owner knows only those that are stored.
            this.journal.recordEnd(end, acknowledge ?? (() => {}));
        }
        this.requestTick();
    }

    private restore(stored: StoredCell): void {
        const events = [...stored.jobs].sort((first, second) => first.revision - second.revision);
        events.filter(event => event.kind === "record").forEach(event => this.applyStored(event));
        const now = this.options.clock.getNow();
        this.scheduler.openDueOccurrences(now, this.options.clock.getWallTime());
        for (const { key, ends } of stored.batches) {
            ends.forEach(end => {
                this.options.supervisor.run(
                    "stored end",
                    { key, task: end.task },
                    () => this.scheduler.recordEnd(now, end, "storedEnd"),
                );
            });
            this.journal.adoptBatch(key, ends, job => this.scheduler.getJobState(job) !== undefined);
        }
        events.filter(event => event.kind === "cancel").forEach(event => this.applyStored(event));
        this.isRecovered = true;
        const actions = this.deferredActions;
        this.deferredActions = [];
        actions.forEach(action => this.options.supervisor.run("event during the recovery", {}, action));
        this.releaseHeldTasks();
        this.requestTick();
    }

    private applyStored(event: JobEvent): void {
        this.options.supervisor.run("stored job", { job: event.job }, () => this.jobs.applyEvent(event, "recovery"));
    }

    /**
     * Accepts jobs and cancellations that a host has just stored; the watch would deliver them later. Returns `false` if
     * they are ignored, because the cell is still being recovered.
     */
    acceptAnnounced(items: readonly StoreItem[]): boolean {
        return this.feed.acceptAnnounced(items);
    }

    /** Allows the start of tasks that no executor can still run by an order of an earlier owner. */
    private releaseHeldTasks(): void {
        if (this.isReleaseComplete || !this.isRecovered) {
            return;
        }
        const possiblyRunning = this.registry.listPossiblyRunningTasks();
        if (possiblyRunning === undefined) {
            return;
        }
        this.hasReleasedTasks = true;
        this.isReleaseComplete = possiblyRunning.length === 0;
        const now = this.options.clock.getNow();
        const released = this.scheduler.releaseUnknownTasks(new Set(possiblyRunning), now);
        this.jobs.forgetAllFinished();
        this.options.logger.write("info", this.isReleaseComplete ? "all executors settled" : "executors settled", {
            sinceAcquiredMs: Math.round(now - this.startedAt),
            released,
            keptBack: possiblyRunning.length,
        });
    }

    private describeHeldTasks(): HeldTasks | undefined {
        if (!this.isRecovered || this.isReleaseComplete) {
            return undefined;
        }
        return {
            executors: this.registry.listUnsettledExecutors(),
            earlierEpochs: this.authority.earlierEpochs,
            endsAt: this.authority.earlierOrdersEndAt + computeLongestGrant(this.options.maxLeaseMs),
        };
    }

    private requestTick(): void {
        if (!this.isTickScheduled && this.isRecovered && !this.isClosed) {
            this.isTickScheduled = true;
            this.options.clock.schedule(tickDelayMs, () => {
                this.isTickScheduled = false;
                this.options.supervisor.run("tick", {}, () => this.tick());
            });
        }
    }

    private async tickWhenIdle(): Promise<void> {
        while (!this.isClosed) {
            await this.options.clock.wait(idleTickMs);
            this.registry.reportConfirmedLosses();
            this.releaseHeldTasks();
            this.scheduler.openDueOccurrences(this.options.clock.getNow(), this.options.clock.getWallTime());
            this.requestTick();
        }
    }

    private async reportPending(): Promise<void> {
        while (!this.isClosed) {
            this.options.listener.onPending(this.scheduler.countPending());
            await this.options.clock.wait(pendingReportMs);
        }
    }

    private tick(): void {
        if (this.isClosed) {
            return;
        }
        if (!this.authority.check()) {
            return;
        }
        const now = this.options.clock.getNow();
        const { starts, stops, throttles, changes } = this.scheduler.tick(now);
        this.orders.send({ starts, stops, throttles });
        this.jobs.recordChanges(changes);
        this.askAdvice(now);
    }

    private askAdvice(now: number): void {
        const results = new Set<AdviceSendResult>();
        this.scheduler.sendAdviceRequests(now, request => {
            const rules = this.scheduler.getQueueRules(request.queue)?.advice;
            const result = rules === undefined ? "postponed" : this.advice.send(request, rules);
            results.add(result);
            return result;
        });
        this.advice.statistics.recordRound(results);
    }

    private acceptAdvice(
        step: StepKey,
        candidates: readonly ExecutorId[],
        grants: Result<readonly AdviceGrant[], Failure>,
    ): void {
        const now = this.options.clock.getNow();
        this.scheduler.recordAdvice(now, step, candidates, grants.ok ? grants.val : undefined);
        this.requestTick();
    }

    private async retry<T>(action: () => Promise<Result<T, Failure>>): Promise<T | undefined> {
        while (!this.isClosed) {
            const result = await action();
            if (result.ok) {
                return result.val;
            }
            await this.options.clock.wait(retryMs);
        }
        return undefined;
    }
}

function toRules(configuration: CellConfiguration): SchedulerRules {
    return {
        queues: configuration.queues.map(queue => queue.rules),
        teams: configuration.teams.map(team => team.rules),
    };
}
