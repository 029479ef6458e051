/**
 * Empties executors that are leaving. What ends in time stays. A task with checkpoints works on until the last moment at which
 * a stop still saves its progress; one without is moved at once if its work would be lost anyway. A long-running task is moved
 * as soon as another executor has room for it.
 *
 * An executor whose machine is to be serviced is emptied too, but in the scheduler's own time: tasks without checkpoints may
 * end, and a step has no more long-running tasks away than it allows.
 */
import { countFreeSlots, hasValidTicket, isEligible } from "./candidates.js";
import type { ExecutorRow, RunRow, StepRow, TaskRow } from "./rows.js";
import type { SchedulerState } from "./state.js";

/** Time for a stop to reach the executor and for its end to be listed, ms: two crossings of a region and a renewal. */
const stopMarginMs = 500;
/** Executors mostly stay longer than announced; a task that would end within this time beyond it is left alone, ms. */
const likelyExtraStayMs = 1_000;
/** Progress from which on the duration of a run is judged by itself, in percent; below it rounding decides too much. */
const minOwnProgressPercent = 5;

export function stopRunsOfLeavingExecutors(state: SchedulerState, now: number): void {
    for (const executor of state.executors.values()) {
        if (!executor.isReachable) {
            continue;
        }
        const { leavesAt, emptyBy } = executor;
        for (const run of executor.runs.values()) {
            const mustStop = leavesAt !== undefined && needsStopBeforeLeave(state, now, leavesAt - now, run);
            const canStop = emptyBy !== undefined && allowsMaintenanceStop(state, now, emptyBy, run);
            if (run.state !== "stopping" && (mustStop || canStop)) {
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
    const unavailable = tasks.filter(task => !isAvailable(task)).length;
    const isAllowed = !isAvailable(run.task) || spec.maxUnavailable === undefined || unavailable < spec.maxUnavailable;
    return isAllowed && hasFreeSlotElsewhere(state, now, run.task.step);
}

function isAvailable(task: TaskRow): boolean {
    return task.runs.some(run => run.state === "running" && run.percent >= 100);
}

/** Returns the time that the run still needs, from its own progress or, at its beginning, from what its queue took before. */
function estimateRemaining(state: SchedulerState, now: number, run: RunRow): number {
    const { step } = run.task;
    const ratio = state.queues.get(step.occurrence.job.submission.queue)?.estimateRatio ?? 1;
    // A run that resumed has its percentage from earlier runs, so its own time says less.
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

/** Stops a run; of a gang all members, since none can go on without the others. */
function stopRunWithGang(state: SchedulerState, run: RunRow): void {
    const { step } = run.task;
    const members = step.spec.isGang ? step.tasks.flatMap(task => task.runs) : [run];
    members.filter(member => member.number === run.number).forEach(member => state.stopRun(member, "executorLeaving"));
}
