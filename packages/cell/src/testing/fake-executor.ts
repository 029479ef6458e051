/**
 * An executor in memory for tests: fencing token, lease on its own clock, run numbers, ends with acknowledgement, restarts,
 * silence, and orders that get no answer and are carried out late. It keeps its own record of what ran, for `InvariantChecker`.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
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

/** How one run goes. */
export interface RunPlan {
    readonly workMs: number;
    readonly outcome: "done" | "failed";
}

export interface FakeExecutorOptions {
    readonly executor: ExecutorId;
    readonly address: string;
    readonly clock: Clock;
    readonly checker: InvariantChecker;
    readonly planRun: (task: TaskKey, run: number) => RunPlan;
    readonly maxLeaseMs: number;
}

interface ActiveRun {
    readonly task: TaskKey;
    readonly run: number;
    readonly plan: RunPlan;
    readonly startedAt: number;
}

/** Time of an exchange, ms. */
const latencyMs = 5;
/** Delay of an order that is carried out late, ms. */
const lateMs = 3_000;

export class FakeExecutor {
    /** Nothing reaches it or leaves it. */
    isPartitioned = false;
    /** Orders get no answer and are carried out late. */
    isDelayingOrders = false;
    startedAtWallMs = 1;
    private fence = 0;
    private bornAt: number;
    private deadlineMs = 0;
    private nextSequence = 1;
    private runs = new Map<string, ActiveRun>();
    private ends: ListedEnd[] = [];
    private highestEnded = new Map<TaskKey, number>();
    private isUp = true;

    constructor(readonly options: FakeExecutorOptions) {
        this.bornAt = options.clock.getNow();
    }

    get runningCount(): number {
        return this.runs.size;
    }

    /** Ends what is finished or has lost its lease. Called before every exchange and by the harness. */
    advance(): void {
        const now = this.options.clock.getNow();
        for (const [key, run] of this.runs) {
            const endsAt = run.startedAt + run.plan.workMs;
            const lapsesAt = this.bornAt + this.deadlineMs;
            if (endsAt <= now && endsAt <= lapsesAt) {
                this.end(key, run, run.plan.outcome);
            }
            else if (lapsesAt <= now) {
                this.end(key, run, "lapsed");
            }
        }
    }

    /** Loses everything and starts again. `isDown`: stays away until `start`. */
    kill(isDown = false): void {
        for (const run of this.runs.values()) {
            this.options.checker.recordLost(run.task, run.run);
        }
        this.runs = new Map();
        this.ends = [];
        this.highestEnded = new Map();
        this.fence = 0;
        this.deadlineMs = 0;
        this.nextSequence = 1;
        this.bornAt = this.options.clock.getNow();
        this.startedAtWallMs += 1;
        this.isUp = !isDown;
    }

    start(): void {
        this.isUp = true;
    }

    async exchange<T>(
        timeoutMs: number,
        isOrder: boolean,
        execute: () => Result<T, Failure>,
    ): Promise<Result<T, Failure>> {
        const { clock } = this.options;
        const life = this.startedAtWallMs;
        await clock.wait(latencyMs);
        if (this.isPartitioned || !this.isUp) {
            await clock.wait(timeoutMs);
            return Err(createFailure(executorFailures.unanswered, "no answer", "mayHaveRun"));
        }
        if (isOrder && this.isDelayingOrders) {
            clock.schedule(lateMs, () => {
                // An executor that crashes loses the orders that it has not carried out.
                if (this.startedAtWallMs === life) {
                    this.advance();
                    execute();
                }
            });
            await clock.wait(timeoutMs);
            return Err(createFailure(executorFailures.unanswered, "no answer", "mayHaveRun"));
        }
        this.advance();
        const result = execute();
        await clock.wait(latencyMs);
        return this.isPartitioned || this.startedAtWallMs !== life
            ? Err(createFailure(executorFailures.unanswered, "no answer", "mayHaveRun"))
            : result;
    }

    acceptStart(order: StartOrder): Result<{ readonly clockMs: number; }, Failure> {
        if (!this.acceptToken(order.fencingToken)) {
            return this.refuse(executorFailures.fenced, "fence");
        }
        const key = toKey(order);
        if (this.runs.has(key)) {
            return Ok({ clockMs: this.clockMs });
        }
        if (order.deadlineMs <= this.clockMs) {
            return this.refuse(executorFailures.refused, "late");
        }
        this.extend(order.deadlineMs);
        if (order.run <= (this.highestEnded.get(order.task) ?? 0)) {
            return this.refuse(executorFailures.refused, "old");
        }
        const plan = this.options.planRun(order.task, order.run);
        this.runs.set(key, { task: order.task, run: order.run, plan, startedAt: this.options.clock.getNow() });
        this.options.checker.recordStart(this.options.executor, order.task, order.run);
        return Ok({ clockMs: this.clockMs });
    }

    acceptStop(order: StopOrder): Result<{ readonly clockMs: number; }, Failure> {
        if (!this.acceptToken(order.fencingToken)) {
            return this.refuse(executorFailures.fenced, "fence");
        }
        const key = toKey(order);
        const run = this.runs.get(key);
        if (run !== undefined) {
            this.end(key, run, "stopped");
        }
        this.highestEnded.set(order.task, Math.max(order.run, this.highestEnded.get(order.task) ?? 0));
        return Ok({ clockMs: this.clockMs });
    }

