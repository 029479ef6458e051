/**
 * What the shard owner knows of one worker: its reachability, its tasks and until when their leases can run.
 */
import { zeroResources } from "@waxwingroute/core";
import type { ResourceVector, TaskId, WorkerId } from "@waxwingroute/core";
import type { Worker, WorkerAddress, WorkerReport } from "@waxwingroute/platform";

/** A task that the owner has placed on the worker. */
export interface PlacedTask {
    readonly task: TaskId;
    /** When the last start or renewal that the worker may have received was sent. */
    leaseSentAt: number;
    /** When the start was sent; tasks that were found running have the time at which they were found. */
    readonly startSentAt: number;
    /** Whether the start call is still unanswered. */
    isStartPending: boolean;
}

export interface WorkerLinkOptions {
    readonly address: WorkerAddress;
    readonly client: Worker;
}

/** The link to one worker. */
export class WorkerLink {
    readonly tasks = new Map<TaskId, PlacedTask>();
    /** Tasks whose outcome is committed and that the worker may forget. */
    readonly acknowledged = new Set<TaskId>();
    address: WorkerAddress;
    readonly client: Worker;
    isReachable = false;
    /** Whether the worker says that it drains. */
    isReportedDraining = false;
    /** Whether the host list says that it is leaving. */
    isLeaving = false;
    isCallPending = false;
    lastCallAt = -Infinity;
    lastReport: WorkerReport | undefined;
    /** What the worker runs beside the tasks that this owner placed there; it is not free until those tasks end. */
    untrackedUsage: ResourceVector = zeroResources;

    constructor(options: WorkerLinkOptions) {
        this.address = options.address;
        this.client = options.client;
    }

    get worker(): WorkerId {
        return this.address.worker;
    }
}
