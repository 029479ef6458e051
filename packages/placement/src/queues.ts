/**
 * Queues of waiting jobs and the reasons for which they rest.
 *
 * A size that fits no worker is closed for all teams at once and opened when a worker has grown enough for it, so
 * blocked work costs nothing and need not be moved.
 */
import { IndexedHeap } from "./indexed-heap.js";
import type { JobQueue, JobRow, Lane, QueueCandidate, QueueState, Shape, TeamRow } from "./rows.js";
import { countStartable } from "./rows.js";
import type { JobKind, Priority } from "./types.js";
import type { WorkerTable } from "./worker-table.js";

/** Rows times sizes that are compared exactly when workers grow; beyond it all sizes are opened. */
const maxExactComparisons = 4096;
/** Paused queues that one tick brings back, because each costs a search for a whole gang. */
const maxResumedQueues = 8;

/** Moves queues between the states of `QueueState` and opens and closes sizes. */
export class QueueBoard {
    /** Queues without a reservation that may need one, in the order in which they should get it. */
    readonly candidates = new IndexedHeap<QueueCandidate>(isReservedBefore);
    /** Urgent queues with startable jobs. */
    readonly urgent = new Set<JobQueue>();
    /** Sizes that some worker may have room for. */
    readonly openShapes = new Set<Shape>();
    private readonly closedShapes = new Set<Shape>();
    /** Closed sizes that are opened at a time, because the search for room was not complete. */
    private readonly retriedShapes = new Map<Shape, number>();
    private readonly pausedQueues = new Set<JobQueue>();
    private readonly pausedCandidates = new Set<JobQueue>();

    /** Returns the queue of a team for jobs of one priority, kind and size; gangs also differ by their size. */
    ensureQueue(team: TeamRow, priority: Priority, kind: JobKind, shape: Shape, gangSize: number): JobQueue {
        const key = `${priority}/${kind}/${shape.cpu}/${shape.memory}/${shape.accelerators}/${gangSize}`;
        let queue = team.queues.get(key);
        if (queue === undefined) {
            queue = createQueue(team, priority, kind, shape, key);
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
        }
        else if (queue.state === "empty") {
            this.setState(queue, "active");
        }
        else {
            if (queue.heapIndex >= 0) {
                getLaneHeap(queue).update(queue);
            }
            if (queue.candidate.heapIndex >= 0) {
                this.candidates.update(queue.candidate);
            }
        }
    }

    /** Moves a queue to another state. */
    setState(queue: JobQueue, state: QueueState): void {
        const previous = queue.state;
        if (previous === state) {
            return;
        }
        this.removeFromState(queue);
        queue.state = state;
        if (state === "active") {
            this.addToLane(queue);
        }
        else if (state === "paused") {
            this.pausedQueues.add(queue);
        }
        else if (state === "grant") {
            queue.team.grantBlocked.add(queue);
        }
        if (previous === "empty") {
            this.addWaiting(queue);
        }
        else if (state === "empty") {
            this.removeWaiting(queue);
        }
    }

    /** Takes a queue out until `retryAt`; `Infinity` until it is set to a time. */
    pause(queue: JobQueue, retryAt: number): void {
        queue.retryAt = retryAt;
        this.setState(queue, "paused");
    }

    /** Closes a size, because no worker has room; with `retryAt` it is opened again at that time. */
    closeShape(shape: Shape, retryAt?: number): void {
        shape.isOpen = false;
        this.openShapes.delete(shape);
        this.closedShapes.add(shape);
        if (retryAt !== undefined) {
            this.retriedShapes.set(shape, retryAt);
        }
    }

    /** Takes a queue from the candidates for a reservation until `retryAt`. */
    pauseCandidate(queue: JobQueue, retryAt: number): void {
        this.candidates.remove(queue.candidate);
        queue.candidate.retryAt = retryAt;
        this.pausedCandidates.add(queue);
    }

    /** Makes a queue a candidate for a reservation again. */
    addCandidate(queue: JobQueue): void {
        this.pausedCandidates.delete(queue);
        if (queue.state !== "empty" && queue.candidate.heapIndex < 0) {
            this.candidates.push(queue.candidate);
        }
    }

    /** Brings back what was paused until now. */
    resumePaused(now: number): void {
        let count = 0;
        // Every pause has the same length, so the sets are in the order of their ends, except for reserved gangs.
        for (const queue of this.pausedQueues) {
            if (now >= queue.retryAt) {
                this.setState(queue, "active");
                count++;
            }
            else if (queue.retryAt !== Infinity) {
                break;
            }
            if (count >= maxResumedQueues) {
                break;
            }
        }
        for (const queue of this.pausedCandidates) {
            if (now < queue.candidate.retryAt) {
                break;
            }
            this.addCandidate(queue);
        }
        for (const [shape, retryAt] of this.retriedShapes) {
            if (now >= retryAt) {
                this.openShape(shape);
            }
        }
    }

    /** Opens the closed sizes that may fit a worker that has grown. */
    openGrown(workers: WorkerTable): void {
        if (workers.grownRows.size === 0) {
            return;
        }
        const isExact = workers.grownRows.size * this.closedShapes.size <= maxExactComparisons;
        for (const shape of this.closedShapes) {
            if (!isExact || hasRoom(workers, shape)) {
                this.openShape(shape);
            }
        }
        workers.grownRows.clear();
    }

