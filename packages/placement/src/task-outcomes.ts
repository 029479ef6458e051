/**
 * Updates the health of a worker and the run time estimate of a job class from the outcome of a task.
 */
import { match } from "ts-pattern";
import type { TaskRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import type { EndOutcome } from "./types.js";

/** A job with this many failures on changing workers and no success is itself at fault, not the workers. */
const minFailuresOfBadJob = 3;

/** Records the outcome of a task. */
export function recordTaskOutcome(state: PlacementState, task: TaskRow, outcome: EndOutcome): void {
    match(outcome)
        .with("succeeded", () => {
            task.job.successCount++;
            if (task.job.kind !== "service") {
                state.estimates.record(task.job.jobClass, task.job.declaredRunMs, state.now - task.startedAt);
            }
            state.health.recordOutcome(task.workerRow, true, task.isProbe, state.now);
        })
        .with("failed", () => recordFailure(state, task))
        .with("stopped", "leaseExpired", "preempted", () => state.health.clearProbe(task.workerRow))
        .exhaustive();
}

function recordFailure(state: PlacementState, task: TaskRow): void {
    const job = task.job;
    if (task.workerRow !== job.lastFailedWorkerRow) {
        job.failureCount++;
        job.lastFailedWorkerRow = task.workerRow;
    }
    if (job.successCount === 0 && job.failureCount >= minFailuresOfBadJob) {
        state.health.clearProbe(task.workerRow);
        return;
    }
    state.health.recordOutcome(task.workerRow, false, task.isProbe, state.now);
}
