/** Stops runs that make no progress, so that their tasks can run on other executors. */
import type { RunRow } from "./rows.js";
import type { SchedulerState } from "./state.js";

/** Interval of checks of all runs, ms; a small part of the shortest time after which a run counts as stalled. */
const checkIntervalMs = 100;
/** Most times that the standstill that a task is allowed is doubled. */
const maxDoublings = 10;
/** Longest time between two listings of an executor that works, ms. Time beyond it says nothing about its runs. */
const maxReportIntervalMs = 1_200;

/** Stops each stalled run. Its executor gets no work for a while and its failure rate rises. */
export function stopStalledRuns(state: SchedulerState, now: number): void {
    if (now < state.nextStallCheckAt) {
        return;
    }
    state.nextStallCheckAt = now + checkIntervalMs;
    for (const executor of state.executors.values()) {
        for (const run of executor.runs.values()) {
            if (!executor.isReachable) {
                // The executor reports no progress while it is unreachable, so this time does not count.
                run.lastProgressAt = now;
            }
            else if (run.state === "running" && isStalled(state, now, run)) {
                executor.failureRate = Math.min(1, executor.failureRate + 0.25);
                // Avoided for the shortest time in which another stall there could be detected.
                state.recordAvoidance(executor, now + state.options.stallFloorMs);
                run.task.stalledRuns += 1;
                state.stopRun(run, "stalled");
            }
        }
    }
}

function isStalled(state: SchedulerState, now: number, run: RunRow): boolean {
    const { step } = run.task;
    const observedUntil = Math.min(now, run.lastReportedAt + maxReportIntervalMs);
    // A healthy run whose estimate is far too low, or a service that starts slowly, would be stopped for ever otherwise.
    const patience = 2 ** Math.min(maxDoublings, run.task.stalledRuns);
    // A member of a gang at 100 % waits for the other members to finish.
    const isWaitingForGang = step.spec.isGang && run.percent >= 100;
    if (isWaitingForGang || step.spec.usesIdleProcessors) {
        return false;
    }
    if (step.spec.isLongRunning) {
        // A long-running task at 100 % is fully available and has no further progress to make.
        return run.percent < 100 && observedUntil - run.lastProgressAt > patience * state.options.stallFloorMs;
    }
    const ratio = state.queues.get(step.occurrence.job.submission.queue)?.estimateRatio ?? 1;
    // Progress is reported in whole percents, so a healthy run reports none for a hundredth of its run time.
    const maxStandstillMs = Math.max(
        state.options.stallFloorMs,
        step.spec.estimateMs * ratio * state.options.stallFactor / 100,
    );
    return observedUntil - run.lastProgressAt > patience * maxStandstillMs;
}