    /** Brings back the queues of a team that waited for its grant and now fit. */
    resumeTeam(team: TeamRow, fits: (queue: JobQueue) => boolean): void {
        for (const queue of team.grantBlocked) {
            if (fits(queue)) {
                this.setState(queue, "active");
            }
        }
    }

    private openShape(shape: Shape): void {
        shape.isOpen = true;
        this.closedShapes.delete(shape);
        this.retriedShapes.delete(shape);
        if (shape.laneCount > 0) {
            this.openShapes.add(shape);
        }
    }

    private addWaiting(queue: JobQueue): void {
        queue.team.queues.set(queue.key, queue);
        this.addCandidate(queue);
        if (queue.priority === "urgent") {
            this.urgent.add(queue);
        }
    }

    private removeWaiting(queue: JobQueue): void {
        queue.team.queues.delete(queue.key);
        this.candidates.remove(queue.candidate);
        this.pausedCandidates.delete(queue);
        this.urgent.delete(queue);
    }

    private removeFromState(queue: JobQueue): void {
        this.pausedQueues.delete(queue);
        queue.team.grantBlocked.delete(queue);
        if (queue.state === "active") {
            this.removeFromLane(queue);
        }
    }

    private addToLane(queue: JobQueue): void {
        const { shape, team } = queue;
        let lane = team.lanes.get(shape);
        if (lane === undefined) {
            lane = { shape, urgent: new IndexedHeap(isQueueBefore), normal: new IndexedHeap(isQueueBefore) };
            team.lanes.set(shape, lane);
            shape.laneCount++;
            if (shape.isOpen) {
                this.openShapes.add(shape);
            }
            else {
                this.closedShapes.add(shape);
            }
        }
        (queue.priority === "urgent" ? lane.urgent : lane.normal).push(queue);
        team.urgentCount += queue.priority === "urgent" ? 1 : 0;
    }

    private removeFromLane(queue: JobQueue): void {
        const { shape, team } = queue;
        getLaneHeap(queue).remove(queue);
        team.urgentCount -= queue.priority === "urgent" ? 1 : 0;
        const lane = team.lanes.get(shape) as Lane;
        if (lane.urgent.size === 0 && lane.normal.size === 0) {
            team.lanes.delete(shape);
            shape.laneCount--;
            if (shape.laneCount === 0) {
                // A size that nobody waits for is not tracked; the next search finds out whether it fits.
                this.openShapes.delete(shape);
                this.closedShapes.delete(shape);
                this.retriedShapes.delete(shape);
                shape.isOpen = true;
            }
        }
    }
}

/** Returns the first queue of a team whose size is open: urgent ones first, then by the order of jobs. */
export function findNextQueue(
    team: TeamRow,
    openShapes: ReadonlySet<Shape>,
    isUrgentOnly: boolean,
): JobQueue | undefined {
    let best: JobQueue | undefined;
    // The smaller set is searched: many teams may wait for one open size, and one team for many closed ones.
    if (openShapes.size < team.lanes.size) {
        for (const shape of openShapes) {
            const lane = team.lanes.get(shape);
            best = lane === undefined ? best : chooseQueue(best, lane, isUrgentOnly);
        }
        return best;
    }
    for (const lane of team.lanes.values()) {
        best = lane.shape.isOpen ? chooseQueue(best, lane, isUrgentOnly) : best;
    }
    return best;
}

function chooseQueue(best: JobQueue | undefined, lane: Lane, isUrgentOnly: boolean): JobQueue | undefined {
    const urgent = lane.urgent.getFirst();
    const next = urgent ?? (isUrgentOnly ? undefined : lane.normal.getFirst());
    if (next === undefined || best === undefined) {
        return next ?? best;
    }
    if (next.priority !== best.priority) {
        return next.priority === "urgent" ? next : best;
    }
    return isQueueBefore(next, best) ? next : best;
}

function createQueue(team: TeamRow, priority: Priority, kind: JobKind, shape: Shape, key: string): JobQueue {
    const queue: Omit<JobQueue, "candidate"> = {
        team,
        kind,
        priority,
        shape,
        jobs: new IndexedHeap<JobRow>(isJobBefore),
        state: "empty",
        retryAt: 0,
        preemptAt: 0,
        heapIndex: -1,
        key,
    };
    return Object.assign(queue, {
        candidate: { queue: queue as JobQueue, retryAt: 0, heapIndex: -1 },
    });
}

function getLaneHeap(queue: JobQueue): IndexedHeap<JobQueue> {
    const lane = queue.team.lanes.get(queue.shape) as Lane;
    return queue.priority === "urgent" ? lane.urgent : lane.normal;
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
function isQueueBefore(first: JobQueue, second: JobQueue): boolean {
    const job = first.jobs.getFirst();
    const other = second.jobs.getFirst();
    return job !== undefined && (other === undefined || isJobBefore(job, other));
}

function isReservedBefore(first: QueueCandidate, second: QueueCandidate): boolean {
    if (first.queue.priority !== second.queue.priority) {
        return first.queue.priority === "urgent";
    }
    return isQueueBefore(first.queue, second.queue);
}
