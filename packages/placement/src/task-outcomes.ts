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
export function recordHealth(state: PlacementState, task: TaskRow, outcome: EndOutcome): void {
    match(outcome)
        .with("succeeded", () => {
            task.job.successCount++;
            if (task.job.kind !== "service") {
                state.estimates.record(task.job.jobClass, task.job.declaredRunMs, state.now - task.startedAt);
            }
            state.health.record(task.row, true, task.isProbe, state.now);
        })
        .with("failed", () => recordFailure(state, task))
        .with("stopped", "leaseExpired", "preempted", () => state.health.clearProbe(task.row))
        .exhaustive();
}

function recordFailure(state: PlacementState, task: TaskRow): void {
    const job = task.job;
    if (task.row !== job.lastFailedRow) {
        job.failureCount++;
        job.lastFailedRow = task.row;
    }
    if (job.successCount === 0 && job.failureCount >= minFailuresOfBadJob) {
        state.health.clearProbe(task.row);
        return;
    }
    state.health.record(task.row, false, task.isProbe, state.now);
}
