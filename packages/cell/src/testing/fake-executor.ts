/**
 * An in-memory executor for tests. It checks fencing tokens, ends runs when their lease expires by its own clock,
 * refuses starts of old runs, and lists ends until they are acknowledged. Its faults are restarts, partitions, and
 * orders that get no answer and are carried out late. It reports each run to an `InvariantChecker`.
 */
import type { Clock, ExecutorId, Failure, NetworkAddress, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { RunOutcome, TaskKey } from "@waxwingroute/workflow";
import type {
    ExecutorListing,
    LeaseRenewal,
    ListedEnd,
    StartOrder,
    StopOrder,
    ThrottleOrder,
} from "../task-executor.js";
import { ExecutorConnector, executorFailures, TaskExecutor } from "../task-executor.js";
import type { InvariantChecker } from "./invariant-checker.js";

/** Duration and outcome of a run. */
export interface RunPlan {
    readonly workMs: number;
    readonly outcome: "done" | "failed";
    /** Whether the run is at work from its start on, as the task of a service is. Default: it makes progress until its end. */
    readonly isAvailable?: boolean;
    /** Time from the start until the executor crashes under the run, ms. Default: it does not. */
    readonly crashAfterMs?: number;
    /** Time for which the executor is down after it crashed under the run, ms. Default 2,000. */
    readonly crashDownMs?: number;
}

/** Identity, lease limit and run plans of a fake executor. */
export interface FakeExecutorOptions {
    readonly executor: ExecutorId;
    readonly address: string;
    readonly clock: Clock;
    readonly checker: InvariantChecker;
    readonly planRun: (task: TaskKey, run: number) => RunPlan;
    readonly maxLeaseMs: number;
    /** Most ends in one listing. Default 500. */
    readonly maxListedEnds?: number;
}

interface ActiveRun {
    readonly task: TaskKey;
    readonly run: number;
    readonly plan: RunPlan;
    readonly startedAt: number;
}

/** Latency of a call in each direction, ms. */
const latencyMs = 5;
/** Time for which an executor is down after it crashed under a run, ms. */
const defaultCrashDownMs = 2_000;
/** Delay of orders while `isDelayingOrders` is set, ms. */
const orderDelayMs = 3_000;

/** The state of an executor and its side of the calls; the owner calls it through a `FakeTaskExecutor`. */
export class FakeExecutor {
    /** No call reaches it and no answer leaves it. */
    isPartitioned = false;
    /** Calls are carried out, and their answers are lost. */
    losesAnswers = false;
    /** No stop reaches it. */
    losesStops = false;
    /** Orders get no answer and are carried out late. */
    isDelayingOrders = false;
    /** Connections are refused at once while the process is down; otherwise calls get no answer. */
    refusesWhenDown = false;
    /** Another executor has the address and refuses all calls. */
    isReplaced = false;
    /** Number of orders that were refused because the process was down. */
    refusedOrders = 0;
    startedAtWallMs = 1;
    /** Part by which its clock is slower than that of the hosts. */
    clockLag = 0;
    private highestToken = 0;
    private clockStartedAt: number;
    private leaseDeadlineMs = 0;
    private nextSequence = 1;
    private runs = new Map<string, ActiveRun>();
    private ends: ListedEnd[] = [];
    /** Ends up to this sequence number were listed when the lease expired. */
    private lapsedThrough = 0;
    private highestEndedRuns = new Map<TaskKey, number>();
    private isUp = true;

    constructor(readonly options: FakeExecutorOptions) {
        this.clockStartedAt = options.clock.getNow();
    }

    get runningCount(): number {
        return this.runs.size;
    }

    /** Ends runs that are finished or whose lease has expired. Called before each call and by the simulation. */
    advance(): void {
        const now = this.options.clock.getNow();
        const leaseEndsAt = this.clockStartedAt + this.leaseDeadlineMs / (1 - this.clockLag);
        if (leaseEndsAt <= now) {
            this.lapsedThrough = this.nextSequence - 1;
        }
        for (const [key, run] of this.runs) {
            const endsAt = run.startedAt + run.plan.workMs;
            if (endsAt <= now && endsAt <= leaseEndsAt) {
                this.end(key, run, run.plan.outcome);
            }
            else if (leaseEndsAt <= now) {
                this.end(key, run, "lapsed");
            }
        }
    }

    /**
     * Ends the process, which loses all its state. It starts again at once, or with `isDown` when `start` is called.
     */
    kill(isDown = false): void {
        for (const run of this.runs.values()) {
            this.options.checker.recordLost(run.task, run.run);
        }
        this.runs = new Map();
        this.ends = [];
        this.highestEndedRuns = new Map();
        this.highestToken = 0;
        this.leaseDeadlineMs = 0;
        this.nextSequence = 1;
        this.lapsedThrough = 0;
        this.clockStartedAt = this.options.clock.getNow();
        this.startedAtWallMs += 1;
        this.isUp = !isDown;
    }

    start(): void {
        this.isUp = true;
        this.isReplaced = false;
    }

    /** Ends the process; another executor answers at its address until `start` is called. */
    replace(): void {
        this.kill();
        this.isReplaced = true;
    }

    /** Carries out a call with latency and the current faults. Only orders (`isOrder`) can be carried out late. */
    async exchange<T>(
        timeoutMs: number,
        isOrder: boolean,
        execute: () => Result<T, Failure>,
    ): Promise<Result<T, Failure>> {
        const { clock } = this.options;
        const incarnation = this.startedAtWallMs;
        await clock.wait(latencyMs);
        if (!this.isPartitioned && !this.isUp && this.refusesWhenDown) {
            this.refusedOrders += isOrder ? 1 : 0;
            return Err(createFailure(executorFailures.unreachable, "nothing listens at the address", "notRun"));
        }
        if (!this.isPartitioned && this.isReplaced) {
            return Err(createFailure(executorFailures.replaced, "another executor has the address", "notRun"));
        }
        if (this.isPartitioned || !this.isUp) {
            await clock.wait(timeoutMs);
            return Err(
                createFailure(executorFailures.unanswered, "the executor has not answered in time", "mayHaveRun"),
            );
        }
        if (isOrder && this.isDelayingOrders) {
            clock.schedule(orderDelayMs, () => {
                // A restart drops the orders that have not been carried out.
                if (this.startedAtWallMs === incarnation) {
                    this.advance();
                    execute();
                }
            });
            await clock.wait(timeoutMs);
            return Err(
                createFailure(executorFailures.unanswered, "the executor has not answered in time", "mayHaveRun"),
            );
        }
        this.advance();
        const result = execute();
        if (this.losesAnswers) {
            await clock.wait(timeoutMs);
            return Err(
                createFailure(executorFailures.unanswered, "the executor has not answered in time", "mayHaveRun"),
            );
        }
        await clock.wait(latencyMs);
        return this.isPartitioned || this.startedAtWallMs !== incarnation
            ? Err(createFailure(executorFailures.unanswered, "the executor has not answered in time", "mayHaveRun"))
            : result;
    }

    acceptStart(order: StartOrder): Result<{ readonly clockMs: number; }, Failure> {
        if (!this.acceptToken(order.fencingToken)) {
            return this.refuse(executorFailures.fenced, "the executor has seen a higher fencing token");
        }
        const key = toKey(order);
        if (this.runs.has(key)) {
            return Ok({ clockMs: this.clockMs });
        }
        if (order.deadlineMs <= this.clockMs) {
            return this.refuse(executorFailures.refused, "the deadline of the start has passed");
        }
        this.extend(order.deadlineMs);
        if (order.run <= (this.highestEndedRuns.get(order.task) ?? 0)) {
            return this.refuse(
                executorFailures.refused,
                "this run or a later one of the task has ended or was stopped",
            );
        }
        const plan = this.options.planRun(order.task, order.run);
        this.runs.set(key, { task: order.task, run: order.run, plan, startedAt: this.options.clock.getNow() });
        this.options.checker.recordStart(this.options.executor, order.task, order.run);
        if (plan.crashAfterMs !== undefined) {
            this.scheduleCrash(plan.crashAfterMs, plan.crashDownMs ?? defaultCrashDownMs);
        }
        return Ok({ clockMs: this.clockMs });
    }

    acceptStop(order: StopOrder): Result<{ readonly clockMs: number; }, Failure> {
        if (!this.acceptToken(order.fencingToken)) {
            return this.refuse(executorFailures.fenced, "the executor has seen a higher fencing token");
        }
        const key = toKey(order);
        const run = this.runs.get(key);
        if (run !== undefined) {
            this.end(key, run, "stopped");
        }
        this.highestEndedRuns.set(order.task, Math.max(order.run, this.highestEndedRuns.get(order.task) ?? 0));
        return Ok({ clockMs: this.clockMs });
    }

    acceptThrottle(order: ThrottleOrder): Result<{ readonly clockMs: number; }, Failure> {
        if (!this.acceptToken(order.fencingToken)) {
            return this.refuse(executorFailures.fenced, "the executor has seen a higher fencing token");
        }
        return this.runs.has(toKey(order))
            ? Ok({ clockMs: this.clockMs })
            : this.refuse(executorFailures.refused, "the run is not running");
    }

    acceptRenewal(renewal: LeaseRenewal): Result<ExecutorListing, Failure> {
        if (!this.acceptToken(renewal.fencingToken)) {
            return this.refuse(executorFailures.fenced, "the executor has seen a higher fencing token");
        }
        if (renewal.deadlineMs !== undefined) {
            this.extend(renewal.deadlineMs);
        }
        this.ends.filter(end => end.sequence <= renewal.acknowledged)
            .forEach(end =>
                this.options.checker.recordAcknowledged(end.task, end.run, end.sequence <= this.lapsedThrough)
            );
        this.ends = this.ends.filter(end => end.sequence > renewal.acknowledged);
        const now = this.options.clock.getNow();
        const { maxListedEnds = 500 } = this.options;
        return Ok({
            clockMs: this.clockMs,
            startedAtWallMs: this.startedAtWallMs,
            running: [...this.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                checkpoint: "",
                percent: run.plan.isAvailable === true
                    ? 100
                    : Math.floor(100 * (now - run.startedAt) / run.plan.workMs),
            })),
            ended: this.ends.slice(0, maxListedEnds),
            hasAllEnds: this.ends.length <= maxListedEnds,
        });
    }

    private scheduleCrash(afterMs: number, downMs: number): void {
        const { clock } = this.options;
        const incarnation = this.startedAtWallMs;
        clock.schedule(afterMs, () => {
            if (this.startedAtWallMs === incarnation) {
                this.kill(true);
                clock.schedule(downMs, () => this.start());
            }
        });
    }

    get hasEnds(): boolean {
        return this.ends.length > 0;
    }

    private get clockMs(): number {
        return (this.options.clock.getNow() - this.clockStartedAt) * (1 - this.clockLag);
    }

    private extend(deadlineMs: number): void {
        this.leaseDeadlineMs = Math.max(
            this.leaseDeadlineMs,
            Math.min(deadlineMs, this.clockMs + this.options.maxLeaseMs),
        );
    }

    private acceptToken(token: number): boolean {
        this.highestToken = Math.max(this.highestToken, token);
        return token >= this.highestToken;
    }

    private end(key: string, run: ActiveRun, outcome: RunOutcome): void {
        this.runs.delete(key);
        this.highestEndedRuns.set(run.task, Math.max(run.run, this.highestEndedRuns.get(run.task) ?? 0));
        this.ends.push({ sequence: this.nextSequence++, task: run.task, run: run.run, outcome, checkpoint: "" });
        this.options.checker.recordEnd(run.task, run.run, outcome);
    }

    private refuse(code: string, reason: string): Result<never, Failure> {
        return Err(createFailure(code, reason, "notRun"));
    }
}

