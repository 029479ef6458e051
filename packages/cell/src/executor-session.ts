/**
 * The owner's side of one executor: keeps its lease, reads what runs and what ended, sends orders, and settles orders that
 * got no answer.
 *
 * An unanswered start may be carried out seconds later. It is settled by a listing that shows the run, or by a stop of the
 * same run, after which the executor refuses a later start of it. Until then the run stays charged to the executor. An
 * executor that does not answer keeps all its runs until every lease it can hold has run out on its own clock.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { ListedRun, RunEnd, StartDecision, TaskKey } from "@waxwingroute/workflow";
import { ExecutorLeases } from "./executor-leases.js";
import type { ExecutorListing, ListedEnd, TaskExecutor } from "./task-executor.js";
import { executorFailures } from "./task-executor.js";

/** What a session reports to the owner. */
export interface SessionListener {
    /** The executor answered; `isFirst`: with a listing of everything it holds, after a time without one. */
    onReachable(executor: ExecutorId): void;
    onUnreachable(executor: ExecutorId): void;
    /** All leases that the executor can hold have run out, or it restarted: nothing that was charged to it runs. */
    onRunsLost(executor: ExecutorId, reason: string): void;
    onRunning(executor: ExecutorId, run: ListedRun): void;
    /** An end. The executor lists it until `acknowledge` is called; absent: the executor does not list it. */
    onEnded(end: RunEnd, acknowledge?: () => void): void;
    /** A run that the executor lists and that the session did not start. Returns whether it may go on. */
    onForeignRun(executor: ExecutorId, run: ListedRun): boolean;
    /** The executor has seen a higher fencing token. */
    onFenced(executor: ExecutorId): void;
}

export interface ExecutorSessionOptions {
    readonly executor: ExecutorId;
    readonly client: TaskExecutor;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly listener: SessionListener;
    readonly fencingToken: number;
    /** Longest lease that the executor gives, ms. */
    readonly maxLeaseMs: number;
    /** Returns whether the load of the executor has to be seen several times a second. */
    readonly needsFrequentListings: (executor: ExecutorId) => boolean;
}

/** Longest wait of a renewal's answer for an end while tasks run, ms. A lease lasts several of them. */
const busyWaitMs = 1_000;
/** Longest wait of a renewal's answer while serving tasks share the executor with others, ms. */
const closeWaitMs = 250;
/** Longest wait of a renewal's answer while nothing runs, ms. */
const idleWaitMs = 2_000;
/** Time for an answer beyond its wait, ms: two crossings of a region and a slow executor. */
const answerMs = 700;
/** Renewals without an answer after which the executor counts as unreachable. */
const failuresBeforeUnreachable = 2;
/** Pause between tries of an executor that does not answer, ms. */
const retryMs = 250;
/**
 * Longest wait for the commit of ends before the listing is read again without acknowledging them, ms: further ends are not
 * heard of meanwhile.
 */
const commitWaitMs = 300;
/** Pause between renewals while ends cannot be committed, ms. */
const uncommittedPauseMs = 200;

type OrderState = "sent" | "answered" | "unanswered" | "stopped";

interface Order {
    readonly task: TaskKey;
    readonly run: number;
    state: OrderState;
    /** When the state was entered. */
    at: number;
    isStopping: boolean;
}

export class ExecutorSession {
    private readonly orders = new Map<string, Order>();
    /** Counts the lives of the executor, since the numbers of ends start anew in each. */
    private life = 0;
    private processed = 0;
    private acknowledged = 0;
    private readonly unstored = new Set<number>();
    private startedAtWallMs: number | undefined;
    private readonly leases: ExecutorLeases;
    private failures = 0;
    private isClosed = false;
    private isListed = false;
    /** Whether the last exchange showed the life of the executor in which the processed ends are numbered. */
    private isLifeCertain = false;
    private fencingToken: number;
    private wake: (() => void) | undefined;

    constructor(private readonly options: ExecutorSessionOptions) {
        this.leases = new ExecutorLeases(options.clock, options.maxLeaseMs);
        this.fencingToken = options.fencingToken;
    }

    /** Whether the executor has listed what it holds to this owner since it was last unreachable. */
    get isSettled(): boolean {
        return this.isListed;
    }

    get isReachable(): boolean {
        return this.failures < failuresBeforeUnreachable && this.isListed;
    }

    setFencingToken(token: number): void {
        this.fencingToken = token;
    }

    /** Renews the lease and reads the listings until `close`. */
    async run(): Promise<void> {
        while (!this.isClosed) {
            await this.renewOnce();
        }
    }

    close(): void {
        this.isClosed = true;
        this.wake?.();
        this.options.client.close();
    }

    /** Only ends without an earlier one that is not stored yet are acknowledged. */
    private acknowledge(sequence: number, life: number): void {
        if (life !== this.life) {
            return;
        }
        this.unstored.delete(sequence);
        this.acknowledged = this.unstored.size === 0 ? this.processed : Math.min(...this.unstored) - 1;
        if (this.unstored.size === 0) {
            this.wake?.();
        }
    }

