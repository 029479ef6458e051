/**
 * The owner's connection to one executor: renews its lease, reads which runs go on and which have ended, sends orders,
 * and resolves orders that got no answer.
 *
 * The executor may carry out an unanswered start seconds later. The start is resolved by a listing that shows the run,
 * or by a stop of the same run, after which the executor refuses to start it. Until then the run stays charged to the
 * executor. The runs of an executor that does not answer stay charged to it until every lease that it can hold has
 * expired by its own clock.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { EndSource, ListedRun, RunEnd, StartDecision, TaskKey } from "@waxwingroute/workflow";
import type { StoredEnd } from "./end-acknowledgements.js";
import { EndAcknowledgements } from "./end-acknowledgements.js";
import { ExecutorLeases } from "./executor-leases.js";
import type { ClockReading } from "./lease-clock.js";
import { computeAge, readClocks } from "./lease-clock.js";
import type { ExecutorListing, ListedEnd, StartOrder, TaskExecutor } from "./task-executor.js";
import { executorFailures } from "./task-executor.js";
import { isOldEnough, markCrashSuspects, toRunKey } from "./tracked-run.js";
import type { LostRun, TrackedRun } from "./tracked-run.js";

/** Receives the events of the executor sessions of an owner. */
export interface SessionListener {
    /** The executor has listed everything that it holds, for the first time or after it was unreachable. */
    onReachable(executor: ExecutorId): void;
    onUnreachable(executor: ExecutorId): void;
    /**
     * No run that was charged to the executor goes on: all its leases have expired, or it was restarted or replaced.
     */
    onRunsLost(executor: ExecutorId, reason: string, source: EndSource): void;
    /** The executor has confirmed a start. */
    onStarted(executor: ExecutorId, task: TaskKey, run: number): void;
    /** The executor lists a run. */
    onRunning(executor: ExecutorId, run: ListedRun): void;
    /**
     * A run has ended. The executor lists the end until `acknowledge` is called. Without `acknowledge`, the executor does
     * not list it: the run was not started or has disappeared.
     */
    onEnded(end: RunEnd, source: EndSource, acknowledge?: (stored: StoredEnd) => void): void;
    /**
     * The executor lists a run that this session does not track, mostly one that an earlier owner started. Returns
     * whether the run may go on.
     */
    onUntrackedRun(executor: ExecutorId, run: ListedRun): boolean;
    /** The executor has crashed; `runs` are those that it had, before any of their ends is reported. */
    onCrash(executor: ExecutorId, runs: readonly LostRun[]): void;
    /** The executor has refused an order because it has seen a higher fencing token. */
    onFenced(executor: ExecutorId): void;
}

/** What an owner may do at the moment; an owner that is cut off from the store loses both after a bounded time. */
export interface OrderAuthority {
    /** Whether starts and renewals of leases may be sent. */
    readonly canOrder: boolean;
    /** Whether no other host can own the cell, so that no other has renewed the leases of silent executors. */
    readonly isLeaseValid: boolean;
    /** Time by which earlier owners have sent their last order. */
    readonly earlierOrdersEndAt: number;
}

/** The connection, limits and callbacks of a session. */
export interface ExecutorSessionOptions {
    readonly executor: ExecutorId;
    readonly client: TaskExecutor;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    readonly listener: SessionListener;
    readonly fencingToken: number;
    /** Longest lease that the owner requests, ms. */
    readonly maxLeaseMs: number;
    /** Longest time from the order to stop a run until it has ended, ms. */
    readonly stopMs: number;
    /** Longest lease that the executor grants, ms. */
    readonly longestLeaseMs: number;
    readonly authority: OrderAuthority;
    /**
     * Returns whether the executor has to be listed several times a second, because tasks are throttled by its load.
     */
    readonly needsFrequentListings: (executor: ExecutorId) => boolean;
    /** Called with each answer to a renewal. Default: nothing is done. */
    readonly onAnswered?: (executor: ExecutorId, answer: ExecutorAnswer) => void;
}

