/**
 * Pacing of best-effort tasks, which use idle processors: throttles them while the tail latency of a serving task on
 * the same executor is near its target or above it. Speed is reduced quickly and restored slowly in steps, because
 * interference changes within seconds.
 */
import type { ExecutorRow, RunRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import type { ThrottleDecision } from "./types.js";

/**
 * Best-effort tasks are slowed down while tail latency divided by its target is above this ratio. It is below 1 because
 * the reported latency is approximate and half a second old.
 */
const slowDownAbove = 0.8;
/** Best-effort tasks may speed up while tail latency divided by its target is below this ratio. */
const speedUpBelow = 0.6;
/** Shortest time from a change of speed to a reduction, ms: a reported latency covers half a second. */
const minSlowDownIntervalMs = 400;
/** Shortest time from a change of speed to an increase, ms. */
const minSpeedUpIntervalMs = 1_500;
/** Factor of a reduction while the latency is near its target, and while it is over it. */
const nearTargetFactor = 0.6;
const overTargetFactor = 0.3;
/** Smallest speed above 0, in percent; a reduction below it pauses the tasks. */
const minSpeedPercent = 5;
/** Increase of speed in one step, in percent of full speed. */
const speedUpStepPercent = 15;

/** Updates the speed of best-effort tasks on each executor and returns a decision for each run whose speed changes. */
export function decideThrottles(state: SchedulerState, now: number): ThrottleDecision[] {
    const decisions: ThrottleDecision[] = [];
    for (const executor of state.executors.values()) {
        if (!executor.isReachable || !needsThrottling(executor)) {
            executor.bestEffortSpeedPercent = 100;
            continue;
        }
        updateBestEffortSpeed(executor, now);
        for (const run of executor.runs.values()) {
            if (isBestEffort(run) && run.state === "running" && run.speedPercent !== executor.bestEffortSpeedPercent) {
                run.speedPercent = executor.bestEffortSpeedPercent;
                decisions.push({
                    executor: executor.id,
                    task: run.task.key,
                    run: run.number,
                    percent: executor.bestEffortSpeedPercent,
                });
            }
        }
    }
    return decisions;
}

/** Returns whether best-effort tasks and serving tasks with a latency target share the executor. */
export function needsThrottling(executor: ExecutorRow): boolean {
    return executor.bestEffortRuns > 0 && executor.servingRuns > 0;
}

function updateBestEffortSpeed(executor: ExecutorRow, now: number): void {
    const latencyRatio = computeMaxLatencyRatio(executor);
    const sinceChangeMs = now - executor.bestEffortSpeedChangedAt;
    if (latencyRatio > slowDownAbove && sinceChangeMs >= minSlowDownIntervalMs && executor.bestEffortSpeedPercent > 0) {
        const slowed = Math.floor(
            executor.bestEffortSpeedPercent * (latencyRatio > 1 ? overTargetFactor : nearTargetFactor),
        );
        executor.bestEffortSpeedPercent = slowed < minSpeedPercent ? 0 : slowed;
        executor.bestEffortSpeedChangedAt = now;
    }
    else if (
        latencyRatio < speedUpBelow && sinceChangeMs >= minSpeedUpIntervalMs && executor.bestEffortSpeedPercent < 100
    ) {
        executor.bestEffortSpeedPercent = Math.min(100, executor.bestEffortSpeedPercent + speedUpStepPercent);
        executor.bestEffortSpeedChangedAt = now;
    }
}

/** Returns the largest ratio of tail latency to target on the executor; 0 if no latency is reported. */
function computeMaxLatencyRatio(executor: ExecutorRow): number {
    let maxRatio = 0;
    for (const run of executor.runs.values()) {
        const targetMs = run.task.step.spec.targetMs;
        if (targetMs !== undefined && run.tailMs !== undefined) {
            maxRatio = Math.max(maxRatio, run.tailMs / targetMs);
        }
    }
    return maxRatio;
}

function isBestEffort(run: RunRow): boolean {
    return run.task.step.spec.usesIdleProcessors;
}
