/**
 * Queues of waiting jobs and the reasons for which they rest.
 *
 * A size that fits no worker is closed for all teams at once and opened when a worker has grown enough for it, so
 * blocked work costs nothing and need not be moved.
 */
import { IndexedHeap } from "./indexed-heap.js";
import { countStartable } from "./job-indexes.js";
import type { LaneOrder } from "./queue-order.js";
import { createLaneOrder, isReservedBefore } from "./queue-order.js";
import { createLane, createQueue } from "./queue-rows.js";
import type { JobQueue, JobRow, Lane, LaneItem, QueueCandidate, QueueState, Shape, TeamRow } from "./rows.js";
import type { JobKind, Objective, Priority } from "./types.js";
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
    private readonly order: LaneOrder;
    private readonly closedShapes = new Set<Shape>();
    /** Closed sizes that are opened at a time, because the search for room was not complete. */
    private readonly retriedShapes = new Map<Shape, number>();
    private readonly pausedQueues = new Set<JobQueue>();
    private readonly pausedCandidates = new Set<JobQueue>();

    constructor(objective: Objective) {
        this.order = createLaneOrder(objective);
    }

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

    /** Returns empty heaps for the lanes of a size. */
    createLaneHeaps(): Pick<Shape, "lanes" | "urgentLanes"> {
        return {
            lanes: new IndexedHeap(this.order.isBefore),
            urgentLanes: new IndexedHeap(this.order.isUrgentBefore),
        };
    }

    /** Restores the order of the lanes of a team after its share changed. */
    sortTeam(team: TeamRow): void {
        for (const lane of team.lanes.values()) {
            this.sortLane(lane);
        }
    }

    /** Returns the queue of an open size that is the next to be placed. */
    findNext(isUrgentOnly: boolean): JobQueue | undefined {
        const isBefore = isUrgentOnly ? this.order.isUrgentBefore : this.order.isBefore;
        let best: LaneItem | undefined;
        for (const shape of this.openShapes) {
            const item = (isUrgentOnly ? shape.urgentLanes : shape.lanes).getFirst();
            if (item !== undefined && (best === undefined || isBefore(item, best))) {
                best = item;
            }
        }
        if (best === undefined || isUrgentOnly && !best.lane.team.isUrgentFirst) {
            return undefined;
        }
        return best.lane.urgent.getFirst() ?? best.lane.normal.getFirst();
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
                this.sortLane(queue.team.lanes.get(queue.shape) as Lane);
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
        if (shape.lanes.size > 0) {
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
        const lane = team.lanes.get(shape) ?? createLane(team, shape);
        (queue.priority === "urgent" ? lane.urgent : lane.normal).push(queue);
        if (lane.item.heapIndex < 0) {
            team.lanes.set(shape, lane);
            shape.lanes.push(lane.item);
            (shape.isOpen ? this.openShapes : this.closedShapes).add(shape);
        }
        if (lane.urgent.size > 0 && lane.urgentItem.heapIndex < 0) {
            lane.urgentItem.share = team.urgentWeightedShare;
            shape.urgentLanes.push(lane.urgentItem);
        }
        this.sortLane(lane);
    }

    private removeFromLane(queue: JobQueue): void {
        const { shape, team } = queue;
        const lane = team.lanes.get(shape) as Lane;
        getLaneHeap(queue).remove(queue);
        if (lane.urgent.size === 0) {
            shape.urgentLanes.remove(lane.urgentItem);
        }
        if (lane.urgent.size + lane.normal.size > 0) {
            this.sortLane(lane);
            return;
        }
        shape.lanes.remove(lane.item);
        team.lanes.delete(shape);
        if (shape.lanes.size === 0) {
            // A size that nobody waits for is not tracked; the next search finds out whether it fits.
            this.openShapes.delete(shape);
            this.closedShapes.delete(shape);
            this.retriedShapes.delete(shape);
            shape.isOpen = true;
        }
    }

    private sortLane(lane: Lane): void {
        lane.item.share = lane.team.weightedShare;
        lane.shape.lanes.update(lane.item);
        if (lane.urgentItem.heapIndex >= 0) {
            lane.urgentItem.share = lane.team.urgentWeightedShare;
            lane.shape.urgentLanes.update(lane.urgentItem);
        }
    }
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