/** An answer that shows that the executor has not seen the token of a later owner before. */
export interface ExecutorAnswer {
    /** When the request was sent. */
    readonly sentAt: ClockReading;
    /** Whether the executor has answered in the same life while no other host could own the cell. */
    readonly isFromKnownLife: boolean;
}

/**
 * Longest time for which an executor may hold back the answer to a renewal while runs go on, ms. It answers at once when
 * a run ends. A lease lasts several times as long.
 */
const maxBusyWaitMs = 1_000;
/**
 * Used instead of `maxBusyWaitMs` while long-running tasks that serve requests share the executor with throttled tasks,
 * ms.
 */
const maxSharedWaitMs = 250;
/** Used instead of `maxBusyWaitMs` while nothing runs, ms. */
const maxIdleWaitMs = 2_000;
/** Added to the chosen wait to get the time-out of a renewal, ms: a round trip across a region and a slow executor. */
const answerMarginMs = 700;
/** Failed renewals in a row after which the executor counts as unreachable. */
const failuresBeforeUnreachable = 2;
/** Age of an executor's last answer from which `confirmAuthority` asks for another one, ms. */
const confirmIntervalMs = 250;
/** Interval of checks whether the leases of a silent executor have expired, ms. */
const leaseCheckMs = 50;
/** Time from the confirmation of a probe's start until the runs are listed, ms. */
const probeDelayMs = 50;
/** Pause before a failed call to the executor is repeated, ms. */
const retryMs = 250;
/**
 * Longest wait for received ends to be committed before the next renewal, ms. The wait lets the renewal acknowledge
 * them; it is bounded because no further ends arrive meanwhile.
 */
const commitWaitMs = 300;
/** Pause between renewals while received ends cannot be committed, ms. */
const uncommittedPauseMs = 200;

/** Outcomes of runs that an executor does not list as ended. */
type UnlistedOutcome = "notStarted" | "ticketRefused" | "lost" | "crashed" | "suspected";

/** A run that ended with its executor while the owner had no valid lease. */
interface UnconfirmedLoss {
    readonly tracked: TrackedRun;
    readonly outcome: UnlistedOutcome;
    readonly source: EndSource;
    readonly since: number;
}

/** Exchanges renewals, listings and orders with one executor until it is closed. */
export class ExecutorSession {
    private readonly trackedRuns = new Map<string, TrackedRun>();
    private readonly ends = new EndAcknowledgements();
    private startedAtWallMs: number | undefined;
    private readonly leases: ExecutorLeases;
    private failures = 0;
    /** Time of the first failed call since the last listing. */
    private failingSince = Infinity;
    private isClosed = false;
    /** Whether what the executor holds is known: it has listed it, or it holds nothing any more. */
    private hasKnownRuns = false;
    /** Whether the last call confirmed that the executor has not restarted since the processed ends were numbered. */
    private isIncarnationKnown = false;
    /** Number of calls after which the executor may have restarted. A listing that was requested before one shows nothing. */
    private incarnationDoubts = 0;
    private fencingToken: number;
    /**
     * Whether the executor has restarted since this owner last certainly owned the cell. It has then forgotten the token
     * of a successor, which may use it too.
     */
    private isUnfenced = false;
    /** Runs that are lost for this owner, but not for a successor that may have noted their ends. */
    private readonly unconfirmedLosses: UnconfirmedLoss[] = [];
    /** Since when another executor has answered at the address; `undefined` after a listing. */
    private replacedAt: number | undefined;
    private wakeUp: (() => void) | undefined;
    /** Start time of the executor's life that answered while no other host could own the cell. */
    private knownLife: number | undefined;
    private lastAnswer: ClockReading = { now: -Infinity, wallTime: -Infinity };
    private isConfirming = false;
    private isWatchingLeases = false;
    /** The highest number that a renewal has acknowledged in this life of the executor. */
    private acknowledged = 0;

    constructor(private readonly options: ExecutorSessionOptions) {
        this.leases = new ExecutorLeases(options);
        this.fencingToken = options.fencingToken;
    }

