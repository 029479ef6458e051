/**
 * Slows tasks that use idle processors while serving tasks beside them come near the response time that they have to keep,
 * and lets them work again step by step. Slowing is fast and letting go is slow, because disturbances change within seconds.
 */
import type { ExecutorRow, RunRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import type { ThrottleDecision } from "./types.js";

/** Part of the target from which on tasks are slowed: the reported figure is rough and half a second old. */
const slowDownAbove = 0.8;
/** Part of the target below which they may work faster. */
const speedUpBelow = 0.6;
/** Shortest time between two steps down, ms: the figure covers half a second. */
const minSlowDownIntervalMs = 400;
/** Shortest time between two steps up, ms. */
const minSpeedUpIntervalMs = 1_500;
/** Share that is kept with a step down, near the target and beyond it. */
const nearTargetFactor = 0.6;
const overTargetFactor = 0.3;
/** Smallest share; below it a task stands still. */
const minSpeedPercent = 5;
/** Share that is added with a step up, in percent. */
const speedUpStepPercent = 15;

/** Returns the changes of pace for all executors. */
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

/** Returns whether serving tasks and tasks that use idle processors share the executor. */
export function needsThrottling(executor: ExecutorRow): boolean {
    let hasBestEffort = false;
    let hasServing = false;
    for (const run of executor.runs.values()) {
        hasBestEffort ||= isBestEffort(run);
        hasServing ||= run.task.step.spec.targetMs !== undefined;
    }
    return hasBestEffort && hasServing;
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

/** Returns the largest response time as a part of its target. */
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
