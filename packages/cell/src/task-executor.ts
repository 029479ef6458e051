/** The calls from the owner of a cell to an executor, and their messages. Adapters implement the calls. */
import type { ExecutorId, Failure, NetworkAddress, RackId, ResourceVector, Result, ZoneId } from "@waxwingroute/core";
import type { ListedRun, PoolId, RunOutcome, TaskKey } from "@waxwingroute/workflow";

/** The entry in the store with which an executor registers. */
export interface ExecutorEntry {
    readonly executor: ExecutorId;
    readonly address: NetworkAddress;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly rack: RackId | undefined;
    readonly labels: readonly string[];
    readonly capacity: ResourceVector;
    readonly isDraining: boolean;
    /** Shortest time until it leaves, ms; only while it drains. */
    readonly remainingMs: number | undefined;
}

/** An order to start a run. */
export interface StartOrder {
    readonly task: TaskKey;
    readonly run: number;
    readonly payload: string;
    readonly checkpoint: string;
    readonly ticket: string | undefined;
    /**
     * Reading of the executor's clock after which the start is refused. The lease of all its runs is extended to it.
     */
    readonly deadlineMs: number;
    readonly fencingToken: number;
}

/** An order to stop a run. After it, the executor also refuses to start the run. */
export interface StopOrder {
    readonly task: TaskKey;
    readonly run: number;
    readonly fencingToken: number;
}

/** An order to limit the speed of a run. */
export interface ThrottleOrder extends StopOrder {
    /** Speed at which the task may work, as a percentage of its full speed, 0 to 100. */
    readonly percent: number;
}

/** A request to extend the lease of all runs on an executor and to list them. */
export interface LeaseRenewal {
    readonly fencingToken: number;
    /** The executor drops its records of ends up to this sequence number. */
    readonly acknowledged: number;
    /**
     * `startedAtWallMs` of the incarnation that numbered these ends. Another one gets no acknowledgement, since it numbers
     * its ends anew.
     */
    readonly incarnation?: number;
    /** Reading of the executor's clock until which its runs may go on; without it, the lease is not extended. */
    readonly deadlineMs?: number;
    /** Longest time for which the executor may hold back the answer until a run ends, ms. */
    readonly waitMs?: number;
}

/** The end of a run as the executor lists it. `sequence` starts at 1 in each incarnation of the executor. */
export interface ListedEnd {
    readonly sequence: number;
    readonly task: TaskKey;
    readonly run: number;
    readonly outcome: RunOutcome;
    readonly checkpoint: string;
}

/** The answer to a renewal: everything that the executor holds, unless it holds too many ends for one answer. */
export interface ExecutorListing {
    /** Reading of the executor's clock. */
    readonly clockMs: number;
    /** Wall-clock time at which the executor started; a changed value means that it restarted. */
    readonly startedAtWallMs: number | undefined;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
    /** Whether there are no further ends. If there are, a run that is in neither list may have ended. */
    readonly hasAllEnds: boolean;
}

/** Failure codes of executor calls that the owner distinguishes; any other means that the outcome is unknown. */
export const executorFailures = {
    /** The executor has seen a higher fencing token. */
    fenced: "executor-fenced",
    /** The executor refused the call and did not act on it. */
    refused: "executor-refused",
    /** The executor refused a start because its ticket is not valid, and did not act on it. */
    ticketRefused: "executor-ticket-refused",
    /** Another executor, or another incarnation of this one, has this address. */
    replaced: "executor-replaced",
    unreachable: "executor-unreachable",
    unanswered: "executor-unanswered",
    /** As `unanswered`, and the executor may have restarted between its last listing and the arrival of the call. */
    unansweredNew: "executor-unanswered-new",
} as const;

/** Client of one executor. Its failures have a code of `executorFailures` and a verdict that is exact. */
export abstract class TaskExecutor {
    abstract start(order: StartOrder): Promise<Result<{ readonly clockMs: number; }, Failure>>;
    abstract stop(order: StopOrder): Promise<Result<{ readonly clockMs: number; }, Failure>>;
    abstract throttle(order: ThrottleOrder): Promise<Result<{ readonly clockMs: number; }, Failure>>;
    abstract renew(renewal: LeaseRenewal, timeoutMs: number): Promise<Result<ExecutorListing, Failure>>;
    abstract close(): void;
}

/** Opens connections to executors. */
export abstract class ExecutorConnector {
    abstract open(entry: { readonly executor: ExecutorId; readonly address: NetworkAddress; }): TaskExecutor;
}