    /** Whether what the executor holds is known to this owner: it has listed it, or it holds nothing any more. */
    get areRunsKnown(): boolean {
        return this.hasKnownRuns;
    }

    /** Whether the executor answers renewals and its runs are known, so that it can be given work. */
    get isReachable(): boolean {
        return this.failures < failuresBeforeUnreachable && this.hasKnownRuns && !this.isUnfenced;
    }

    /**
     * Since when runs have stayed charged to the executor although it holds them no longer; `undefined` if there are none.
     */
    get unreportedLossSince(): number | undefined {
        const replacedAt = this.trackedRuns.size > 0 ? this.replacedAt : undefined;
        return this.unconfirmedLosses[0]?.since ?? replacedAt;
    }

    setFencingToken(token: number): void {
        this.fencingToken = token;
    }

    /** Renews the lease and processes the listings until `close` is called. */
    start(): void {
        this.options.supervisor.startLoop({
            operation: "executor session",
            fields: { executor: this.options.executor },
            isStopped: () => this.isClosed,
            run: () => this.run(),
        });
    }

    private async run(): Promise<void> {
        while (!this.isClosed) {
            await this.renewOnce();
        }
    }

    close(): void {
        if (!this.isClosed && this.acknowledged < this.ends.processed) {
            const { executor, logger } = this.options;
            logger.write("info", "ends not acknowledged", {
                executor,
                acknowledged: this.acknowledged,
                stored: this.ends.acknowledged,
                processed: this.ends.processed,
                ...this.ends.lastStored,
            });
        }
        this.isClosed = true;
        this.wakeUp?.();
        this.options.client.close();
    }

    /** Sends a start. If it gets no answer, later listings resolve whether the run was started. */
    startRun(decision: StartDecision): void {
        const { executor, supervisor } = this.options;
        supervisor.start("start", { executor, task: decision.task }, () => this.sendStart(decision));
    }

    /** Sends a stop, and repeats it until it is answered. The end of the run arrives with a later listing. */
    startStop(task: TaskKey, run: number): void {
        const { executor, supervisor } = this.options;
        supervisor.start("stop", { executor, task }, () => this.stop(task, run));
    }

    private async sendStart(decision: StartDecision): Promise<void> {
        const { clock, client, executor, listener, logger, supervisor } = this.options;
        const tracked: TrackedRun = {
            task: decision.task,
            run: decision.run,
            state: "sent",
            isStartInFlight: true,
            changedAt: clock.getNow(),
            stop: "none",
            stopAnsweredAt: 0,
            hasBegun: false,
            isListed: false,
            isProbe: decision.isProbe,
            provenAfterMs: decision.provenAfterMs ?? 0,
            sentAt: clock.getNow(),
        };
        this.trackedRuns.set(toRunKey(tracked), tracked);
        const order: StartOrder = {
            task: decision.task,
            run: decision.run,
            payload: decision.payload,
            checkpoint: decision.checkpoint,
            ticket: decision.ticket,
            deadlineMs: this.leases.extend(),
            fencingToken: this.fencingToken,
        };
        // Checked after the lease end is computed, so that a pause of the process in between cannot prolong the lease.
        if (!this.options.authority.canOrder) {
            this.trackedRuns.delete(toRunKey(tracked));
            this.reportEnd(tracked, "notStarted", "notSent");
            return;
        }
        const { startedAtWallMs } = this;
        const started = await supervisor.call("start", { executor, task: order.task }, () => client.start(order));
        if (startedAtWallMs !== this.startedAtWallMs) {
            this.leases.recordOldCall();
        }
        if (this.isClosed || !this.trackedRuns.has(toRunKey(tracked))) {
            return;
        }
        tracked.isStartInFlight = false;
        tracked.changedAt = clock.getNow();
        // The executor ends or refuses a run whose stop it answered meanwhile, whatever becomes of the start.
        const isStopped = tracked.state === "stopped";
        if (started.ok) {
            // Each incarnation of the executor has a new clock, so a lower reading shows a restart.
            if (this.leases.isClockReset(started.val.clockMs)) {
                this.recordIncarnationDoubt();
                this.leases.recordOldCall();
            }
            tracked.state = isStopped ? "stopped" : "answered";
            tracked.hasBegun = true;
            listener.onStarted(executor, tracked.task, tracked.run);
            if (decision.isProbe) {
                supervisor.start("probe", { executor, task: tracked.task }, () => this.confirmProbe(tracked));
            }
            return;
        }
        logger.write("info", "start not confirmed", {
            executor,
            task: tracked.task,
            run: tracked.run,
            code: started.val.code,
            verdict: started.val.verdict,
            reason: started.val.message,
        });
        if (started.val.verdict === "notRun") {
            this.trackedRuns.delete(toRunKey(tracked));
            const isTicketRefused = started.val.code === executorFailures.ticketRefused;
            this.reportEnd(tracked, isTicketRefused ? "ticketRefused" : "notStarted", "refusal");
            this.reportIfFenced(started, order.fencingToken);
            if (started.val.code === executorFailures.unreachable) {
                this.recordUnreachable(started.val);
            }
        }
        else {
            this.recordIfRestartPossible(started.val);
            this.recordIncarnationDoubt();
            this.failingSince = Math.min(this.failingSince, clock.getNow());
            tracked.state = isStopped ? "stopped" : "unanswered";
            this.wakeUp?.();
        }
    }