    acceptThrottle(order: ThrottleOrder): Result<{ readonly clockMs: number; }, Failure> {
        if (!this.acceptToken(order.fencingToken)) {
            return this.refuse(executorFailures.fenced, "fence");
        }
        return this.runs.has(toKey(order))
            ? Ok({ clockMs: this.clockMs })
            : this.refuse(executorFailures.refused, "old");
    }

    acceptRenewal(renewal: LeaseRenewal): Result<ExecutorListing, Failure> {
        if (!this.acceptToken(renewal.fencingToken)) {
            return this.refuse(executorFailures.fenced, "fence");
        }
        if (renewal.deadlineMs !== undefined) {
            this.extend(renewal.deadlineMs);
        }
        this.ends.filter(end => end.sequence <= renewal.acknowledged)
            .forEach(end => this.options.checker.recordAcknowledged(end.task, end.run));
        this.ends = this.ends.filter(end => end.sequence > renewal.acknowledged);
        const now = this.options.clock.getNow();
        return Ok({
            clockMs: this.clockMs,
            startedAtWallMs: this.startedAtWallMs,
            running: [...this.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                checkpoint: "",
                percent: Math.floor(100 * (now - run.startedAt) / run.plan.workMs),
            })),
            ended: [...this.ends],
        });
    }

    get hasEnds(): boolean {
        return this.ends.length > 0;
    }

    private get clockMs(): number {
        return this.options.clock.getNow() - this.bornAt;
    }

    private extend(deadlineMs: number): void {
        this.deadlineMs = Math.max(this.deadlineMs, Math.min(deadlineMs, this.clockMs + this.options.maxLeaseMs));
    }

    private acceptToken(token: number): boolean {
        this.fence = Math.max(this.fence, token);
        return token >= this.fence;
    }

    private end(key: string, run: ActiveRun, outcome: RunOutcome): void {
        this.runs.delete(key);
        this.highestEnded.set(run.task, Math.max(run.run, this.highestEnded.get(run.task) ?? 0));
        this.ends.push({ sequence: this.nextSequence++, task: run.task, run: run.run, outcome, checkpoint: "" });
        this.options.checker.recordEnd(run.task, run.run, outcome);
    }

    private refuse(code: string, reason: string): Result<never, Failure> {
        return Err(createFailure(code, reason, "notRun"));
    }
}

/** Bound of an order, ms. */
const orderTimeoutMs = 700;

class FakeTaskExecutor extends TaskExecutor {
    constructor(private readonly executor: FakeExecutor, private readonly reaches: () => boolean) {
        super();
    }

    override start(order: StartOrder): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.send(orderTimeoutMs, true, () => this.executor.acceptStart(order));
    }

    override stop(order: StopOrder): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.send(orderTimeoutMs, true, () => this.executor.acceptStop(order));
    }

    override throttle(order: ThrottleOrder): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.send(orderTimeoutMs, false, () => this.executor.acceptThrottle(order));
    }

    override async renew(renewal: LeaseRenewal, timeoutMs: number): Promise<Result<ExecutorListing, Failure>> {
        const { clock } = this.executor.options;
        const deadline = clock.getNow() + (renewal.waitMs ?? 0);
        const life = this.executor.startedAtWallMs;
        let current = renewal;
        for (;;) {
            if (this.executor.startedAtWallMs !== life) {
                return Err(createFailure(executorFailures.unanswered, "the connection was reset", "mayHaveRun"));
            }
            const result = await this.send(timeoutMs, false, () => this.executor.acceptRenewal(current));
            // Ends are acknowledged when the call arrives, not those that come while it waits.
            current = { ...renewal, acknowledged: 0 };
            if (!result.ok || this.executor.hasEnds || clock.getNow() >= deadline) {
                return result;
            }
            await clock.wait(20);
        }
    }

    override close(): void {
        // Nothing is open.
    }

    private async send<T>(
        timeoutMs: number,
        isOrder: boolean,
        execute: () => Result<T, Failure>,
    ): Promise<Result<T, Failure>> {
        if (!this.reaches()) {
            await this.executor.options.clock.wait(timeoutMs);
            return Err(createFailure(executorFailures.unanswered, "no answer", "mayHaveRun"));
        }
        return this.executor.exchange(timeoutMs, isOrder, execute);
    }
}

/** Opens fake executors by address. */
export class FakeConnector extends ExecutorConnector {
    /** Whether the host of this connector reaches the executors. */
    isConnected = true;
    /** Addresses that this host alone does not reach. */
    readonly unreachable = new Set<string>();

    constructor(private readonly executors: ReadonlyMap<string, FakeExecutor>) {
        super();
    }

    override open({ executor, address }: { readonly executor: ExecutorId; readonly address: string; }): TaskExecutor {
        const found = this.executors.get(address);
        if (found === undefined) {
            throw new Error(`no fake executor ${executor} at ${address}`);
        }
        return new FakeTaskExecutor(found, () => this.isConnected && !this.unreachable.has(address));
    }
}

export function toFakeAddress(index: number): string {
    return `10.0.0.${index + 1}:8000`;
}

export function toFakeExecutorId(index: number): ExecutorId {
    return toId<ExecutorId>(`e${index}`);
}

function toKey(order: { readonly task: TaskKey; readonly run: number; }): string {
    return `${order.task}#${order.run}`;
}
