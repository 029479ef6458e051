/**
 * A worker as the system sees it. Workers start whatever they are given, whether it fits or not.
 */
import type {
    Failure,
    JobId,
    RackId,
    ResourceVector,
    Result,
    TaskId,
    TeamId,
    WorkerId,
    ZoneId,
} from "@waxwingroute/core";

/** A request to start a task. */
export interface TaskStart {
    readonly task: TaskId;
    readonly team: TeamId;
    readonly job: JobId;
    readonly resources: ResourceVector;
    readonly command: string;
    /** Milliseconds for which the worker runs the task without a renewal. */
    readonly leaseMs: number;
    /** Milliseconds after the send within which the worker must receive the start; after it the worker refuses. */
    readonly expiresInMs: number;
    /** Epoch of the shard owner that sends. Workers record it; they do not judge it. */
    readonly epoch: number;
}

/** How a task ended. */
export type TaskOutcome = "succeeded" | "failed" | "stopped" | "leaseExpired";

/** A task as its worker reports it. */
export interface WorkerTask {
    readonly task: TaskId;
    readonly team: TeamId;
    readonly resources: ResourceVector;
    readonly epoch: number;
    /** `undefined` while it runs. Workers keep outcomes until they are acknowledged, or for 10 minutes. */
    readonly outcome: TaskOutcome | undefined;
    /** Measured use, with a lag of some seconds. */
    readonly usage: ResourceVector | undefined;
}

/** What a worker says of itself and its tasks. */
export interface WorkerReport {
    readonly worker: WorkerId;
    readonly capacity: ResourceVector;
    readonly isDraining: boolean;
    readonly tasks: readonly WorkerTask[];
}

/** Identity and address of a worker from settings or the host list. */
export interface WorkerAddress {
    readonly worker: WorkerId;
    readonly zone: ZoneId;
    readonly rack: RackId;
    /** `http://<ip>:<port>` */
    readonly url: string;
    readonly capacity: ResourceVector;
}

/** One call that renews the leases of all tasks of a worker and acknowledges outcomes. */
export interface TaskLeaseRenewal {
    readonly tasks: readonly TaskId[];
    readonly leaseMs: number;
    /** Tasks whose outcome the owner has committed; the worker may forget them. */
    readonly acknowledged: readonly TaskId[];
}

/** Access to one worker. Failures carry verdicts; a start whose answer was lost is `mayHaveRun`. */
export abstract class Worker {
    abstract start(start: TaskStart): Promise<Result<void, Failure>>;
    /** Renews leases and returns what the worker runs. Tasks that the worker runs but the call does not name are not renewed. */
    abstract renew(renewal: TaskLeaseRenewal): Promise<Result<WorkerReport, Failure>>;
    abstract list(): Promise<Result<WorkerReport, Failure>>;
    /** Stops a task; its outcome becomes `stopped`. Unknown tasks succeed. */
    abstract stop(task: TaskId): Promise<Result<void, Failure>>;
    /** Saves the state of a task and stops it, so that a later start continues from there. */
    abstract checkpoint(task: TaskId): Promise<Result<void, Failure>>;
    /** Limits a task to `percent` (1 to 100) of its processors. */
    abstract throttle(task: TaskId, percent: number): Promise<Result<void, Failure>>;
}