    /**
     * Lists the runs soon after a start to see whether the executor has survived it. The renewal that is waiting may be
     * answered much later. Nothing else is taken from this listing, since the renewal's may overtake it.
     */
    private async confirmProbe(tracked: TrackedRun): Promise<void> {
        const { client, clock, executor, listener } = this.options;
        await clock.wait(tracked.provenAfterMs + probeDelayMs);
        const listed = await client.renew({ fencingToken: this.fencingToken, acknowledged: 0 }, answerMarginMs);
        const run = listed.ok
            ? listed.val.running.find(candidate => toRunKey(candidate) === toRunKey(tracked))
            : undefined;
        if (run !== undefined && !this.isClosed && this.trackedRuns.get(toRunKey(tracked)) === tracked) {
            tracked.isListed ||= isOldEnough(tracked, clock.getNow());
            listener.onRunning(executor, run);
        }
    }

    /**
     * Asks for an answer at once, unless the last one is recent: a renewal may wait for longer than answers count. Nothing
     * else is taken from the listing, as in `confirmProbe`.
     */
    async confirmAuthority(): Promise<void> {
        const { client, clock } = this.options;
        if (this.isConfirming || this.isClosed || computeAge(clock, this.lastAnswer) < confirmIntervalMs) {
            return;
        }
        this.isConfirming = true;
        const { fencingToken, startedAtWallMs: incarnation } = this;
        const sentAt = readClocks(clock);
        const listed = await client.renew({ fencingToken, acknowledged: 0, incarnation }, answerMarginMs).finally(
            () => {
                this.isConfirming = false;
            },
        );
        if (this.isClosed) {
            return;
        }
        if (listed.ok) {
            this.recordAnswer(listed.val.startedAtWallMs, sentAt);
        }
        else {
            this.reportIfFenced(listed, fencingToken);
        }
    }

    private recordAnswer(life: number | undefined, sentAt: ClockReading): void {
        const { authority, executor, onAnswered } = this.options;
        if (authority.isLeaseValid) {
            this.knownLife = life;
        }
        if (sentAt.now > this.lastAnswer.now) {
            this.lastAnswer = sentAt;
        }
        onAnswered?.(executor, { sentAt, isFromKnownLife: life !== undefined && life === this.knownLife });
    }

    /** Limits the speed of a run, without a retry. Returns whether the executor confirmed it. */
    async throttle(task: TaskKey, run: number, percent: number): Promise<boolean> {
        const { fencingToken } = this;
        const throttled = await this.options.client.throttle({ task, run, percent, fencingToken });
        this.reportIfFenced(throttled, fencingToken);
        return throttled.ok;
    }

