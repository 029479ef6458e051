/**
 * Slows tasks that use idle processors while serving tasks beside them come near the response time that they have to keep,
 * and lets them work again step by step. Slowing is fast and letting go is slow, because disturbances change within seconds.
 */
import type { ExecutorRow, RunRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import type { PaceDecision } from "./types.js";

/** Part of the target from which on tasks are slowed: the reported figure is rough and half a second old. */
const slowFrom = 0.8;
/** Part of the target below which they may work faster. */
const fasterBelow = 0.6;
/** Shortest time between two steps down, ms: the figure covers half a second. */
const downMs = 400;
/** Shortest time between two steps up, ms. */
const upMs = 1_500;
/** Share that is kept with a step down, near the target and beyond it. */
const keptNear = 0.6;
const keptBeyond = 0.3;
/** Smallest share; below it a task stands still. */
const leastPercent = 5;
/** Share that is added with a step up, in percent. */
const stepUpPercent = 15;

/** Returns the changes of pace for all executors. */
export function decidePaces(state: SchedulerState, now: number): PaceDecision[] {
    const decisions: PaceDecision[] = [];
    for (const executor of state.executors.values()) {
        if (!executor.isReachable || !hasPacedRuns(executor)) {
            executor.pacePercent = 100;
            continue;
        }
        updatePace(executor, now);
        for (const run of executor.runs.values()) {
            if (isFilling(run) && run.state === "running" && run.pacePercent !== executor.pacePercent) {
                run.pacePercent = executor.pacePercent;
                decisions.push({
                    executor: executor.id,
                    task: run.task.key,
                    run: run.number,
                    percent: executor.pacePercent,
                });
            }
        }
    }
    return decisions;
}

/** Returns whether serving tasks and tasks that use idle processors share the executor. */
export function hasPacedRuns(executor: ExecutorRow): boolean {
    let hasFilling = false;
    let hasServing = false;
    for (const run of executor.runs.values()) {
        hasFilling ||= isFilling(run);
        hasServing ||= run.task.step.spec.targetMs !== undefined;
    }
    return hasFilling && hasServing;
}

function updatePace(executor: ExecutorRow, now: number): void {
    const nearest = computeNearestTarget(executor);
    const sinceMs = now - executor.pacedAt;
    if (nearest > slowFrom && sinceMs >= downMs && executor.pacePercent > 0) {
        const slowed = Math.floor(executor.pacePercent * (nearest > 1 ? keptBeyond : keptNear));
        executor.pacePercent = slowed < leastPercent ? 0 : slowed;
        executor.pacedAt = now;
    }
    else if (nearest < fasterBelow && sinceMs >= upMs && executor.pacePercent < 100) {
        executor.pacePercent = Math.min(100, executor.pacePercent + stepUpPercent);
        executor.pacedAt = now;
    }
}

/** Returns the largest response time as a part of its target. */
function computeNearestTarget(executor: ExecutorRow): number {
    let nearest = 0;
    for (const run of executor.runs.values()) {
        const targetMs = run.task.step.spec.targetMs;
        if (targetMs !== undefined && run.tailMs !== undefined) {
            nearest = Math.max(nearest, run.tailMs / targetMs);
        }
    }
    return nearest;
}

function isFilling(run: RunRow): boolean {
    return run.task.step.spec.usesIdleProcessors;
}
