/**
 * Queues of waiting jobs and the reasons for which they rest. A queue that cannot be placed leaves the heap of its team
 * until something changes that may let it start, so blocked work costs nothing.
 */
import { IndexedHeap } from "./indexed-heap.js";
import type { JobQueue, JobRow, QueueState, Shape, TeamRow } from "./rows.js";
import { countStartable } from "./rows.js";
import type { JobKind, Priority } from "./types.js";
import type { WorkerTable } from "./worker-table.js";

/** Rows times sizes that are compared exactly when workers grow; beyond it their largest free amounts are compared. */
const maxExactComparisons = 4096;

/** Moves queues between the states of `QueueState`. */
export class QueueBoard {
    /** Queues for which no worker has room. */
    readonly parked = new Set<JobQueue>();
    /** Parked queues without a reservation, in the order in which they should get one. */
    readonly candidates = new IndexedHeap<JobQueue>(isReservedBefore);
    /** Parked queues that come back at their `retryAt`: to the heap of their team. */
    readonly paused = new Set<JobQueue>();
    /** Parked queues that come back at their `retryAt`: to the candidates for a reservation. */
    readonly pausedCandidates = new Set<JobQueue>();
    private readonly parkedShapes = new Set<Shape>();

    /** Returns the queue of a team for jobs of one priority, kind and size; gangs also differ by their size. */
    ensureQueue(team: TeamRow, priority: Priority, kind: JobKind, shape: Shape, gangSize: number): JobQueue {
        const key = `${priority}/${kind}/${shape.cpu}/${shape.memory}/${shape.accelerators}/${gangSize}`;
        let queue = team.queues.get(key);
        if (queue === undefined) {
            queue = {
                team,
                kind,
                priority,
                shape,
                jobs: new IndexedHeap<JobRow>(isJobBefore),
                state: "empty",
                retryAt: 0,
                heapIndex: -1,
                key,
            };
            team.queues.set(key, queue);
        }
        return queue;
    }

    /** Brings a job into or out of its queue after its counts changed. */
    refreshJob(job: JobRow): void {
        const isQueued = job.heapIndex >= 0;
        const shouldBeQueued = countStartable(job) > 0;
        if (isQueued === shouldBeQueued) {
            return;
        }
        const queue = job.queue;
        if (shouldBeQueued) {
            queue.jobs.push(job);
        }
        else {
            queue.jobs.remove(job);
        }
        if (queue.jobs.size === 0) {
            this.setState(queue, "empty");
            queue.team.queues.delete(queue.key);
        }
        else if (queue.state === "empty") {
            queue.team.queues.set(queue.key, queue);
            this.setState(queue, "active");
        }
        else if (queue.heapIndex >= 0) {
            this.getHeap(queue).update(queue);
        }
    }

    /** Moves a queue to another state. */
    setState(queue: JobQueue, state: QueueState): void {
        this.removeFromState(queue);
        queue.state = state;
        if (state === "active") {
            this.getHeap(queue).push(queue);
        }
        else if (state === "capacity") {
            queue.shape.parked.add(queue);
            this.parkedShapes.add(queue.shape);
            this.parked.add(queue);
            this.candidates.push(queue);
        }
        else if (state === "grant") {
            queue.team.grantBlocked.add(queue);
        }
    }

    /** Parks a queue and brings it back at `retryAt`, because the search was not complete or is expensive. */
    pause(queue: JobQueue, retryAt: number): void {
        this.setState(queue, "capacity");
        queue.retryAt = retryAt;
        this.paused.add(queue);
    }

    /** Takes a parked queue from the candidates for a reservation until `retryAt`. */
    pauseCandidate(queue: JobQueue, retryAt: number): void {
        this.candidates.remove(queue);
        queue.retryAt = Math.max(queue.retryAt, retryAt);
        this.pausedCandidates.add(queue);
    }

    /** Makes a parked queue a candidate for a reservation again. */
    addCandidate(queue: JobQueue): void {
        this.pausedCandidates.delete(queue);
        if (queue.state === "capacity" && queue.heapIndex < 0) {
            this.candidates.push(queue);
        }
    }

    /** Brings back the queues whose `retryAt` has come. */
    resumePaused(now: number): void {
        for (const queue of this.paused) {
            if (now >= queue.retryAt) {
                this.setState(queue, "active");
            }
        }
        for (const queue of this.pausedCandidates) {
            if (now >= queue.retryAt) {
                this.addCandidate(queue);
            }
        }
    }

    /** Brings back the parked queues whose size may fit a worker that has grown. */
    resumeGrown(workers: WorkerTable): void {
        if (workers.grownRows.size === 0) {
            return;
        }
        if (this.parkedShapes.size > 0) {
            const isExact = workers.grownRows.size * this.parkedShapes.size <= maxExactComparisons;
            for (const shape of this.parkedShapes) {
                if (!isExact || hasRoom(workers, shape)) {
                    this.resumeShape(shape);
                }
            }
        }
        workers.grownRows.clear();
    }

    /** Brings back the queues of a team that waited for its grant. */
    resumeTeam(team: TeamRow): void {
        for (const queue of team.grantBlocked) {
            this.setState(queue, "active");
        }
    }

    private resumeShape(shape: Shape): void {
        for (const queue of shape.parked) {
            // A reserved gang starts on what it holds; a paused queue waits for its time.
            const isReservedGang = queue.kind === "gang" && (queue.jobs.getFirst()?.reservations.size ?? 0) > 0;
            if (!isReservedGang && !this.paused.has(queue)) {
                this.setState(queue, "active");
            }
        }
    }

    private removeFromState(queue: JobQueue): void {
        if (queue.heapIndex >= 0) {
            this.getHeap(queue).remove(queue);
        }
        if (queue.state === "capacity") {
            this.paused.delete(queue);
            this.pausedCandidates.delete(queue);
            this.parked.delete(queue);
            queue.shape.parked.delete(queue);
            if (queue.shape.parked.size === 0) {
                this.parkedShapes.delete(queue.shape);
            }
        }
        queue.team.grantBlocked.delete(queue);
    }

    private getHeap(queue: JobQueue): IndexedHeap<JobQueue> {
        return queue.state === "capacity"
            ? this.candidates
            : queue.priority === "urgent"
            ? queue.team.urgent
            : queue.team.normal;
    }
}

function hasRoom(workers: WorkerTable, shape: Shape): boolean {
    for (const row of workers.grownRows) {
        if (workers.index.fitsRow(row, shape.cpu, shape.memory, shape.accelerators)) {
            return true;
        }
    }
    return false;
}

function isJobBefore(first: JobRow, second: JobRow): boolean {
    return first.orderKey < second.orderKey
        || first.orderKey === second.orderKey && first.sequence < second.sequence;
}

/** Returns whether the first job of one queue comes before that of another. */
export function isQueueBefore(first: JobQueue, second: JobQueue): boolean {
    const job = first.jobs.getFirst();
    const other = second.jobs.getFirst();
    return job !== undefined && (other === undefined || isJobBefore(job, other));
}

function isReservedBefore(first: JobQueue, second: JobQueue): boolean {
    if (first.priority !== second.priority) {
        return first.priority === "urgent";
    }
    return isQueueBefore(first, second);
}