/** Time-out of an order, ms. */
const orderTimeoutMs = 700;

class FakeTaskExecutor extends TaskExecutor {
    /** The life of the executor that sent the last listing. */
    private listedLife: number | undefined;

    constructor(private readonly executor: FakeExecutor, private readonly isReachable: () => boolean) {
        super();
    }

    override start(order: StartOrder): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.send(orderTimeoutMs, true, () => this.executor.acceptStart(order));
    }

    override async stop(order: StopOrder): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        if (this.executor.losesStops) {
            await this.executor.options.clock.wait(orderTimeoutMs);
            return Err(createFailure(executorFailures.unanswered, "the stop was lost", "mayHaveRun"));
        }
        return this.send(orderTimeoutMs, true, () => this.executor.acceptStop(order));
    }

    override throttle(order: ThrottleOrder): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.send(orderTimeoutMs, false, () => this.executor.acceptThrottle(order));
    }

    override async renew(renewal: LeaseRenewal, timeoutMs: number): Promise<Result<ExecutorListing, Failure>> {
        const { clock } = this.executor.options;
        const deadline = clock.getNow() + (renewal.waitMs ?? 0);
        const incarnation = this.executor.startedAtWallMs;
        let current = renewal;
        for (;;) {
            if (this.executor.startedAtWallMs !== incarnation) {
                return Err(
                    createFailure(
                        executorFailures.unanswered,
                        "the executor restarted while the renewal waited",
                        "mayHaveRun",
                    ),
                );
            }
            const result = await this.send(timeoutMs, false, () => this.executor.acceptRenewal(current));
            this.listedLife = result.ok ? result.val.startedAtWallMs : this.listedLife;
            // The acknowledgement applies only to ends that were listed when the call arrived.
            current = { ...renewal, acknowledged: 0 };
            if (!result.ok || this.executor.hasEnds || clock.getNow() >= deadline) {
                return result;
            }
            await clock.wait(20);
        }
    }

    override close(): void {
        // There is no connection to close.
    }

    private async send<T>(
        timeoutMs: number,
        isOrder: boolean,
        execute: () => Result<T, Failure>,
    ): Promise<Result<T, Failure>> {
        if (!this.isReachable()) {
            await this.executor.options.clock.wait(timeoutMs);
            return Err(
                createFailure(executorFailures.unanswered, "the executor has not answered in time", "mayHaveRun"),
            );
        }
        const result = await this.executor.exchange(timeoutMs, isOrder, execute);
        const mayBeNew = this.executor.startedAtWallMs !== this.listedLife;
        return !result.ok && result.val.code === executorFailures.unanswered && mayBeNew
            ? Err(createFailure(executorFailures.unansweredNew, result.val.message, "mayHaveRun"))
            : result;
    }
}

/** Opens clients of fake executors by address, for one host. */
export class FakeConnector extends ExecutorConnector {
    /** Whether the host of this connector reaches any executor. */
    isConnected = true;
    /** Addresses of executors that only this host cannot reach. */
    readonly unreachable = new Set<string>();

    constructor(private readonly executors: ReadonlyMap<string, FakeExecutor>) {
        super();
    }

    override open(
        { executor, address }: { readonly executor: ExecutorId; readonly address: NetworkAddress; },
    ): TaskExecutor {
        const found = this.executors.get(address);
        if (found === undefined) {
            throw new Error(`no fake executor ${executor} at ${address}`);
        }
        return new FakeTaskExecutor(found, () => this.isConnected && !this.unreachable.has(address));
    }
}

/** Returns the address of the fake executor with this index. */
export function toFakeAddress(index: number): NetworkAddress {
    return toId<NetworkAddress>(`10.0.0.${index + 1}:8000`);
}

/** Returns the id of the fake executor with this index. */
export function toFakeExecutorId(index: number): ExecutorId {
    return toId<ExecutorId>(`e${index}`);
}

function toKey(order: { readonly task: TaskKey; readonly run: number; }): string {
    return `${order.task}#${order.run}`;
}
