/**
 * Bounds how long a probe waits for an executor.
 *
 * A probe of a task that has crashed an executor before starts on an idle one, so that a further crash takes nobody else
 * along. Where each executor runs a service or another task that does not end soon, there never is one. Then one step at a
 * time has an executor held for its probe, on which nothing else starts: the one where a crash is expected to do the least
 * harm at the end of the wait. The probe starts there once it is idle, or when waiting longer would spare nothing. Listed
 * runs beside it do not hide the cause of a crash, since only runs that are not listed are suspects.
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
import { toRunKey } from "./rows.js";
import type { ProbeHold, SchedulerState } from "./state.js";
import { allowsMore, countFits, getChargedResources } from "./state.js";

/** Time within which all runs on an executor have to end for it to be expected to become idle, ms. */
const maxBusyMs = 10_000;
/** Longest time for which a probe waits for its held executor to become idle, ms. */
const maxIdleWaitMs = 1_000;

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

/** Holds an executor for the step whose turn it is, if its probe has not found one. */
export function reserveForOldestProbe(state: SchedulerState, now: number, ranked: readonly RankedStep[]): void {
    const previous = state.probeHold;
    state.probeHold = undefined;
    const due = ranked.map(({ step }) => step).filter(step => updateDueTime(state, now, step));
    due.sort(compareTurns);
    for (const step of isHeldProbeInFlight(state) ? [] : due) {
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
 * Returns whether the probe of the last hold is in flight. Until it is not, no other one goes before sound work: probes that
 * crash their executors stay in flight for seconds, and would take all places of probes.
 */
function isHeldProbeInFlight({ executors, heldProbe }: SchedulerState): boolean {
    const executor = heldProbe === undefined ? undefined : executors.get(heldProbe.executor);
    return heldProbe !== undefined && !heldProbe.isProven && executor?.isReachable === true
        && executor.runs.get(toRunKey(heldProbe.task.key, heldProbe.number)) === heldProbe;
}

/**
 * A job whose executor crashed for another reason is finished by its next probe, so these come before jobs that have
 * crashed an executor again. Among them, the one that has been due for longest comes first.
 */
function compareTurns(first: StepRow, second: StepRow): number {
    return first.occurrence.job.crashCount - second.occurrence.job.crashCount
        || first.probeDueSince! - second.probeDueSince!;
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
    const isDue = isProbeStep(state, step) && job.probeCount === 0
        && allowsMore(job.team, getChargedResources(step))
        && step.tasks.some(task => task.state === "waiting" && needsIdleExecutor(task));
    step.probeDueSince = isDue ? step.probeDueSince ?? now : undefined;
    return isDue && allowsIdleProbe(state, step) && allowsProbe(state, step) && !canBecomeIdle(state, now, step);
}

/** Returns whether an executor on which a task of the step fits is idle, or is expected to be without a hold. */
function canBecomeIdle(state: SchedulerState, now: number, step: StepRow): boolean {
    for (const executor of listAdvisedExecutors(state, step)) {
        const isIdleSoon = [...executor.runs.values()].every(run => estimateEnd(state, run) <= now + maxBusyMs);
        const fits = countFits(getChargedResources(step), executor.capacity) > 0;
        if (isIdleSoon && fits && isEligible(state, now, step, executor)) {
            return true;
        }
    }
    return false;
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
