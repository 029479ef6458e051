/**
 * Chooses the workers on which capacity for a blocked job is expected to be free first.
 */
import { addResources, fitsWithin } from "@waxwingroute/core";
import { countFitting } from "./rows.js";
import type { ReservationPart, TaskRow, TaskShape } from "./rows.js";
import type { PlacementState } from "./state.js";

/** Workers, and the time at which the capacity on them is expected to be free. */
export interface ReservationPlan {
    readonly parts: readonly ReservationPart[];
    readonly readyAt: number;
}

/** A worker that is expected to have room for `count` tasks at `readyAt`. */
interface WorkerCandidate {
    readonly row: number;
    readonly count: number;
    readonly readyAt: number;
}

/** Most workers that are compared for a single task, so that the cost does not grow with the number of workers. */
const maxComparedRows = 64;
/** Additional workers that are compared for each task of a gang. */
const comparedRowsPerTask = 8;

/** Returns when a task is expected to end; one that is overdue is expected to run a quarter longer than so far. */
export function computeExpectedEnd(task: TaskRow, now: number): number {
    return task.expectedEnd > now ? task.expectedEnd : now + Math.max(1000, (now - task.startedAt) / 4);
}

/**
 * Returns the workers on which `count` tasks can be placed together soonest, or `undefined` if no time can be
 * predicted. With `count` above 1, the workers of `preferredRows` are always among those compared.
 */
export function planParts(
    state: PlacementState,
    shape: TaskShape,
    count: number,
    preferredRows: readonly number[],
): ReservationPlan | undefined {
    return count === 1 ? planSingle(state, shape) : planGang(state, shape, count, preferredRows);
}

function planSingle(state: PlacementState, shape: TaskShape): ReservationPlan | undefined {
    const { workers } = state;
    const rowCount = workers.rowCount;
    const start = state.advanceSearchCursor(maxComparedRows);
    let bestRow = -1;
    let bestTime = Infinity;
    for (let offset = 0; offset < Math.min(rowCount, maxComparedRows); offset++) {
        const row = (start + offset) % rowCount;
        if (!workers.canPlace(row) || workers.hasHolds(row)) {
            continue;
        }
        const readyAt = estimateReadyAt(state, row, shape);
        if (readyAt < bestTime) {
            bestRow = row;
            bestTime = readyAt;
        }
    }
    return bestRow < 0 ? undefined : { parts: [{ workerRow: bestRow, count: 1 }], readyAt: bestTime };
}

/** Returns when one task is expected to fit on a worker. */
function estimateReadyAt(state: PlacementState, row: number, shape: TaskShape): number {
    let free = state.workers.computeFree(row);
    if (fitsWithin(shape.resources, free)) {
        return state.now;
    }
    const tasks = [...state.workerTasks[row] ?? []]
        .map(task => ({ task, end: computeExpectedEnd(task, state.now) }))
        .sort((first, second) => first.end - second.end);
    for (const { task, end } of tasks) {
        free = addResources(free, task.shape.resources);
        if (fitsWithin(shape.resources, free)) {
            return end;
        }
    }
    return Infinity;
}

/** Plans a gang; the number of workers that are compared grows with the number of its tasks. */
function planGang(
    state: PlacementState,
    shape: TaskShape,
    count: number,
    preferredRows: readonly number[],
): ReservationPlan | undefined {
    const candidates: WorkerCandidate[] = [];
    const rows = new Set(preferredRows);
    const rowCount = state.workers.rowCount;
    const comparedCount = Math.min(rowCount, maxComparedRows + count * comparedRowsPerTask);
    const start = state.advanceSearchCursor(comparedCount);
    for (let offset = 0; offset < comparedCount; offset++) {
        rows.add((start + offset) % rowCount);
    }
    for (const row of rows) {
        if (state.workers.canPlace(row) && !state.workers.hasHolds(row)) {
            addCandidates(state, row, shape, candidates);
        }
    }
    candidates.sort((first, second) => first.readyAt - second.readyAt || second.count - first.count);
    const chosenCounts = new Map<number, number>();
    let foundCount = 0;
    for (const candidate of candidates) {
        const previousCount = chosenCounts.get(candidate.row) ?? 0;
        const addedCount = Math.min(candidate.count - previousCount, count - foundCount);
        if (addedCount > 0) {
            chosenCounts.set(candidate.row, previousCount + addedCount);
            foundCount += addedCount;
        }
        if (foundCount === count) {
            const parts = [...chosenCounts].map(([workerRow, taskCount]) => ({ workerRow, count: taskCount }));
            return { parts, readyAt: candidate.readyAt };
        }
    }
    return undefined;
}

/** Adds how many tasks fit on a worker now, and how many fit once all its tasks with an expected end have ended. */
function addCandidates(state: PlacementState, row: number, shape: TaskShape, candidates: WorkerCandidate[]): void {
    let free = state.workers.computeFree(row);
    const countNow = countFitting(free, shape);
    if (countNow > 0) {
        candidates.push({ row, count: countNow, readyAt: state.now });
    }
    let readyAt = state.now;
    for (const task of state.workerTasks[row] ?? []) {
        const end = computeExpectedEnd(task, state.now);
        if (end !== Infinity) {
            free = addResources(free, task.shape.resources);
            readyAt = Math.max(readyAt, end);
        }
    }
    const countLater = countFitting(free, shape);
    if (countLater > countNow) {
        candidates.push({ row, count: countLater, readyAt });
    }
}
