/**
 * Rows of the engine's tables. Waiting tasks have no rows: a job only counts them, so that they need no memory.
 */
import type { JobId, ResourceVector, TaskId, TeamId } from "@waxwingroute/core";
import type { HeapItem, IndexedHeap } from "./indexed-heap.js";
import type { JobKind, Priority } from "./types.js";

/**
 * The resources of one task. Tasks with equal resources share a row, so that a shape that fits no worker is searched
 * for only once. `cpu` is in thousandths of a processor and `memory` in MB.
 */
export interface TaskShape {
    readonly cpu: number;
    readonly memory: number;
    readonly accelerators: number;
    readonly resources: ResourceVector;
    /** `false` while no worker has room for this shape. */
    isOpen: boolean;
    /** The teams with active queues for this shape, the next to be served at the top. */
    readonly teams: IndexedHeap<TeamEntry>;
    /** The teams with active urgent queues for this shape. */
    readonly urgentTeams: IndexedHeap<TeamEntry>;
}

/** The active queues of one team for one shape. */
export interface ActiveQueues {
    readonly team: TeamRow;
    readonly shape: TaskShape;
    readonly urgent: IndexedHeap<JobQueue>;
    readonly normal: IndexedHeap<JobQueue>;
    /** Entries of the team in `teams` and `urgentTeams` of the shape. */
    readonly entry: TeamEntry;
    readonly urgentEntry: TeamEntry;
}

/** A team in the order in which a shape serves teams. */
export interface TeamEntry extends HeapItem {
    readonly queues: ActiveQueues;
    /** Copy of the share by which the team is ordered, so that the frequent comparisons read fewer objects. */
    share: number;
}

/**
 * - `active`: in the active queues of its team; it can be placed while its shape is open.
 * - `paused`: not tried before `retryAt`, because it is a gang that did not fit or that has a reservation.
 * - `grant`: not tried, because with the tasks of its next start the team would use more than its grant.
 * - `empty`: no job has startable tasks.
 */
export type QueueState = "active" | "paused" | "grant" | "empty";

/** Jobs of one team, priority, kind and shape. If the first of them cannot be placed, none can. */
export interface JobQueue extends HeapItem {
    readonly team: TeamRow;
    readonly kind: JobKind;
    readonly priority: Priority;
    readonly shape: TaskShape;
    readonly jobs: IndexedHeap<JobRow>;
    /** Key in `queues` of the team. */
    readonly key: string;
    state: QueueState;
    /** End of the state `paused`. */
    retryAt: number;
    /** Time before which no preemption is planned for the queue, because none was possible. */
    preemptRetryAt: number;
    readonly candidate: ReservationCandidate;
}

/** A queue in the order in which reservations are made. */
export interface ReservationCandidate extends HeapItem {
    readonly queue: JobQueue;
    /** Time before which it is not considered, because the last attempt failed. */
    retryAt: number;
}

/** A team with its share, its limits and what it uses. */
export interface TeamRow {
    readonly id: TeamId;
    weight: number;
    limit: ResourceVector | undefined;
    grant: ResourceVector | undefined;
    overLimit: "finish" | "preempt";
    usedCpu: number;
    usedMemory: number;
    usedAccelerators: number;
    /** Part of the use whose tasks were told to stop. */
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
    /** Dominant share of what the team uses, divided by the weight of the team. */
    weightedShare: number;
    /** The same for its urgent tasks alone. */
    urgentWeightedShare: number;
    /** Whether the team uses at least the part of the capacity that its weight gives it among the active teams. */
    isOverShare: boolean;
    /** Whether its urgent work comes before the normal work of other teams. */
    isUrgentFirst: boolean;
    readonly activeQueues: Map<TaskShape, ActiveQueues>;
    readonly queues: Map<string, JobQueue>;
    readonly grantBlockedQueues: Set<JobQueue>;
    /** Tasks that may be preempted, oldest first. Ended tasks stay until the list is pruned. */
    preemptible: TaskRow[];
}

/** A job with the counts of its tasks. */
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
    /** Order within the team: the latest start time that meets the deadline or, without one, that bounds the wait. */
    readonly latestStart: number;
    readonly sequence: number;
    /** Tasks with a lower index have been started, have ended or wait again. */
    nextIndex: number;
    /** Tasks with a lower index may start. */
    windowEnd: number;
    /** Indexes of tasks that wait again. */
    readonly returnedIndexes: number[];
    /** Indexes from `nextIndex` up of tasks that already run or have ended. */
    readonly takenIndexes: Set<number>;
    /** Tasks that hold capacity, by index. */
    readonly running: Map<number, TaskRow>;
    readonly reservations: Set<Reservation>;
    finishedCount: number;
    isCancelled: boolean;
    successCount: number;
    failureCount: number;
    /** Row of the worker on which a task last failed, or -1. */
    lastFailedWorkerRow: number;
    /** Number of running tasks of a service, by rack and by worker row. */
    readonly rackTaskCounts: Map<number, number>;
    readonly workerTaskCounts: Map<number, number>;
}

/**
 * - `starting`: the start was decided.
 * - `running`: the worker confirmed it.
 * - `uncertain`: it may run.
 * - `stopping`: it was told to stop, or to save a checkpoint and stop.
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

/** A worker on which a reservation holds capacity for `count` tasks. */
export interface ReservationPart {
    readonly workerRow: number;
    readonly count: number;
}

/** Capacity that is held for the next tasks of a job. */
export interface Reservation {
    readonly job: JobRow;
    /** `head`: for the first job of a queue; `gang`: for a whole gang; `preemption`: for an urgent job. */
    readonly purpose: "head" | "gang" | "preemption";
    readonly parts: readonly ReservationPart[];
    /** Time at which the capacity is expected to be free; other work may use it until then. */
    readonly readyAt: number;
    /** Time at which other workers are searched for if the capacity is still not free. */
    readonly replanAt: number;
}

/** Returns how many tasks of a shape fit into free resources, whose amounts may be negative. */
export function countFitting(free: ResourceVector, shape: TaskShape): number {
    const count = Math.min(
        shape.cpu > 0 ? Math.floor(free.cpuMillis / shape.cpu) : Infinity,
        shape.memory > 0 ? Math.floor(free.memoryMb / shape.memory) : Infinity,
        shape.accelerators > 0 ? Math.floor(free.accelerators / shape.accelerators) : Infinity,
    );
    return Math.max(0, count);
}
