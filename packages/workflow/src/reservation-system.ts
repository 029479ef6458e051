/**
 * Reserves executors for gangs, which otherwise never find enough room at once beside steady other work.
 *
 * The most urgent blocked gang has executors on which only short tasks of others start. Once a gang has found too little
 * room for too long, room is kept for it: others use its executors only for tasks that end before its room is complete,
 * for more urgent work that would else miss its objective, and, if the gang is too late to be of use, for work that can
 * still meet its own. More urgent work takes these executors last. One gang at a time has kept room.
 */
import type { ExecutorId } from "@waxwingroute/core";
import { countFreeSlots, countSlotsBy, estimateEnd, isEligible, listAdvisedExecutors } from "./candidates.js";
import type { RankedStep } from "./rank.js";
import { tooLateTier } from "./rank.js";
import type { ExecutorRow, StepRow } from "./rows.js";
import type { Reservation, SchedulerState } from "./state.js";
import { countFits, getChargedResources } from "./state.js";

/** Time for which a gang finds too little room until room is kept for it, ms. */
const maxBlockedMs = 2_000;

/**
 * Reserves executors for a blocked gang: eligible ones, those with the most free slots first, until their whole capacity,
 * or what `countSlots` returns, suffices for the gang. Returns `undefined` if all eligible executors together do not suffice.
 */
export function reserveExecutors(
    state: SchedulerState,
    now: number,
    step: StepRow,
    countSlots: (executor: ExecutorRow) => number = ({ capacity }) => countFits(getChargedResources(step), capacity),
): Reservation | undefined {
    const eligible: ExecutorRow[] = [];
    for (const executor of listAdvisedExecutors(state, step)) {
        if (isEligible(state, now, step, executor)) {
            eligible.push(executor);
        }
    }
    eligible.sort((first, second) => countFreeSlots(step, second) - countFreeSlots(step, first));
    const executors = new Set<ExecutorId>();
    let slots = 0;
    for (const executor of eligible) {
        if (slots >= step.tasks.length) {
            break;
        }
        executors.add(executor.id);
        slots += countSlots(executor);
    }
    return slots >= step.tasks.length ? { step, executors, isKept: false, completeAt: now, isUseful: true } : undefined;
}

/**
 * Returns the executors whose room is kept for the gang that has found too little for longest, if for too long, and if
 * enough were granted to it. They stay the same until it starts, since room appears on all of them only if others stay
 * away.
 */
export function reserveForOldest(
    state: SchedulerState,
    now: number,
    ranked: readonly RankedStep[],
    previous: Reservation | undefined,
): Reservation | undefined {
    const waiting = ranked.filter(({ step }) =>
        step.blockedSince !== undefined && step.waitingCount === step.tasks.length
    );
    const current = waiting.find(({ step }) => previous?.isKept === true && previous.step === step);
    if (current !== undefined && canKeep(state, now, previous!)) {
        return createKept(state, now, current, previous!);
    }
    const aged = waiting.filter(({ step }) => now - step.blockedSince! >= maxBlockedMs)
        .sort((first, second) => first.step.blockedSince! - second.step.blockedSince!);
    for (const next of aged) {
        // Services do not end, so their executors have less to offer than their capacity.
        const reservation = reserveExecutors(
            state,
            now,
            next.step,
            executor => countSlotsBy(state, Number.MAX_VALUE, next.step, [executor]),
        );
        if (reservation !== undefined) {
            return createKept(state, now, next, reservation);
        }
    }
    return undefined;
}

function createKept(state: SchedulerState, now: number, { tier }: RankedStep, reservation: Reservation): Reservation {
    return {
        ...reservation,
        isKept: true,
        completeAt: estimateCompletion(state, now, reservation),
        isUseful: tier < tooLateTier,
    };
}

function canKeep(state: SchedulerState, now: number, { executors, step }: Reservation): boolean {
    return [...executors].every(id => {
        const executor = state.executors.get(id);
        return executor !== undefined && isEligible(state, now, step, executor);
    });
}

/** Returns when the room on the executors is expected to suffice, if they take no other work. */
function estimateCompletion(state: SchedulerState, now: number, { executors, step }: Reservation): number {
    const rows = [...executors].map(id => state.executors.get(id)!);
    const ends = rows.flatMap(({ runs }) => [...runs.values()].map(run => estimateEnd(state, run)));
    const times = [now, ...ends.filter(end => end > now)].sort((first, second) => first - second);
    return times.find(time => countSlotsBy(state, time, step, rows) >= step.waitingCount) ?? now;
}
