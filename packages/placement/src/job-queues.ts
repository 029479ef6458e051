/**
 * The queues of waiting jobs, and which of them can be placed now.
 *
 * A task shape is closed when a search found no worker for it: ticks then skip its queues of all teams. It is opened
 * again when a worker has enough free capacity for it. So blocked work costs no time in a tick, and its queues need not
 * be moved.
 */
import { IndexedHeap } from "./indexed-heap.js";
import type { TeamOrder } from "./queue-order.js";
import { createTeamOrder, isCandidateBefore } from "./queue-order.js";
import { createActiveQueues, createQueue } from "./queue-rows.js";
import type {
    ActiveQueues,
    JobQueue,
    JobRow,
    QueueState,
    ReservationCandidate,
    TaskShape,
    TeamEntry,
    TeamRow,
} from "./rows.js";
import { countStartable } from "./task-indexes.js";
import type { JobKind, Objective, Priority } from "./types.js";
import type { WorkerTable } from "./worker-table.js";

/** Most pairs of a freed worker and a closed shape that are compared; with more of them, all shapes are opened. */
const maxExactComparisons = 4096;
/** Most paused queues that one tick resumes, because each costs a search for a whole gang. */
const maxResumedQueues = 8;

/** Moves queues between the states of `QueueState`, and opens and closes shapes. */
export class JobQueues {
    /** Queues without a reservation that may need one, in the order in which they get it. */
    readonly reservationCandidates = new IndexedHeap<ReservationCandidate>(isCandidateBefore);
    /** Urgent queues with startable jobs. */
    readonly urgentQueues = new Set<JobQueue>();
    /** Shapes that some worker may have room for. */
    readonly openShapes = new Set<TaskShape>();
    private readonly teamOrder: TeamOrder;
    private readonly closedShapes = new Set<TaskShape>();
    /** Times at which closed shapes are opened again, because the search for a worker was cut short. */
    private readonly reopenTimes = new Map<TaskShape, number>();
    private readonly pausedQueues = new Set<JobQueue>();
    private readonly pausedCandidates = new Set<JobQueue>();

    constructor(objective: Objective) {
        this.teamOrder = createTeamOrder(objective);
    }

    /** Returns the queue of a team for jobs of one priority, kind and shape, and for gangs of one number of tasks. */
    ensureQueue(team: TeamRow, priority: Priority, kind: JobKind, shape: TaskShape, gangSize: number): JobQueue {
        const key = `${priority}/${kind}/${shape.cpu}/${shape.memory}/${shape.accelerators}/${gangSize}`;
        let queue = team.queues.get(key);
        if (queue === undefined) {
            queue = createQueue(team, priority, kind, shape, key);
            team.queues.set(key, queue);
        }
        return queue;
    }

    /** Returns empty heaps for the teams of a shape. */
    createTeamHeaps(): Pick<TaskShape, "teams" | "urgentTeams"> {
        return {
            teams: new IndexedHeap(this.teamOrder.isBefore),
            urgentTeams: new IndexedHeap(this.teamOrder.isUrgentBefore),
        };
    }

    /** Restores the position of a team in the order of each shape after its share changed. */
    updateTeamOrder(team: TeamRow): void {
        for (const active of team.activeQueues.values()) {
            this.updateTeamEntries(active);
        }
    }

    /** Returns the next queue to place among all open shapes. */
    findNext(isUrgentOnly: boolean): JobQueue | undefined {
        const isBefore = isUrgentOnly ? this.teamOrder.isUrgentBefore : this.teamOrder.isBefore;
        let best: TeamEntry | undefined;
        for (const shape of this.openShapes) {
            const entry = (isUrgentOnly ? shape.urgentTeams : shape.teams).getFirst();
            if (entry !== undefined && (best === undefined || isBefore(entry, best))) {
                best = entry;
            }
        }
        if (best === undefined || isUrgentOnly && !best.queues.team.isUrgentFirst) {
            return undefined;
        }
        return best.queues.urgent.getFirst() ?? best.queues.normal.getFirst();
    }