    async start(decision: StartDecision): Promise<void> {
        const { clock, client, executor, listener, logger } = this.options;
        const order: Order = {
            task: decision.task,
            run: decision.run,
            state: "sent",
            at: clock.getNow(),
            isStopping: false,
        };
        this.orders.set(toOrderKey(order), order);
        const started = await client.start({
            task: decision.task,
            run: decision.run,
            payload: decision.payload,
            checkpoint: decision.checkpoint,
            ticket: decision.ticket,
            deadlineMs: this.leases.extend(),
            fencingToken: this.fencingToken,
        });
        if (this.isClosed || !this.orders.has(toOrderKey(order))) {
            return;
        }
        order.at = clock.getNow();
        if (started.ok) {
            // A new life begins with a new clock.
            this.isLifeCertain &&= !this.leases.isClockReset(started.val.clockMs);
            order.state = "answered";
            listener.onRunning(executor, { task: order.task, run: order.run, checkpoint: "", percent: 0 });
            return;
        }
        logger.write("info", "start not confirmed", {
            executor,
            task: order.task,
            run: order.run,
            code: started.val.code,
            verdict: started.val.verdict,
            reason: started.val.message,
        });
        if (started.val.verdict === "notRun") {
            this.orders.delete(toOrderKey(order));
            this.reportEnd(order, "notStarted");
            this.checkFence(started);
        }
        else {
            this.isLifeCertain = false;
            order.state = "unanswered";
            this.wake?.();
        }
    }

    /** Sends a pace once; returns whether the executor confirmed it. */
    async throttle(task: TaskKey, run: number, percent: number): Promise<boolean> {
        const paced = await this.options.client.throttle({ task, run, percent, fencingToken: this.fencingToken });
        this.checkFence(paced);
        return paced.ok;
    }

    /** Sends a stop until it is answered; the end of the run arrives with a listing. */
    async stop(task: TaskKey, run: number): Promise<void> {
        const { client, clock } = this.options;
        const order = this.orders.get(toOrderKey({ task, run }));
        if (order !== undefined) {
            if (order.isStopping) {
                return;
            }
            order.isStopping = true;
        }
        while (!this.isClosed) {
            const stopped = await client.stop({ task, run, fencingToken: this.fencingToken });
            if (stopped.ok || stopped.val.verdict === "notRun" && stopped.val.code === executorFailures.fenced) {
                this.checkFence(stopped);
                break;
            }
            await clock.wait(retryMs);
            if (order !== undefined && !this.orders.has(toOrderKey(order))) {
                return;
            }
        }
        if (order !== undefined && order.state !== "stopped") {
            order.state = "stopped";
            order.at = clock.getNow();
        }
        this.wake?.();
    }

    private async renewOnce(): Promise<void> {
        const { clock, client } = this.options;
        const isCommitPending = this.acknowledged < this.processed;
        if (isCommitPending) {
            await this.waitForWake(commitWaitMs);
        }
        const stillPending = this.acknowledged < this.processed;
        const waitMs = this.chooseWait(stillPending);
        const sentAt = clock.getNow();
        // A renewal without an answer may have extended the lease, so an executor that is silent is only asked, or its
        // leases would never be known to have run out.
        const canExtend = this.leases.isClockKnown && this.failures === 0;
        const deadlineMs = canExtend ? this.leases.extend() : undefined;
        // The executor may have restarted, and its ends may be numbered anew: none is acknowledged before it has told which
        // life it is in.
        const acknowledged = this.isLifeCertain ? this.acknowledged : 0;
        const renewed = await client.renew(
            { fencingToken: this.fencingToken, acknowledged, deadlineMs, waitMs },
            waitMs + answerMs,
        );
        if (this.isClosed) {
            return;
        }
        if (renewed.ok) {
            this.acceptListing(renewed.val, sentAt);
            if (stillPending && this.acknowledged < this.processed) {
                await this.waitForWake(uncommittedPauseMs);
            }
        }
        else {
            this.isLifeCertain = false;
            this.handleSilence(renewed.val);
            this.checkFence(renewed);
            await this.waitForWake(retryMs);
        }
    }

    private chooseWait(isCommitPending: boolean): number {
        const hasUnsettled = [...this.orders.values()].some(order =>
            order.state === "unanswered" || order.state === "stopped"
        );
        if (isCommitPending || hasUnsettled || !this.isListed || !this.leases.isClockKnown) {
            return 0;
        }
        if (this.options.needsFrequentListings(this.options.executor)) {
            return closeWaitMs;
        }
        return this.orders.size > 0 ? busyWaitMs : idleWaitMs;
    }

