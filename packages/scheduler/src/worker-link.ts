/**
 * What the shard owner knows of one worker: whether it is reachable, which tasks it runs and how long their leases can
 * last.
 */
import { zeroResources } from "@waxwingroute/core";
import type { ResourceVector, TaskId, WorkerId } from "@waxwingroute/core";
import type { Worker, WorkerAddress, WorkerReport } from "@waxwingroute/platform";

/** A task that the owner has placed on the worker or found there. */
export interface PlacedTask {
    readonly task: TaskId;
    /** When the last start or renewal that the worker may have received was sent, on the monotonic clock. */
    leaseSentAt: number;
    /** When the start was sent, on the monotonic clock; `-Infinity` for a task that was found on the worker. */
    readonly startSentAt: number;
    /** Whether the start call is still unanswered. */
    isStartPending: boolean;
}

/** The address of a worker and the client that calls it. */
export interface WorkerLinkOptions {
    readonly address: WorkerAddress;
    readonly client: Worker;
}

/** One worker as its shard's owner sees it, with the client that calls it. */
export class WorkerLink {
    readonly tasks = new Map<TaskId, PlacedTask>();
    /** Tasks whose outcome is committed; the next renewal lets the worker forget them. */
    readonly acknowledged = new Set<TaskId>();
    address: WorkerAddress;
    readonly client: Worker;
    isReachable = false;
    /** Whether the worker reports that it is draining. */
    isReportedDraining = false;
    /** Whether the host list says that the worker is leaving. */
    isLeaving = false;
    isCallPending = false;
    lastCallAt = -Infinity;
    lastReport: WorkerReport | undefined;
    /** Resources of tasks on the worker that this owner neither placed nor adopted; not free until those tasks end. */
    untrackedUsage: ResourceVector = zeroResources;

    constructor(options: WorkerLinkOptions) {
        this.address = options.address;
        this.client = options.client;
    }

    get worker(): WorkerId {
        return this.address.worker;
    }
}
