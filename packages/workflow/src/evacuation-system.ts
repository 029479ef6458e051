/**
 * Stops runs on executors that are leaving, so that their tasks can run elsewhere. A run that ends in time is left
 * alone. A task with checkpoints runs until the last moment at which a stop still saves its progress; one without is
 * stopped at once if it cannot end in time. A long-running task is stopped as soon as another executor has a free slot
 * for it.
 *
 * On an executor whose machine is due for maintenance, tasks with checkpoints are stopped at once, and tasks without
 * may run until the deadline. A long-running task is stopped only if, in addition, its step allows one more to be
 * unavailable.
 */
import { countFreeSlots, hasValidTicket, isEligible } from "./candidates.js";
import type { ExecutorRow, RunRow, StepRow, TaskRow } from "./rows.js";
import type { SchedulerState } from "./state.js";

/**
 * Time from a stop decision until its order arrives, and from the end of the run until it is listed, ms: two transfers
 * across a region and a renewal.
 */
const stopMarginMs = 500;
/** Executors usually stay longer than announced; a run that would end within this time beyond it is left alone, ms. */
const likelyExtraStayMs = 1_000;
/** Progress from which a run's own speed gives its run time, in percent; below it the rounding error is too large. */
const minOwnProgressPercent = 5;

/** Stops the runs that have to leave their executor now. */
export function stopRunsOfLeavingExecutors(state: SchedulerState, now: number): void {
    for (const executor of state.executors.values()) {
        const { leavesAt, emptyBy } = executor;
        if (!executor.isReachable || leavesAt === undefined && emptyBy === undefined) {
            continue;
        }
        for (const run of executor.runs.values()) {
            const isStoppedForLeave = leavesAt !== undefined && needsStopBeforeLeave(state, now, leavesAt - now, run);
            const isStoppedForMaintenance = emptyBy !== undefined && allowsMaintenanceStop(state, now, emptyBy, run);
            if (run.state !== "stopping" && (isStoppedForLeave || isStoppedForMaintenance)) {
                stopRunWithGang(state, run);
            }
        }
    }
}

function needsStopBeforeLeave(state: SchedulerState, now: number, untilLeaveMs: number, run: RunRow): boolean {
    const { step } = run.task;
    if (step.spec.isLongRunning) {
        return hasFreeSlotElsewhere(state, now, step);
    }
    const remainingMs = estimateRemaining(state, now, run);
    if (remainingMs <= untilLeaveMs) {
        return false;
    }
    return step.spec.savesCheckpoints
        ? untilLeaveMs <= state.options.stopMs + stopMarginMs
        : remainingMs > untilLeaveMs + likelyExtraStayMs;
}

function allowsMaintenanceStop(state: SchedulerState, now: number, emptyBy: number, run: RunRow): boolean {
    const { spec, tasks } = run.task.step;
    if (!spec.isLongRunning) {
        return spec.savesCheckpoints || now >= emptyBy;
    }
    const unavailableCount = tasks.filter(task => !isAvailable(task)).length;
    // Stopping a task that is already unavailable does not lower the availability of the step.
    const isAllowed = !isAvailable(run.task) || spec.maxUnavailable === undefined
        || unavailableCount < spec.maxUnavailable;
    return isAllowed && hasFreeSlotElsewhere(state, now, run.task.step);
}

/** Returns whether a long-running task is fully available. */
function isAvailable(task: TaskRow): boolean {
    return task.runs.some(run => run.state === "running" && run.percent >= 100);
}

/** Estimates the time that the run still needs, from its own progress or, at its beginning, from runs of its queue. */
function estimateRemaining(state: SchedulerState, now: number, run: RunRow): number {
    const { step } = run.task;
    const ratio = state.queues.get(step.occurrence.job.submission.queue)?.estimateRatio ?? 1;
    // The percentage of a resumed run includes earlier runs, so its own run time does not match it.
    const usesOwnProgress = run.percent >= minOwnProgressPercent && run.task.checkpoint === "";
    const totalMs = usesOwnProgress
        ? (run.lastProgressAt - run.startedAt) * 100 / run.percent
        : step.spec.estimateMs * ratio;
    return totalMs * (100 - run.percent) / 100 - (now - run.lastProgressAt);
}

function hasFreeSlotElsewhere(state: SchedulerState, now: number, step: StepRow): boolean {
    return [...state.executors.values()].some((executor: ExecutorRow) =>
        isEligible(state, now, step, executor) && hasValidTicket(state, now, step, executor)
        && countFreeSlots(step, executor) > 0
    );
}

/** Stops a run and, for a gang, the runs of all its members, since none can continue without the others. */
function stopRunWithGang(state: SchedulerState, run: RunRow): void {
    const { step } = run.task;
    const members = step.spec.isGang ? step.tasks.flatMap(task => task.runs) : [run];
    members.filter(member => member.number === run.number).forEach(member => state.stopRun(member, "executorLeaving"));
}
