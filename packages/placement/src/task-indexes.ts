/**
 * Which tasks of a job wait, may start, or were taken, by their index in the job. Waiting tasks are counted and have no
 * rows.
 */
import type { JobRow } from "./rows.js";

/** Returns how many tasks of a job wait. */
export function countWaiting(job: JobRow): number {
    if (job.isCancelled) {
        return 0;
    }
    return job.taskCount - job.nextIndex - job.takenIndexes.size + job.returnedIndexes.length;
}

/** Returns how many tasks of a job may be started now. */
export function countStartable(job: JobRow): number {
    if (job.isCancelled) {
        return 0;
    }
    let count = Math.max(0, Math.min(job.windowEnd, job.taskCount) - job.nextIndex);
    if (job.takenIndexes.size > 0) {
        for (const index of job.takenIndexes) {
            count -= index < job.windowEnd ? 1 : 0;
        }
    }
    const startable = count + job.returnedIndexes.length;
    return job.kind === "gang" && startable < countWaiting(job) ? 0 : startable;
}

/** Takes the index of the next task to start. `countStartable` must be above 0. */
export function takeNextIndex(job: JobRow): number {
    const returned = job.returnedIndexes.pop();
    if (returned !== undefined) {
        return returned;
    }
    const index = job.nextIndex;
    job.nextIndex++;
    advanceNextIndex(job);
    return index;
}

/** Marks an index as running or ended; does nothing if it was taken before. */
export function markIndexTaken(job: JobRow, index: number): void {
    const position = job.returnedIndexes.indexOf(index);
    if (position >= 0) {
        job.returnedIndexes.splice(position, 1);
    }
    else if (index >= job.nextIndex) {
        job.takenIndexes.add(index);
        advanceNextIndex(job);
    }
}

function advanceNextIndex(job: JobRow): void {
    while (job.takenIndexes.delete(job.nextIndex)) {
        job.nextIndex++;
    }
}

/** Returns the end of the start window that a job should have, for windows of `size` tasks. */
export function computeWantedWindowEnd(job: JobRow, size: number): number {
    if (job.kind === "gang") {
        return job.taskCount;
    }
    // The next window is requested when half of the last one is used, so that starts rarely wait for the commit.
    const windowCount = Math.floor((job.nextIndex + size / 2) / size) + 1;
    return Math.min(job.taskCount, windowCount * size);
}
