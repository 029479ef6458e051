/**
 * Decides what to ask the advisors. The executors that may run a step do not change, so every answer is kept: refused
 * executors are not named again, and granted ones are named again only when their tickets run out while room is there.
 */
import type { ExecutorId } from "@waxwingroute/core";
import { countRoom, hasTicket, isEligible, needsAdvice } from "./candidates.js";
import type { RankedStep } from "./rank.js";
import type { ExecutorRow, QueueRow, StepRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { countFits, getChargedResources, listWaitingTasks } from "./state.js";
import type { AdviceDecision, AdviceGrant, AdviceSending } from "./types.js";

/** Most executors in one call; bound of the advisor's interface. */
const maxNamed = 100;
/**
 * Room that is sought, as a multiple of the need. The fixed part of a call is as long as the part for about 100 executors,
 * so naming more at once costs less than a second call.
 */
const surplus = 2;
/** Weight of a new answer in the learned grant rate. */
const grantWeight = 0.1;
/** Pause after an answer that granted nothing new, or after a failed call, ms. */
const retryPauseMs = 100;

interface Option {
    readonly executor: ExecutorRow;
    readonly slots: number;
    readonly chance: number;
}

/** Offers questions to `send`, the most urgent first, until it says that no caller is free. */
export function sendAdvice(
    state: SchedulerState,
    now: number,
    ranked: readonly RankedStep[],
    send: (decision: AdviceDecision) => AdviceSending,
): void {
    for (const { step } of ranked) {
        if (!needsAdvice(state, step) || step.advice.isAsking || step.advice.retryAt > now) {
            continue;
        }
        const executors = selectNamedExecutors(state, now, step);
        if (executors.length === 0) {
            continue;
        }
        const result = send({ step: step.key, queue: step.occurrence.job.submission.queue, executors });
        step.advice.isAsking = result === "sent";
        if (result === "noCaller") {
            return;
        }
    }
}

/** Records an answer; `undefined` stands for a call without one. */
export function recordAdvice(
    state: SchedulerState,
    now: number,
    step: StepRow,
    named: readonly ExecutorId[],
    grants: readonly AdviceGrant[] | undefined,
): void {
    step.advice.isAsking = false;
    const queue = state.queues.get(step.occurrence.job.submission.queue);
    const validMs = queue?.rules.advice?.validMs;
    if (grants === undefined || queue === undefined || validMs === undefined) {
        step.advice.retryAt = now + retryPauseMs;
        return;
    }
    const unknown = named.filter(executor => !step.advice.tickets.has(executor));
    const granted = new Set(grants.map(grant => grant.executor));
    grants.forEach(({ executor, ticket }) => step.advice.tickets.set(executor, { ticket, validUntil: now + validMs }));
    named.filter(executor => !granted.has(executor)).forEach(executor => {
        step.advice.refused.add(executor);
        step.advice.tickets.delete(executor);
    });
    recordGrantRate(queue, unknown, granted);
}

function recordGrantRate(queue: QueueRow, unknown: readonly ExecutorId[], granted: ReadonlySet<ExecutorId>): void {
    if (unknown.length > 0) {
        const share = unknown.filter(executor => granted.has(executor)).length / unknown.length;
        const sample = queue.grantRate + grantWeight * (share - queue.grantRate);
        queue.grantRate = Math.min(0.95, Math.max(0.1, sample));
    }
}

function selectNamedExecutors(state: SchedulerState, now: number, step: StepRow): ExecutorId[] {
    const needed = listWaitingTasks(step).length;
    const options: Option[] = [];
    let covered = 0;
    for (const executor of state.executors.values()) {
        if (step.advice.refused.has(executor.id) || !isEligible(state, now, step, executor)) {
            continue;
        }
        const isKnown = step.advice.tickets.has(executor.id);
        // A gang plans with whole executors that it does not know yet, so that it learns where it can wait for room.
        const slots = step.spec.isGang && !isKnown
            ? countFits(getChargedResources(step), executor.capacity)
            : countRoom(step, executor);
        if (hasTicket(state, now, step, executor)) {
            covered += countRoom(step, executor);
        }
        else if (slots > 0) {
            options.push({ executor, slots: Math.min(slots, needed), chance: isKnown ? 1 : getGrantRate(state, step) });
        }
    }
    if (covered >= needed || isBlockedGang(step, options, covered, needed)) {
        return [];
    }
    // A gang needs to know all executors that it can wait for.
    return pickOptions(step, options, step.spec.isGang ? Infinity : needed * surplus - covered);
}

/** Returns whether a gang knows all its executors and cannot fit on them now, so that tickets would run out unused. */
function isBlockedGang(step: StepRow, options: readonly Option[], covered: number, needed: number): boolean {
    const isAllKnown = options.every(option => option.chance === 1);
    return step.spec.isGang && isAllKnown && covered + options.reduce((sum, option) => sum + option.slots, 0) < needed;
}

function pickOptions(step: StepRow, options: Option[], missing: number): ExecutorId[] {
    options.sort((first, second) =>
        second.chance - first.chance
        || countRoom(step, second.executor) - countRoom(step, first.executor)
    );
    const named: ExecutorId[] = [];
    let expected = 0;
    for (const { executor, slots, chance } of options) {
        if (expected >= missing || named.length >= maxNamed) {
            break;
        }
        named.push(executor.id);
        expected += slots * chance;
    }
    return named;
}

function getGrantRate(state: SchedulerState, step: StepRow): number {
    return state.queues.get(step.occurrence.job.submission.queue)?.grantRate ?? 1;
}