    private acceptListing(listing: ExecutorListing, sentAt: number): void {
        const { executor, listener, logger } = this.options;
        this.leases.recordClock(listing.clockMs);
        if (this.startedAtWallMs !== undefined && listing.startedAtWallMs !== this.startedAtWallMs) {
            logger.write("warn", "executor restarted", { executor, startedAtWallMs: listing.startedAtWallMs });
            this.dropRunsOfEarlierLife();
            this.processed = 0;
            this.acknowledged = 0;
            this.unstored.clear();
            this.life += 1;
            this.leases.reset();
        }
        this.startedAtWallMs = listing.startedAtWallMs;
        this.isLifeCertain = true;
        const isRegained = !this.isListed || this.failures >= failuresBeforeUnreachable;
        this.failures = 0;
        const listed = new Set<string>();
        for (const end of listing.ended) {
            listed.add(toOrderKey(end));
            this.acceptEnd(end);
        }
        for (const run of listing.running) {
            listed.add(toOrderKey(run));
            this.acceptRunning(run);
        }
        this.settleOrders(listed, sentAt);
        this.isListed = true;
        if (isRegained) {
            listener.onReachable(executor);
        }
    }

    private acceptEnd(end: ListedEnd): void {
        if (end.sequence <= this.processed) {
            return;
        }
        this.processed = end.sequence;
        this.unstored.add(end.sequence);
        this.orders.delete(toOrderKey(end));
        const { executor, listener } = this.options;
        const { task, run, outcome, checkpoint, sequence } = end;
        const life = this.life;
        listener.onEnded({ executor, task, run, outcome, checkpoint }, () => this.acknowledge(sequence, life));
    }

    private acceptRunning(run: ListedRun): void {
        const { clock, executor, listener } = this.options;
        const order = this.orders.get(toOrderKey(run));
        if (order === undefined) {
            const mayContinue = listener.onForeignRun(executor, run);
            this.orders.set(toOrderKey(run), {
                task: run.task,
                run: run.run,
                state: "answered",
                at: clock.getNow(),
                isStopping: false,
            });
            if (!mayContinue) {
                void this.stop(run.task, run.run);
            }
            return;
        }
        if (order.state === "unanswered") {
            order.state = "answered";
            order.at = clock.getNow();
        }
        listener.onRunning(executor, run);
    }

    /** Ends the runs that a listing sent after their order was settled does not show. */
    private settleOrders(listed: ReadonlySet<string>, sentAt: number): void {
        for (const [key, order] of this.orders) {
            if (listed.has(key) || order.at >= sentAt || order.state === "sent") {
                continue;
            }
            if (order.state === "unanswered") {
                void this.stop(order.task, order.run);
            }
            else {
                this.orders.delete(key);
                this.reportEnd(order, order.state === "stopped" ? "notStarted" : "lost");
            }
        }
    }

    private handleSilence(failure: Failure): void {
        const { executor, listener, logger } = this.options;
        this.failures += 1;
        if (failure.code === executorFailures.replaced) {
            this.forgetRunsOnce("another executor has its address");
            return;
        }
        if (this.failures === failuresBeforeUnreachable) {
            logger.write("warn", "executor does not answer", { executor, code: failure.code, reason: failure.message });
            listener.onUnreachable(executor);
        }
        if (this.failures >= failuresBeforeUnreachable && this.leases.hasExpired()) {
            this.forgetRunsOnce("its leases have run out");
        }
    }

    /** Ends the runs of the earlier life. A start without an answer may still reach the new life, so it stays unsettled. */
    private dropRunsOfEarlierLife(): void {
        for (const [key, order] of this.orders) {
            if (order.state === "answered" || order.state === "stopped") {
                this.orders.delete(key);
                this.reportEnd(order, "lost");
            }
        }
    }

    private forgetRunsOnce(reason: string): void {
        if (this.orders.size > 0 || !this.isListed) {
            this.forgetRuns(reason);
        }
    }

    private forgetRuns(reason: string): void {
        const { executor, listener } = this.options;
        this.orders.clear();
        this.isListed = true;
        listener.onRunsLost(executor, reason);
    }

    private reportEnd(order: Order, outcome: "notStarted" | "lost"): void {
        const { executor, listener, logger } = this.options;
        if (outcome === "lost") {
            logger.write("warn", "run disappeared from its executor", { executor, task: order.task, run: order.run });
        }
        listener.onEnded({ executor, task: order.task, run: order.run, outcome, checkpoint: "" });
    }

    private checkFence(result: Result<unknown, Failure>): void {
        if (!result.ok && result.val.code === executorFailures.fenced) {
            this.options.listener.onFenced(this.options.executor);
        }
    }

    private waitForWake(longestMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                timer.cancel();
                this.wake = undefined;
                resolve();
            };
            const timer = this.options.clock.schedule(longestMs, finish);
            this.wake = finish;
        });
    }
}

function toOrderKey(order: { readonly task: TaskKey; readonly run: number; }): string {
    return `${order.task}#${order.run}`;
}
