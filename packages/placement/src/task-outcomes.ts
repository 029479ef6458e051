/**
 * What the end of a task says about its worker and about the run time of its class.
 */
import { match } from "ts-pattern";
import type { TaskRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import type { EndOutcome } from "./types.js";

/** Failures of a job that failed on several workers and succeeded on none say nothing of the workers. */
const minFailuresOfBadJob = 3;

/** Records how a task ended. */
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
