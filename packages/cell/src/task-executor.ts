/** An executor as the owner of a cell uses it. Adapters implement the calls. */
import type { ExecutorId, Failure, RackId, ResourceVector, Result, ZoneId } from "@waxwingroute/core";
import type { ListedRun, PoolId, RunOutcome, TaskKey } from "@waxwingroute/workflow";

/** What an executor says of itself in the store. */
export interface ExecutorEntry {
    readonly executor: ExecutorId;
    /** `<ip>:<port>` */
    readonly address: string;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly rack: RackId | undefined;
    readonly labels: readonly string[];
    readonly capacity: ResourceVector;
    readonly isDraining: boolean;
    /** Least time until it leaves, ms; only while it drains. */
    readonly remainingMs: number | undefined;
}

export interface StartOrder {
    readonly task: TaskKey;
    readonly run: number;
    readonly payload: string;
    readonly checkpoint: string;
    readonly ticket: string | undefined;
    /** Time of the executor's clock after which the start is refused; also extends the lease of all its runs. */
    readonly deadlineMs: number;
    readonly fencingToken: number;
}

export interface StopOrder {
    readonly task: TaskKey;
    readonly run: number;
    readonly fencingToken: number;
}

export interface ThrottleOrder extends StopOrder {
    /** Share at which the task may work, 0 to 100. */
    readonly percent: number;
}

export interface LeaseRenewal {
    readonly fencingToken: number;
    /** Ends up to this number are forgotten by the executor. */
    readonly acknowledged: number;
    /** Time of the executor's clock until which its runs may go on. */
    readonly deadlineMs?: number;
    /** How long the answer may wait for an end, ms. */
    readonly waitMs?: number;
}

/** An end as the executor lists it; `sequence` starts at 1 in each life of the executor. */
export interface ListedEnd {
    readonly sequence: number;
    readonly task: TaskKey;
    readonly run: number;
    readonly outcome: RunOutcome;
    readonly checkpoint: string;
}

export interface ExecutorListing {
    readonly clockMs: number;
    /** Wall-clock start of this life of the executor; another value means that it restarted. */
    readonly startedAtWallMs: number | undefined;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
}

/** Codes of failures of executor calls that the owner tells apart; all others mean that the outcome is unknown. */
export const executorFailures = {
    /** The executor has seen a higher fencing token. */
    fenced: "executor-fenced",
    /** The executor refused the call and did nothing. */
    refused: "executor-refused",
    /** Another life of an executor has this address. */
    replaced: "executor-replaced",
    unreachable: "executor-unreachable",
    unanswered: "executor-unanswered",
} as const;

/** One executor. Failures have a code of `executorFailures` and an exact verdict. */
export abstract class TaskExecutor {
    abstract start(order: StartOrder): Promise<Result<{ readonly clockMs: number; }, Failure>>;
    abstract stop(order: StopOrder): Promise<Result<{ readonly clockMs: number; }, Failure>>;
    abstract throttle(order: ThrottleOrder): Promise<Result<{ readonly clockMs: number; }, Failure>>;
    abstract renew(renewal: LeaseRenewal, timeoutMs: number): Promise<Result<ExecutorListing, Failure>>;
    abstract close(): void;
}

/** Opens connections to executors. */
export abstract class ExecutorConnector {
    abstract open(entry: { readonly executor: ExecutorId; readonly address: string; }): TaskExecutor;
}
