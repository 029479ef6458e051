/**
 * Rows of the engine's tables. Waiting tasks have no rows: a job counts them, so that they cost nothing.
 */
import type { JobId, ResourceVector, TaskId, TeamId } from "@waxwingroute/core";
import type { HeapItem, IndexedHeap } from "./indexed-heap.js";
import type { JobKind, Priority } from "./types.js";

/** One task size. Equal sizes share a row, so that a size that does not fit is searched for once. */
export interface TaskShape {
    readonly cpu: number;
    readonly memory: number;
    readonly accelerators: number;
    readonly resources: ResourceVector;
    /** `false` while no worker has room for this size. */
    isOpen: boolean;
    /** The lanes of all teams, the next to be placed at the top. */
    readonly teams: IndexedHeap<TeamEntry>;
    /** The same for lanes with urgent queues. */
    readonly urgentTeams: IndexedHeap<TeamEntry>;
}

/** The active queues of one team for one size. */
export interface ActiveQueues {
    readonly team: TeamRow;
    readonly shape: TaskShape;
    readonly urgent: IndexedHeap<JobQueue>;
    readonly normal: IndexedHeap<JobQueue>;
    /** Its place among the lanes of the size, and among those with urgent queues. */
    readonly entry: TeamEntry;
    readonly urgentEntry: TeamEntry;
}

/** A lane in the order of all lanes of its size. */
export interface TeamEntry extends HeapItem {
    readonly queues: ActiveQueues;
    /** Copy of the share by which the team is ordered, so that comparisons read few objects. */
    share: number;
}

/**
 * - `active`: in a lane of its team; it can be placed when its size is open.
 * - `paused`: not tried before `retryAt`, because it is a gang that did not fit or that has a reservation.
 * - `grant`: the grant of the team has no room.
 * - `empty`: no job has startable tasks.
 */
export type QueueState = "active" | "paused" | "grant" | "empty";

/** Jobs of one team, priority, kind and size. Either the first of them can be placed or none can. */
export interface JobQueue extends HeapItem {
    readonly team: TeamRow;
    readonly kind: JobKind;
    readonly priority: Priority;
    readonly shape: TaskShape;
    readonly jobs: IndexedHeap<JobRow>;
    /** Key in the queues of the team. */
    readonly key: string;
    state: QueueState;
    /** End of the state `paused`. */
    retryAt: number;
    /** Time before which no preemption is planned for the queue, because none was possible. */
    preemptRetryAt: number;
    readonly candidate: ReservationCandidate;
}

/** A queue in the order of reservations. */
export interface ReservationCandidate extends HeapItem {
    readonly queue: JobQueue;
    /** Time until which it is not considered, because the last attempt failed. */
    retryAt: number;
}

/** A team: its share, limits and use. */
export interface TeamRow {
    readonly id: TeamId;
    weight: number;
    limit: ResourceVector | undefined;
    grant: ResourceVector | undefined;
    overLimit: "finish" | "preempt";
    usedCpu: number;
    usedMemory: number;
    usedAccelerators: number;
    /** Part of the use that is being preempted. */
    stoppingCpu: number;
    stoppingMemory: number;
    stoppingAccelerators: number;
    waitingCpu: number;
    waitingMemory: number;
    waitingAccelerators: number;
    waitingCount: number;
    runningCount: number;
    /** Part of the use by urgent tasks. */
    urgentCpu: number;
    urgentMemory: number;
    urgentAccelerators: number;
    /** Dominant share of what the team uses, divided by its weight. */
    weightedShare: number;
    /** The same of its urgent tasks alone. */
    urgentWeightedShare: number;
    /** The team uses at least what its weight entitles it to when all active teams want capacity. */
    isOverShare: boolean;
    /** Its urgent work comes before the normal work of other teams. */
    isUrgentFirst: boolean;
    readonly activeQueues: Map<TaskShape, ActiveQueues>;
    readonly queues: Map<string, JobQueue>;
    readonly grantBlockedQueues: Set<JobQueue>;
    /** Tasks that may be preempted, oldest first. Ended tasks stay until the list is pruned. */
    preemptible: TaskRow[];
}

/** A job and the counts of its tasks. */
export interface JobRow extends HeapItem {
    readonly id: JobId;
    readonly team: TeamRow;
    readonly kind: JobKind;
    readonly priority: Priority;
    readonly taskCount: number;
    readonly shape: TaskShape;
    readonly queue: JobQueue;
    readonly jobClass: string;
    readonly declaredRunMs: number | undefined;
    /** Order within the team: the latest start time that meets the deadline, or one that bounds the wait. */
    readonly latestStart: number;
    readonly sequence: number;
    /** Tasks below this index have been placed, ended or returned. */
    nextIndex: number;
    windowEnd: number;
    /** Indexes that wait again. */
    readonly returnedIndexes: number[];
    /** Indexes from `nextIndex` up that run or ended already. */
    readonly takenIndexes: Set<number>;
    /** Tasks that hold capacity, by index. */
    readonly running: Map<number, TaskRow>;
    readonly reservations: Set<Reservation>;
    finishedCount: number;
    isCancelled: boolean;
    successCount: number;
    failureCount: number;
    /** Worker row of the last failure, or -1. */
    lastFailedWorkerRow: number;
    /** Running tasks of a service by rack and by worker row. */
    readonly rackTaskCounts: Map<number, number>;
    readonly workerTaskCounts: Map<number, number>;
}

/**
 * - `starting`: the start was decided.
 * - `running`: the worker confirmed it.
 * - `uncertain`: it may run.
 * - `stopping`: it was asked to stop or to save its state.
 */
export type TaskState = "starting" | "running" | "uncertain" | "stopping";

/** A task that holds capacity. */
export interface TaskRow {
    readonly id: TaskId;
    readonly job: JobRow;
    readonly index: number;
    readonly workerRow: number;
    /** Rack of the worker when the task was placed. */
    readonly rack: number;
    readonly shape: TaskShape;
    state: TaskState;
    startedAt: number;
    expectedEnd: number;
    hasEnded: boolean;
    isProbe: boolean;
}

/** Workers on which a reservation holds capacity. */
export interface ReservationPart {
    readonly workerRow: number;
    readonly count: number;
}

/** Capacity that is held for the next tasks of a job. */
export interface Reservation {
    readonly job: JobRow;
    readonly purpose: "head" | "gang" | "preemption";
    readonly parts: readonly ReservationPart[];
    /** When the capacity is expected to be free; other work may use it until then. */
    readonly readyAt: number;
    /** When other workers are looked for, because the capacity did not become free. */
    readonly replanAt: number;
}

/** Returns how many tasks of a size fit into an amount, which may be negative. */
export function countFitting(free: ResourceVector, shape: TaskShape): number {
    const count = Math.min(
        shape.cpu > 0 ? Math.floor(free.cpuMillis / shape.cpu) : Infinity,
        shape.memory > 0 ? Math.floor(free.memoryMb / shape.memory) : Infinity,
        shape.accelerators > 0 ? Math.floor(free.accelerators / shape.accelerators) : Infinity,
    );
    return Math.max(0, count);
}
