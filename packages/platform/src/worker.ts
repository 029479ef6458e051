/**
 * Interface to a worker. A worker does not check its capacity: it starts every task that it receives, so only the
 * sender can prevent overcommitment.
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
    /** Lease of the task, in milliseconds: the time for which the worker runs it without a renewal. */
    readonly leaseMs: number;
    /** Milliseconds after the send within which the worker must receive the start; it refuses a later one. */
    readonly expiresInMs: number;
    /** Epoch of the shard owner that sends the start. Workers record it without checking it. */
    readonly epoch: number;
}

/** How a task ended. */
export type TaskOutcome = "succeeded" | "failed" | "stopped" | "leaseExpired";

/** State of a task, as its worker reports it. */
export interface WorkerTask {
    readonly task: TaskId;
    readonly team: TeamId;
    readonly resources: ResourceVector;
    readonly epoch: number;
    /** `undefined` while the task runs. Workers keep an outcome until it is acknowledged, or for 10 minutes. */
    readonly outcome: TaskOutcome | undefined;
    /** Measured resource usage, some seconds old. */
    readonly usage: ResourceVector | undefined;
}

/** State of a worker and its tasks, as the worker reports it. */
export interface WorkerReport {
    readonly worker: WorkerId;
    readonly capacity: ResourceVector;
    readonly isDraining: boolean;
    readonly tasks: readonly WorkerTask[];
}

/** Identity, location, address and capacity of a worker, from settings or the host list. */
export interface WorkerAddress {
    readonly worker: WorkerId;
    readonly zone: ZoneId;
    readonly rack: RackId;
    /** `http://<ip>:<port>` */
    readonly url: string;
    readonly capacity: ResourceVector;
}

/** Renewal of the leases of a worker's tasks, with the acknowledgement of outcomes. */
export interface TaskLeaseRenewal {
    readonly tasks: readonly TaskId[];
    /** New lease of each task, in milliseconds. */
    readonly leaseMs: number;
    /** Tasks whose outcome the owner has committed; the worker may forget them. */
    readonly acknowledged: readonly TaskId[];
}

/** Client of one worker. Failures carry verdicts; that of a start whose response was lost is `mayHaveRun`. */
export abstract class Worker {
    abstract start(start: TaskStart): Promise<Result<void, Failure>>;
    /** Renews the leases of the listed tasks only, and returns the state of the worker with all its tasks. */
    abstract renew(renewal: TaskLeaseRenewal): Promise<Result<WorkerReport, Failure>>;
    abstract list(): Promise<Result<WorkerReport, Failure>>;
    /** Stops a task; its outcome becomes `stopped`. The call also succeeds if the worker does not know the task. */
    abstract stop(task: TaskId): Promise<Result<void, Failure>>;
    /** Saves the state of a task and stops it, so that a later start resumes from that state. */
    abstract checkpoint(task: TaskId): Promise<Result<void, Failure>>;
    /** Limits a task to `percent` (1 to 100) of its processors. */
    abstract throttle(task: TaskId, percent: number): Promise<Result<void, Failure>>;
}