    /** Adds a job to its queue or removes it after its counts changed. */
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
                getActiveHeap(queue).update(queue);
                this.updateTeamEntries(queue.team.activeQueues.get(queue.shape) as ActiveQueues);
            }
            if (queue.candidate.heapIndex >= 0) {
                this.reservationCandidates.update(queue.candidate);
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
            this.addToActive(queue);
        }
        else if (state === "paused") {
            this.pausedQueues.add(queue);
        }
        else if (state === "grant") {
            queue.team.grantBlockedQueues.add(queue);
        }
        if (previous === "empty") {
            this.addWaitingQueue(queue);
        }
        else if (state === "empty") {
            this.removeWaitingQueue(queue);
        }
    }

    /** Pauses a queue until `retryAt`; with `Infinity`, until its state is set again. */
    pause(queue: JobQueue, retryAt: number): void {
        queue.retryAt = retryAt;
        this.setState(queue, "paused");
    }

    /** Closes a shape, because no worker has room for it; with `retryAt` it is opened again at that time. */
    closeShape(shape: TaskShape, retryAt?: number): void {
        shape.isOpen = false;
        this.openShapes.delete(shape);
        this.closedShapes.add(shape);
        if (retryAt !== undefined) {
            this.reopenTimes.set(shape, retryAt);
        }
    }

    /** Removes a queue from the candidates for a reservation until `retryAt`. */
    pauseCandidate(queue: JobQueue, retryAt: number): void {
        this.reservationCandidates.remove(queue.candidate);
        queue.candidate.retryAt = retryAt;
        this.pausedCandidates.add(queue);
    }

    /** Makes a queue a candidate for a reservation again. */
    addCandidate(queue: JobQueue): void {
        this.pausedCandidates.delete(queue);
        if (queue.state !== "empty" && queue.candidate.heapIndex < 0) {
            this.reservationCandidates.push(queue.candidate);
        }
    }

    /** Resumes queues, candidates and shapes whose pause has ended. */
    resumePaused(now: number): void {
        let count = 0;
        // All pauses are equally long, so each set is in the order of their ends, except for gangs with a reservation.
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
        for (const [shape, retryAt] of this.reopenTimes) {
            if (now >= retryAt) {
                this.openShape(shape);
            }
        }
    }

    /** Opens the closed shapes that may fit a worker whose free capacity has grown. */
    openFittingShapes(workers: WorkerTable): void {
        if (workers.freedRows.size === 0) {
            return;
        }
        const isExact = workers.freedRows.size * this.closedShapes.size <= maxExactComparisons;
        for (const shape of this.closedShapes) {
            if (!isExact || fitsFreedRow(workers, shape)) {
                this.openShape(shape);
            }
        }
        workers.freedRows.clear();
    }

    /** Activates the queues of a team that waited for its grant and now fit it. */
    resumeGrantBlocked(team: TeamRow, fits: (queue: JobQueue) => boolean): void {
        for (const queue of team.grantBlockedQueues) {
            if (fits(queue)) {
                this.setState(queue, "active");
            }
        }
    }

    private openShape(shape: TaskShape): void {
        shape.isOpen = true;
        this.closedShapes.delete(shape);
        this.reopenTimes.delete(shape);
        if (shape.teams.size > 0) {
            this.openShapes.add(shape);
        }
    }

    private addWaitingQueue(queue: JobQueue): void {
        queue.team.queues.set(queue.key, queue);
        this.addCandidate(queue);
        if (queue.priority === "urgent") {
            this.urgentQueues.add(queue);
        }
    }

    private removeWaitingQueue(queue: JobQueue): void {
        queue.team.queues.delete(queue.key);
        this.reservationCandidates.remove(queue.candidate);
        this.pausedCandidates.delete(queue);
        this.urgentQueues.delete(queue);
    }

    private removeFromState(queue: JobQueue): void {
        this.pausedQueues.delete(queue);
        queue.team.grantBlockedQueues.delete(queue);
        if (queue.state === "active") {
            this.removeFromActive(queue);
        }
    }

    private addToActive(queue: JobQueue): void {
        const { shape, team } = queue;
        const active = team.activeQueues.get(shape) ?? createActiveQueues(team, shape);
        (queue.priority === "urgent" ? active.urgent : active.normal).push(queue);
        if (active.entry.heapIndex < 0) {
            team.activeQueues.set(shape, active);
            shape.teams.push(active.entry);
            (shape.isOpen ? this.openShapes : this.closedShapes).add(shape);
        }
        if (active.urgent.size > 0 && active.urgentEntry.heapIndex < 0) {
            active.urgentEntry.share = team.urgentWeightedShare;
            shape.urgentTeams.push(active.urgentEntry);
        }
        this.updateTeamEntries(active);
    }

    private removeFromActive(queue: JobQueue): void {
        const { shape, team } = queue;
        const active = team.activeQueues.get(shape) as ActiveQueues;
        getActiveHeap(queue).remove(queue);
        if (active.urgent.size === 0) {
            shape.urgentTeams.remove(active.urgentEntry);
        }
        if (active.urgent.size + active.normal.size > 0) {
            this.updateTeamEntries(active);
            return;
        }
        shape.teams.remove(active.entry);
        team.activeQueues.delete(shape);
        if (shape.teams.size === 0) {
            // A shape that no task waits for is not tracked; the next search finds out whether it fits.
            this.openShapes.delete(shape);
            this.closedShapes.delete(shape);
            this.reopenTimes.delete(shape);
            shape.isOpen = true;
        }
    }

    private updateTeamEntries(active: ActiveQueues): void {
        active.entry.share = active.team.weightedShare;
        active.shape.teams.update(active.entry);
        if (active.urgentEntry.heapIndex >= 0) {
            active.urgentEntry.share = active.team.urgentWeightedShare;
            active.shape.urgentTeams.update(active.urgentEntry);
        }
    }
}

function getActiveHeap(queue: JobQueue): IndexedHeap<JobQueue> {
    const active = queue.team.activeQueues.get(queue.shape) as ActiveQueues;
    return queue.priority === "urgent" ? active.urgent : active.normal;
}

/** Returns whether a worker whose free capacity has grown has room for a shape. */
function fitsFreedRow(workers: WorkerTable, shape: TaskShape): boolean {
    for (const row of workers.freedRows) {
        if (workers.index.fitsRow(row, shape.cpu, shape.memory, shape.accelerators)) {
            return true;
        }
    }
    return false;
}
