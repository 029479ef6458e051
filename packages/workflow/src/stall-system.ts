/** Finds runs that make no progress, so that their tasks are moved to other executors. */
import type { RunRow } from "./rows.js";
import type { SchedulerState } from "./state.js";

/** Stops each run whose progress has stood still for too long. */
export function stopStalledRuns(state: SchedulerState, now: number): void {
    for (const executor of state.executors.values()) {
        for (const run of executor.runs.values()) {
            if (!executor.isReachable) {
                // Nothing is heard of its progress.
                run.lastProgressAt = now;
            }
            else if (run.state === "running" && isStalled(state, now, run)) {
                executor.failureRate = Math.min(1, executor.failureRate + 0.25);
                executor.avoidUntil = Math.max(executor.avoidUntil, now + state.options.stallFloorMs);
                state.stopRun(run, "stalled");
            }
        }
    }
}

function isStalled(state: SchedulerState, now: number, run: RunRow): boolean {
    const { step } = run.task;
    // A member of a gang that has done its work waits for the others.
    const isWaitingForGang = step.spec.isGang && run.percent >= 100;
    if (isWaitingForGang || step.spec.usesIdleProcessors) {
        return false;
    }
    if (step.spec.isLongRunning) {
        // Whole percents say whether it is at work; one that is must not be stopped for this.
        return run.percent < 100 && now - run.lastProgressAt > state.options.stallFloorMs;
    }
    const ratio = state.queues.get(step.occurrence.job.submission.queue)?.estimateRatio ?? 1;
    // Progress is reported in whole percents, so a long task stands still for a hundredth of its time.
    const maxStandstillMs = Math.max(
        state.options.stallFloorMs,
        step.spec.estimateMs * ratio * state.options.stallFactor / 100,
    );
    return now - run.lastProgressAt > maxStandstillMs;
}