    private async stop(task: TaskKey, run: number): Promise<void> {
        const { client, clock, executor, supervisor } = this.options;
        const tracked = this.trackedRuns.get(toRunKey({ task, run }));
        if (tracked !== undefined) {
            if (tracked.stop === "sending") {
                return;
            }
            tracked.stop = "sending";
        }
        let isRefused = false;
        while (!this.isClosed) {
            const order = { task, run, fencingToken: this.fencingToken };
            const stopped = await supervisor.call("stop", { executor, task }, () => client.stop(order));
            isRefused = this.reportIfFenced(stopped, order.fencingToken);
            if (stopped.ok || isRefused) {
                break;
            }
            await clock.wait(retryMs);
            if (tracked !== undefined && !this.trackedRuns.has(toRunKey(tracked))) {
                return;
            }
        }
        if (tracked !== undefined) {
            tracked.stop = "answered";
            tracked.stopAnsweredAt = clock.getNow();
            if (!isRefused && tracked.state !== "stopped") {
                tracked.state = "stopped";
                tracked.changedAt = clock.getNow();
            }
        }
        this.wakeUp?.();
    }

    private async renewOnce(): Promise<void> {
        const { clock, client } = this.options;
        if (this.ends.isPending) {
            await this.waitForWake(commitWaitMs);
        }
        const isStillPending = this.ends.isPending;
        const waitMs = this.chooseWait(isStillPending);
        const sentAt = readClocks(clock);
        // A renewal without an answer may have extended the lease. After a failure, renewals therefore ask for no
        // extension; otherwise the leases of a silent executor would never be known to have expired.
        const canExtend = this.leases.isClockKnown && this.failures === 0;
        const extendedMs = canExtend ? this.leases.extend() : undefined;
        const deadlineMs = this.options.authority.canOrder ? extendedMs : undefined;
        // After a restart the executor numbers its ends from 1 again, and an old number would acknowledge new ends. So
        // none is acknowledged until a listing has shown the executor's start time.
        const acknowledged = this.isIncarnationKnown ? this.ends.acknowledged : 0;
        this.logAcknowledged(acknowledged);
        const { fencingToken, incarnationDoubts } = this;
        const renewed = await client.renew(
            { fencingToken, acknowledged, incarnation: this.startedAtWallMs, deadlineMs, waitMs },
            waitMs + answerMarginMs,
        );
        if (this.isClosed) {
            return;
        }
        if (renewed.ok) {
            this.recordAnswer(renewed.val.startedAtWallMs, sentAt);
            this.acceptListing(renewed.val, sentAt.now, incarnationDoubts === this.incarnationDoubts);
            if (isStillPending && this.ends.isPending) {
                await this.waitForWake(uncommittedPauseMs);
            }
        }
        else {
            if (deadlineMs !== undefined) {
                this.recordIfRestartPossible(renewed.val);
            }
            this.recordIncarnationDoubt();
            this.failingSince = Math.min(this.failingSince, clock.getNow());
            this.handleFailedRenewal(renewed.val);
            this.reportIfFenced(renewed, fencingToken);
            await this.waitForWake(retryMs);
        }
    }

    private logAcknowledged(through: number): void {
        if (through > this.acknowledged) {
            this.acknowledged = through;
            const { executor, logger } = this.options;
            logger.write("info", "ends acknowledged", { executor, through, ...this.ends.lastStored });
        }
    }

    private chooseWait(isCommitPending: boolean): number {
        const hasUnresolved = [...this.trackedRuns.values()].some(tracked =>
            tracked.state === "unanswered" || tracked.state === "stopped"
        );
        if (isCommitPending || hasUnresolved || !this.hasKnownRuns || !this.leases.isClockKnown) {
            return 0;
        }
        if (this.options.needsFrequentListings(this.options.executor)) {
            return maxSharedWaitMs;
        }
        return this.trackedRuns.size > 0 ? maxBusyWaitMs : maxIdleWaitMs;
    }

    private recordIncarnationDoubt(): void {
        this.isIncarnationKnown = false;
        this.incarnationDoubts += 1;
    }

