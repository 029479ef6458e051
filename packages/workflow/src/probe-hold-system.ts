/**
 * Bounds how long a probe waits for an executor.
 *
 * A probe starts only on an executor whose runs are all proven, so that a further crash has one cause. That of a task which
 * has crashed an executor before prefers an idle one, so that the crash takes nobody else along. Neither may ever be
 * there: other tasks take each executor first, or each runs a service that does not end. So the step whose probe has been
 * due for longest has one executor held for it, on which nothing else starts: the one where a crash is expected to do the
 * least harm at the end of the wait. The probe starts there once it is idle, or when waiting longer would spare nothing.
 */
import {
    countFreeSlots,
    countSlotsBy,
    estimateEnd,
    hasValidTicket,
    isEligible,
    listAdvisedExecutors,
} from "./candidates.js";
import { allowsIdleProbe, allowsProbe, isProbeStep, needsIdleExecutor } from "./crash-system.js";
import type { RankedStep } from "./rank.js";
import type { ExecutorRow, RunRow, StepRow } from "./rows.js";
import type { ProbeHold, SchedulerState } from "./state.js";
import { allowsMore, getChargedResources } from "./state.js";

/** Longest time for which a due probe waits for an idle executor, ms. */
const maxIdleWaitMs = 1_500;
/** Share of the executors of a pool that may be held before that time. */
const maxHeldShare = 0.25;

/** What a crash of an executor ends, the graver part first. */
interface Harm {
    /** Whether the probe would have to wait on, for room, although the wait is over. */
    readonly lacksRoom: boolean;
    /** Runs whose progress would be lost. */
    readonly unsavedRuns: number;
    readonly runs: number;
    /** Runs that are there now. */
    readonly presentRuns: number;
}

/** Holds an executor for the step whose probe has been due for longest, if it has not found one. */
export function reserveForOldestProbe(state: SchedulerState, now: number, ranked: readonly RankedStep[]): void {
    const previous = state.probeHold;
    state.probeHold = undefined;
    const due = ranked.map(({ step }) => step).filter(step => updateDueTime(state, now, step));
    due.sort((first, second) => first.probeDueSince! - second.probeDueSince!);
    for (const step of due) {
        const since = previous?.step === step ? previous.since : now;
        const executor = selectExecutorToHold(state, now, step, since, previous);
        if (executor !== undefined) {
            state.probeHold = { step, executor, since };
            break;
        }
    }
    if (previous !== undefined && previous.executor !== state.probeHold?.executor) {
        state.recordRoomGain(previous.executor);
    }
}

/**
 * Returns whether a probe of a task that needs an idle executor may start on one that has runs: it is held for the step,
 * and either the wait is over, or a crash would lose no progress and nothing there is expected to end during the wait.
 */
export function canShareExecutor(state: SchedulerState, now: number, step: StepRow, executor: ExecutorRow): boolean {
    const hold = state.probeHold;
    if (hold?.step !== step || hold.executor !== executor) {
        return false;
    }
    const waitEndsAt = hold.since + maxIdleWaitMs;
    return now >= waitEndsAt
        || [...executor.runs.values()].every(run => !isProgressLost(run) && estimateEnd(state, run) > waitEndsAt);
}

/** Records since when a probe of the step is due. Returns whether an executor may be held for it now. */
function updateDueTime(state: SchedulerState, now: number, step: StepRow): boolean {
    const { job } = step.occurrence;
    const isDue = isProbeStep(state, step) && job.probeCount === 0 && allowsMore(job.team, getChargedResources(step));
    step.probeDueSince = isDue ? step.probeDueSince ?? now : undefined;
    if (!isDue || !allowsProbe(state, step)) {
        return false;
    }
    const isLong = now - step.probeDueSince! >= maxIdleWaitMs;
    const needsIdle = step.tasks.some(task => task.state === "waiting" && needsIdleExecutor(task));
    return needsIdle ? allowsIdleProbe(state, step) && (isLong || allowsHold(state, step)) : isLong;
}

/** Returns whether one executor is a small part of those that the step may use. */
function allowsHold(state: SchedulerState, step: StepRow): boolean {
    const pool = state.queues.get(step.occurrence.job.submission.queue)?.rules.pool;
    let count = 0;
    for (const executor of state.executors.values()) {
        count += executor.pool === pool && executor.isReady && executor.isReachable ? 1 : 0;
    }
    return count * maxHeldShare >= 1;
}

function selectExecutorToHold(
    state: SchedulerState,
    now: number,
    step: StepRow,
    since: number,
    previous: ProbeHold | undefined,
): ExecutorRow | undefined {
    const waitEndsAt = since + maxIdleWaitMs;
    const by = now < waitEndsAt ? waitEndsAt : now + maxIdleWaitMs;
    let selected: { readonly executor: ExecutorRow; readonly harm: Harm; } | undefined;
    for (const executor of listAdvisedExecutors(state, step)) {
        const canHold = isEligible(state, now, step, executor) && hasValidTicket(state, now, step, executor)
            && countSlotsBy(state, by, step, [executor]) > 0 && allowsOneMore(step, executor);
        if (!canHold) {
            continue;
        }
        const lacksRoom = now >= waitEndsAt && countFreeSlots(step, executor) === 0;
        const harm = estimateHarm(state, by, executor, lacksRoom);
        const order = selected === undefined ? -1 : compareHarm(harm, selected.harm);
        // One that is held already stays so unless another is better.
        if (order < 0 || order === 0 && previous?.executor === executor) {
            selected = { executor, harm };
        }
    }
    return selected?.executor;
}

function allowsOneMore(step: StepRow, executor: ExecutorRow): boolean {
    const { maxPerExecutor } = step.spec;
    return maxPerExecutor === undefined
        || [...executor.runs.values()].filter(run => run.task.step === step).length < maxPerExecutor;
}

function estimateHarm(state: SchedulerState, by: number, executor: ExecutorRow, lacksRoom: boolean): Harm {
    const left = [...executor.runs.values()].filter(run => estimateEnd(state, run) > by);
    return {
        lacksRoom,
        unsavedRuns: left.filter(isProgressLost).length,
        runs: left.length,
        presentRuns: executor.runs.size,
    };
}

function compareHarm(first: Harm, second: Harm): number {
    return Number(first.lacksRoom) - Number(second.lacksRoom) || first.unsavedRuns - second.unsavedRuns
        || first.runs - second.runs
        || first.presentRuns - second.presentRuns;
}

/** Returns whether a crash loses the progress of a run: long-running tasks have none, others may save it. */
function isProgressLost({ task }: RunRow): boolean {
    const { isLongRunning, savesCheckpoints } = task.step.spec;
    return !isLongRunning && !savesCheckpoints;
}
