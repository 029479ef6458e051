/** Places waiting tasks on executors, the most urgent step first. */
import type { RackId } from "@waxwingroute/core";
import { multiplyResources } from "@waxwingroute/core";
import type { Candidate } from "./candidates.js";
import {
    canUseReserved,
    countFreeSlots,
    hasValidTicket,
    isEligible,
    isKeptForOther,
    listAdvisedExecutors,
    sortCandidates,
} from "./candidates.js";
import { allowsGang, allowsProbe, getProvenAge, selectProbeExecutor, splitProbes } from "./crash-system.js";
import { canShareExecutor, reserveForOldestProbe } from "./probe-hold-system.js";
import type { RankedStep } from "./rank.js";
import { reserveExecutors, reserveForOldest } from "./reservation-system.js";
import type { ExecutorRow, RunRow, StepRow, TaskRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { allowsMore, getChargedResources, listWaitingTasks } from "./state.js";
import type { EarlierRun } from "./types.js";

/** Decides the starts of one tick, and the executors that are reserved for a blocked gang. */
export function placeTasks(state: SchedulerState, now: number, ranked: readonly RankedStep[]): void {
    state.releaseAvoidedExecutors(now);
    state.tickNumber += 1;
    const previous = state.reservation;
    state.reservation = undefined;
    const kept = reserveForOldest(state, now, ranked, previous);
    if (kept !== undefined) {
        state.setReservation(kept, previous);
    }
    reserveForOldestProbe(state, now, ranked);
    for (const { step, slackMs } of moveHeldFirst(state, ranked)) {
        const isPartOfGang = step.spec.isGang && step.waitingCount < step.tasks.length;
        if (step.waitingCount === 0 || isPartOfGang) {
            continue;
        }
        const neededCount = step.spec.isGang ? step.waitingCount : 1;
        if (!allowsMore(step.occurrence.job.team, multiplyResources(getChargedResources(step), neededCount))) {
            step.blockedSince = undefined;
            continue;
        }
        step.placedInTick = state.tickNumber;
        const isBlocked = checkBlocked(state, now, step, neededCount) || !placeStep(state, now, step, slackMs);
        step.blockedSince = isBlocked && step.spec.isGang ? step.blockedSince ?? now : undefined;
        if (isBlocked && step.spec.isGang && state.reservation === undefined) {
            state.setReservation(reserveExecutors(state, now, step), previous);
        }
    }
    state.lastTickAt = now;
    state.lastTickGain = state.gainPosition;
}

/** Returns the steps with the one first that has an executor held, so that the executor is not kept from others in vain. */
function moveHeldFirst({ probeHold }: SchedulerState, ranked: readonly RankedStep[]): readonly RankedStep[] {
    const held = ranked.find(({ step }) => step === probeHold?.step);
    return held === undefined ? ranked : [held, ...ranked.filter(row => row !== held)];
}

/** Places what it can of a step. Returns `false` if tasks remain that wait for free slots. */
function placeStep(state: SchedulerState, now: number, step: StepRow, slackMs: number): boolean {
    const { probes, others: waiting } = splitProbes(state, step, listWaitingTasks(step));
    if (waiting.length === 0 && !allowsProbe(state, step)) {
        return true;
    }
    const candidates = listCandidates(state, now, step);
    placeProbes(state, now, step, probes, candidates, slackMs);
    if (waiting.length === 0) {
        return true;
    }
    const isPlaced = step.spec.isGang
        ? placeGang(state, now, step, waiting, candidates, slackMs)
        : placeIndependentTasks(state, now, step, waiting, candidates, slackMs);
    step.advice.newlyGranted = [];
    step.blocked = isPlaced || step.suspectCount > 0 || probes.length > 0 ? undefined : {
        gainPosition: state.gainPosition,
        freeSlots: step.spec.isGang ? countSlots(candidates) : 0,
        reservedFor: state.reservation?.step,
        canUseReserved: canUseReserved(state, now, step),
    };
    return isPlaced;
}

/**
 * Returns whether the step was blocked and cannot have found `neededCount` free slots since. Adds the slots of executors
 * that gained room or were newly granted to the upper bound in `step.blocked`; an executor that gained room twice counts
 * twice, so that a step can be evaluated needlessly but never be left out.
 */
function checkBlocked(state: SchedulerState, now: number, step: StepRow, neededCount: number): boolean {
    const { blocked } = step;
    const isComparable = blocked !== undefined && blocked.reservedFor === state.reservation?.step
        && blocked.canUseReserved === canUseReserved(state, now, step);
    const gains = isComparable ? state.listRoomGains(blocked.gainPosition) : undefined;
    if (blocked === undefined || gains === undefined) {
        return false;
    }
    const addSlots = (executor: ExecutorRow | undefined) => {
        if (
            executor !== undefined && isEligible(state, now, step, executor)
            && hasValidTicket(state, now, step, executor)
        ) {
            blocked.freeSlots += countFreeSlots(step, executor);
        }
    };
    gains.forEach(addSlots);
    step.advice.newlyGranted.splice(0).forEach(executor => addSlots(state.executors.get(executor)));
    blocked.gainPosition = state.gainPosition;
    return blocked.freeSlots < neededCount;
}

function listCandidates(state: SchedulerState, now: number, step: StepRow): Candidate[] {
    const candidates: Candidate[] = [];
    for (const executor of listAdvisedExecutors(state, step)) {
        if (isEligible(state, now, step, executor) && hasValidTicket(state, now, step, executor)) {
            const freeSlots = allowsGang(step, executor) ? countFreeSlots(step, executor) : 0;
            if (freeSlots > 0) {
                candidates.push({ executor, freeSlots });
            }
        }
    }
    return sortCandidates(state, step, candidates);
}

/** Starts each task alone on one of the executors that probes may use, as far as there are any. */
function placeProbes(
    state: SchedulerState,
    now: number,
    step: StepRow,
    tasks: readonly TaskRow[],
    candidates: Candidate[],
    slackMs: number,
): void {
    for (const task of tasks) {
        const executor = selectProbeExecutor(
            state,
            task,
            candidates,
            candidate => canShareExecutor(state, now, step, candidate),
        );
        if (executor === undefined || !allowsMore(step.occurrence.job.team, getChargedResources(step))) {
            continue;
        }
        candidates.splice(candidates.findIndex(candidate => candidate.executor === executor), 1);
        const run = startTask(state, now, task, executor, getNextRunNumber(state, step), slackMs, true);
        step.probeDueSince = undefined;
        if (state.probeHold?.step === step) {
            state.heldProbe = run;
        }
    }
}

/** Returns `false` if tasks remain because no candidate has a free slot left. */
function placeIndependentTasks(
    state: SchedulerState,
    now: number,
    step: StepRow,
    waiting: readonly TaskRow[],
    candidates: readonly Candidate[],
    slackMs: number,
): boolean {
    const remaining = [...waiting];
    for (const { executor, freeSlots } of selectOneRack(step, candidates, waiting.length)) {
        for (let placed = 0; placed < freeSlots && remaining.length > 0; placed++) {
            if (!allowsMore(step.occurrence.job.team, getChargedResources(step))) {
                return true;
            }
            startTask(state, now, remaining.shift()!, executor, getNextRunNumber(state, step), slackMs);
        }
    }
    return remaining.length === 0;
}

/** Places all members of a gang with one run number, or none of them. Returns whether it placed them. */
function placeGang(
    state: SchedulerState,
    now: number,
    step: StepRow,
    waiting: readonly TaskRow[],
    candidates: readonly Candidate[],
    slackMs: number,
): boolean {
    if (countSlots(candidates) < waiting.length) {
        return false;
    }
    // The executors with the most free slots first: the fewer executors a gang uses, the fewer start orders can fail.
    const emptiestFirst = selectOneRack(
        step,
        [...candidates].sort((first, second) =>
            Number(isKeptForOther(state, step, first.executor)) - Number(isKeptForOther(state, step, second.executor))
            || second.freeSlots - first.freeSlots
        ),
        waiting.length,
    );
    const run = getNextRunNumber(state, step);
    const isProbe = step.suspectCount > 0;
    const remaining = [...waiting];
    for (const { executor, freeSlots } of emptiestFirst) {
        for (let placed = 0; placed < freeSlots && remaining.length > 0; placed++) {
            startTask(state, now, remaining.shift()!, executor, run, slackMs, isProbe);
        }
    }
    return true;
}

function countSlots(candidates: readonly Candidate[]): number {
    return candidates.reduce((sum, candidate) => sum + candidate.freeSlots, 0);
}

/** Returns a run number above all that the step has used, also under earlier owners. */
function getNextRunNumber(state: SchedulerState, step: StepRow): number {
    return Math.max(step.lastRunNumber, state.runNumberBase) + 1;
}

/** Returns only the candidates of one rack if the step prefers that and one rack has slots for `count` tasks. */
function selectOneRack(step: StepRow, candidates: readonly Candidate[], count: number): readonly Candidate[] {
    if (!step.spec.prefersOneRack) {
        return candidates;
    }
    const slotsByRack = new Map<RackId | undefined, number>();
    for (const { executor, freeSlots } of candidates) {
        slotsByRack.set(executor.rack, (slotsByRack.get(executor.rack) ?? 0) + freeSlots);
    }
    for (const [rack, slots] of slotsByRack) {
        if (rack !== undefined && slots >= count) {
            return candidates.filter(candidate => candidate.executor.rack === rack);
        }
    }
    return candidates;
}

function startTask(
    state: SchedulerState,
    now: number,
    task: TaskRow,
    executor: ExecutorRow,
    number: number,
    slackMs: number,
    isProbe = false,
): RunRow {
    const step = task.step;
    const provenAfterMs = isProbe ? getProvenAge(step) : 0;
    const run: RunRow = {
        task,
        number,
        executor: executor.id,
        resources: getChargedResources(step),
        startedAt: now,
        state: "starting",
        isProven: false,
        isProbe,
        provenAfterMs,
        countsAsCrash: false,
        percent: 0,
        lastProgressAt: now,
        lastReportedAt: now,
        tailMs: undefined,
        speedPercent: 100,
    };
    state.addRun(run);
    executor.lastStart = { step, at: now };
    state.starts.push({
        executor: executor.id,
        task: task.key,
        run: number,
        payload: step.occurrence.job.submission.spec.payload,
        checkpoint: task.checkpoint,
        ticket: step.advice.tickets.get(executor.id)?.ticket,
        slackMs,
        isProbe,
        provenAfterMs,
        earlierRun: describeEarlierRun(task, now),
    });
    return run;
}

function describeEarlierRun({ earlierRun }: TaskRow, now: number): EarlierRun | undefined {
    if (earlierRun === undefined) {
        return undefined;
    }
    const { run, executor, outcome, source, recordedAt } = earlierRun;
    return { run, executor, outcome, source, ageMs: now - recordedAt };
}