    /** `isLatest`: no call since the request of the listing leaves open whether the executor has restarted. */
    private acceptListing(listing: ExecutorListing, sentAt: number, isLatest: boolean): void {
        const { executor, listener, logger } = this.options;
        this.leases.recordClock(listing.clockMs);
        const { isLeaseValid } = this.options.authority;
        this.isUnfenced &&= !isLeaseValid;
        this.reportConfirmedLosses();
        if (this.startedAtWallMs !== undefined && listing.startedAtWallMs !== this.startedAtWallMs) {
            logger.write("warn", "executor restarted", { executor, startedAtWallMs: listing.startedAtWallMs });
            this.dropRunsOfEarlierIncarnation(listing, sentAt);
            this.isUnfenced = !isLeaseValid;
            this.ends.reset();
            this.acknowledged = 0;
            this.leases.reset();
        }
        else if (this.startedAtWallMs !== undefined && isLatest) {
            this.leases.recordSameIncarnation();
        }
        this.startedAtWallMs = listing.startedAtWallMs;
        this.replacedAt = undefined;
        this.isIncarnationKnown = isLatest;
        const isRegained = !this.hasKnownRuns || this.failures >= failuresBeforeUnreachable;
        this.failures = 0;
        this.failingSince = Infinity;
        const listed = new Set<string>();
        for (const end of listing.ended) {
            listed.add(toRunKey(end));
            this.acceptEnd(end);
        }
        for (const run of listing.running) {
            listed.add(toRunKey(run));
            this.acceptRunning(run, sentAt);
        }
        this.resolveRuns(listed, sentAt, listing.hasAllEnds);
        // Until all ends are listed, a task that an earlier owner started may have ended without this owner's knowledge.
        this.hasKnownRuns ||= listing.hasAllEnds;
        if (isRegained && this.hasKnownRuns) {
            listener.onReachable(executor);
        }
    }

    private acceptEnd(end: ListedEnd): void {
        const recordStored = this.ends.begin(end.sequence);
        if (recordStored === undefined) {
            return;
        }
        this.trackedRuns.delete(toRunKey(end));
        const { executor, listener } = this.options;
        const { task, run, outcome, checkpoint, sequence } = end;
        listener.onEnded({ executor, task, run, outcome, checkpoint, sequence }, "listing", stored => {
            recordStored(stored);
            if (!this.ends.isPending) {
                this.wakeUp?.();
            }
        });
    }

    private acceptRunning(run: ListedRun, sentAt: number): void {
        const { clock, executor, listener, logger, stopMs } = this.options;
        const tracked = this.trackedRuns.get(toRunKey(run));
        if (tracked === undefined) {
            const mayContinue = listener.onUntrackedRun(executor, run);
            this.trackedRuns.set(toRunKey(run), {
                task: run.task,
                run: run.run,
                state: "answered",
                isStartInFlight: false,
                changedAt: clock.getNow(),
                stop: "none",
                stopAnsweredAt: 0,
                hasBegun: true,
                isListed: true,
                isProbe: false,
                provenAfterMs: 0,
                sentAt: clock.getNow(),
            });
            if (!mayContinue) {
                this.startStop(run.task, run.run);
            }
            return;
        }
        tracked.isListed ||= isOldEnough(tracked, clock.getNow());
        tracked.hasBegun = true;
        if (tracked.state === "unanswered") {
            tracked.state = "answered";
            tracked.changedAt = clock.getNow();
        }
        if (tracked.stop === "answered" && sentAt - tracked.stopAnsweredAt > stopMs) {
            logger.write("warn", "run goes on after its stop", { executor, task: run.task, run: run.run });
            this.startStop(run.task, run.run);
        }
        listener.onRunning(executor, run);
    }

    /**
     * Reports the end of runs that are missing in a listing which was requested after the last change of their states and
     * has all ends. A start without an answer is stopped first, since the executor may still carry it out. One that is in
     * flight is left alone even if its stop was answered: a restarted executor knows nothing of the stop.
     */
    private resolveRuns(listed: ReadonlySet<string>, sentAt: number, hasAllEnds: boolean): void {
        for (const [key, tracked] of this.trackedRuns) {
            if (listed.has(key) || tracked.changedAt >= sentAt || tracked.isStartInFlight) {
                continue;
            }
            if (tracked.state === "unanswered") {
                this.startStop(tracked.task, tracked.run);
            }
            else if (hasAllEnds) {
                this.trackedRuns.delete(key);
                const outcome = tracked.crashOutcome ?? (tracked.state === "stopped" ? "notStarted" : "lost");
                this.reportEnd(tracked, outcome, "absence");
            }
        }
    }

    private handleFailedRenewal(failure: Failure): void {
        if (failure.code === executorFailures.replaced) {
            this.failures += 1;
            this.replacedAt ??= this.options.clock.getNow();
            this.reportCrash();
            if (this.options.authority.isLeaseValid) {
                this.forgetRunsOnce("another executor has its address", "replaced");
            }
            return;
        }
        if (failure.code === executorFailures.unreachable) {
            this.recordUnreachable(failure);
        }
        else {
            this.recordFailures(this.failures + 1, failure);
        }
        this.watchLeases();
    }

    /** Checks the leases of a silent executor while it has any: a renewal that fails takes longer than that. */
    private watchLeases(): void {
        if (!this.isWatchingLeases && this.isSilentWithRuns) {
            this.isWatchingLeases = true;
            this.options.supervisor.startLoop({
                operation: "leases of a silent executor",
                fields: { executor: this.options.executor },
                isStopped: () => this.isClosed,
                run: async () => {
                    while (!this.isClosed && this.isSilentWithRuns) {
                        this.forgetExpiredRuns();
                        await this.options.clock.wait(leaseCheckMs);
                    }
                    this.isWatchingLeases = false;
                },
            });
        }
    }

    private get isSilentWithRuns(): boolean {
        return this.failures >= failuresBeforeUnreachable && (this.trackedRuns.size > 0 || !this.hasKnownRuns);
    }

    private forgetExpiredRuns(): void {
        const { earlierOrdersEndAt, isLeaseValid } = this.options.authority;
        // Without a valid lease, a successor may have renewed the leases of an executor that this owner does not reach.
        if (isLeaseValid && this.leases.hasExpired(earlierOrdersEndAt)) {
            this.forgetRuns("its leases have run out", this.leases.isClockKnown ? "leaseEnd" : "silenceBound");
        }
    }

    private recordIfRestartPossible({ code }: Failure): void {
        if (code === executorFailures.unansweredNew) {
            this.leases.recordPossibleRestart();
        }
    }

    /** Gives the executor no work until it answers a renewal: it takes no connection, so each start would be refused. */
    private recordUnreachable(failure: Failure): void {
        this.recordFailures(Math.max(this.failures + 1, failuresBeforeUnreachable), failure);
    }

    private recordFailures(failures: number, failure: Failure): void {
        const { executor, listener, logger } = this.options;
        const wasReachable = this.failures < failuresBeforeUnreachable;
        this.failures = failures;
        if (wasReachable && failures >= failuresBeforeUnreachable) {
            logger.write("warn", "executor does not answer", { executor, code: failure.code, reason: failure.message });
            listener.onUnreachable(executor);
        }
    }

    /** Reports the end of the runs under which the executor may have crashed; it is replaced or closed afterwards. */
    reportCrash(): void {
        this.markCrash();
        for (const [key, tracked] of this.trackedRuns) {
            if (tracked.crashOutcome !== undefined) {
                this.trackedRuns.delete(key);
                this.reportLoss(tracked, tracked.crashOutcome, "replaced");
            }
        }
    }

    /**
     * Reports the runs of the earlier incarnation as lost, after the first listing of a new one. A run that is in it was
     * begun by the new incarnation. Starts without an answer are kept, since they may still reach the new incarnation, as
     * are those that were answered after the listing had been requested: either incarnation may have answered them.
     */
    private dropRunsOfEarlierIncarnation(listing: ExecutorListing, sentAt: number): void {
        const listed = new Set([...listing.running, ...listing.ended].map(toRunKey));
        const earlier = [...this.trackedRuns].filter(([key, { changedAt, hasBegun }]) =>
            !listed.has(key) && !(hasBegun && changedAt >= sentAt)
        );
        this.markCrash(earlier.map(([, tracked]) => tracked));
        for (const [key, tracked] of earlier) {
            if (tracked.hasBegun) {
                this.trackedRuns.delete(key);
                this.reportLoss(tracked, tracked.crashOutcome ?? "lost", "restart");
            }
        }
        for (const [key, tracked] of this.trackedRuns) {
            if (listed.has(key)) {
                continue;
            }
            if (tracked.hasBegun) {
                tracked.hasBegun = false;
                tracked.state = "unanswered";
            }
            if (tracked.stop === "answered") {
                // The new incarnation knows nothing of the stop.
                tracked.state = "unanswered";
                tracked.stop = "none";
                this.startStop(tracked.task, tracked.run);
            }
        }
    }

    private markCrash(held: Iterable<TrackedRun> = this.trackedRuns.values()): void {
        const { clock, executor, listener } = this.options;
        const runs = markCrashSuspects(held, Math.min(this.failingSince, clock.getNow()));
        if (runs.length > 0) {
            listener.onCrash(executor, runs);
        }
    }

    private forgetRunsOnce(reason: string, source: EndSource): void {
        if (this.trackedRuns.size > 0 || !this.hasKnownRuns) {
            this.forgetRuns(reason, source);
        }
    }

    private forgetRuns(reason: string, source: EndSource): void {
        const { executor, listener } = this.options;
        this.trackedRuns.clear();
        this.hasKnownRuns = true;
        listener.onRunsLost(executor, reason, source);
    }

    /**
     * Reports a run that ended with its executor, once no other host can own the cell. A successor may have noted its end
     * before, and the executor knows no fencing token after a restart.
     */
    private reportLoss(tracked: TrackedRun, outcome: UnlistedOutcome, source: EndSource): void {
        const { authority, clock, executor, logger } = this.options;
        this.unconfirmedLosses.push({ tracked, outcome, source, since: clock.getNow() });
        if (!authority.isLeaseValid) {
            logger.write("info", "loss waits for the lease", {
                executor,
                task: tracked.task,
                run: tracked.run,
                outcome,
            });
        }
        this.reportConfirmedLosses();
    }

    /**
     * Reports the losses that waited for a valid lease, if the owner has one. The owner calls it periodically, since an
     * executor that was replaced or is silent never sends a listing again.
     */
    reportConfirmedLosses(): void {
        if (this.unconfirmedLosses.length > 0 && this.options.authority.isLeaseValid) {
            this.unconfirmedLosses.splice(0).forEach(({ tracked, outcome, source }) =>
                this.reportEnd(tracked, outcome, source)
            );
        }
    }

    private reportEnd(tracked: TrackedRun, outcome: UnlistedOutcome, source: EndSource): void {
        const { executor, listener, logger } = this.options;
        if (outcome === "lost") {
            logger.write("warn", "run disappeared from its executor", {
                executor,
                task: tracked.task,
                run: tracked.run,
            });
        }
        listener.onEnded({ executor, task: tracked.task, run: tracked.run, outcome, checkpoint: "" }, source);
    }

    /**
     * Reports that the executor has seen the token of a later owner. An order that was overtaken by one of a later term of
     * this owner is refused for this owner's own token. Returns whether the refusal was reported.
     */
    private reportIfFenced(result: Result<unknown, Failure>, token: number): boolean {
        const isFenced = !result.ok && result.val.code === executorFailures.fenced && token === this.fencingToken;
        if (isFenced) {
            this.options.listener.onFenced(this.options.executor);
        }
        return isFenced;
    }

    private waitForWake(maxMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                timer.cancel();
                this.wakeUp = undefined;
                resolve();
            };
            const timer = this.options.clock.schedule(maxMs, finish);
            this.wakeUp = finish;
        });
    }
}
