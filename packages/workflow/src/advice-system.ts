/**
 * Decides which executors to ask the advisors about. The set of executors that may run a step does not change, so every
 * answer is kept: a refused executor is not asked about again, and a granted one only if its ticket has expired while
 * it has free slots.
 */
import type { ExecutorId, QueueId } from "@waxwingroute/core";
import { AdviceOrder } from "./advice-order.js";
import { countFreeSlots, hasValidTicket, isEligible, needsAdvice } from "./candidates.js";
import type { RankedStep } from "./rank.js";
import type { ExecutorRow, QueueRow, RunRow, StepRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { countFits, getChargedResources } from "./state.js";
import type { AdviceGrant, AdviceRequest, AdviceSendResult } from "./types.js";

/** Largest number of executors in one request; a limit of the advisor's interface. */
const maxExecutorsPerRequest = 100;
/**
 * Executors in a request if there are as many, whether or not they have free slots now. On a full fleet, room is taken
 * before the answer arrives, so a step needs to know many executors on which it may use the next free slot.
 */
const minExecutorsPerRequest = 30;
/**
 * Slots that are requested, as a multiple of those that are needed. The fixed time of a call equals the time for about
 * 100 executors, so a request for more executors costs less than a second call.
 */
const requestedSlotsFactor = 2;
/** Weight of a new answer in the moving average of the grant rate. */
const grantRateSampleWeight = 0.1;
/**
 * Time from a failed call to the next request for the step, ms. It doubles with each failure in a row, since the advisor
 * may reject each request for the step.
 */
const minRetryDelayMs = 100;
const maxRetryDelayMs = 3_200;

/** Time from an answer to the next request for the step, ms. On a full fleet, room for a few of its tasks appears often. */
const minRequestIntervalMs = 150;
/** Time from an evaluation that found no request necessary to the next one, ms; short beside the time of a call. */
const evaluationIntervalMs = 40;
/**
 * Executors that a round examines for steps that need no request; the other steps are left to the next round. With more
 * steps than one round can evaluate, the interval grows in proportion, so that each has its turn.
 */
const maxExaminedExecutors = 20_000;

/** An executor that a request can include. */
interface AskOption {
    readonly executor: ExecutorRow;
    /** Tasks of the step that it could run. */
    readonly slots: number;
    readonly grantProbability: number;
}

/** Passes a request for each step that needs one to `send`, in the order of `AdviceOrder`, until no host is free. */
export function sendAdviceRequests(
    state: SchedulerState,
    now: number,
    ranked: readonly RankedStep[],
    send: (request: AdviceRequest) => AdviceSendResult,
): void {
    const order = new AdviceOrder(now, listDueSteps(state, now, ranked), state.adviceBalance);
    const rounds = Math.max(1, ranked.length * state.executors.size / maxExaminedExecutors);
    let examined = 0;
    for (let next = order.takeNext(); next !== undefined; next = order.takeNext()) {
        const { isOverdue, step } = next;
        const { advice } = step;
        const executors = selectExecutorsToAsk(state, now, step);
        if (executors === undefined || executors.length === 0) {
            advice.evaluateAt = now + evaluationIntervalMs * rounds;
            // A step that lacks room keeps its place, since others may take each room before its call is answered.
            advice.dueSince = executors === undefined ? undefined : advice.dueSince;
            examined += state.executors.size;
            if (examined >= maxExaminedExecutors) {
                return;
            }
            continue;
        }
        const { queue } = step.occurrence.job.submission;
        const result = send({ step: step.key, queue, executors, isOverdue });
        if (result === "noHost") {
            return;
        }
        if (result === "postponed") {
            order.recordPostponed(next);
            continue;
        }
        advice.isRequestPending = true;
        advice.requestedAt = now;
        order.recordSent(next, estimateWorkMs(state, queue, executors.length));
    }
}

/** Returns the ranked steps that may need a request, and records for each since when. */
function listDueSteps(state: SchedulerState, now: number, ranked: readonly RankedStep[]): StepRow[] {
    const due: StepRow[] = [];
    for (const { step } of ranked) {
        const { advice } = step;
        const isDue = !advice.isRequestPending && advice.retryAt <= now && advice.evaluateAt <= now;
        if (isDue && needsAdvice(state, step)) {
            advice.dueSince ??= findWaitStart(now, step);
            due.push(step);
        }
    }
    return due;
}

/**
 * Returns when the wait of a step for a request began. An earlier owner may not have sent the first one either, so the
 * time of its job counts, and the wait does not begin anew with each owner.
 */
function findWaitStart(now: number, { advice, occurrence, spec }: StepRow): number {
    const isFirst = advice.requestedAt === undefined && spec.after.length === 0;
    return isFirst ? Math.min(now, occurrence.dueAt) : now;
}

function estimateWorkMs(state: SchedulerState, queue: QueueId, executors: number): number {
    const { callMs = 0, perExecutorMs = 0 } = state.queues.get(queue)?.rules.advice ?? {};
    return callMs + perExecutorMs * executors;
}

/** Records the advisor's answer about the executors in `asked`; `grants` is `undefined` if the call failed. */
export function recordAdvice(
    state: SchedulerState,
    now: number,
    step: StepRow,
    asked: readonly ExecutorId[],
    grants: readonly AdviceGrant[] | undefined,
): void {
    step.advice.isRequestPending = false;
    const queue = state.queues.get(step.occurrence.job.submission.queue);
    const validMs = queue?.rules.advice?.validMs;
    if (grants === undefined || queue === undefined || validMs === undefined) {
        const delayMs = Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** step.advice.failuresInRow);
        step.advice.retryAt = now + delayMs;
        step.advice.failuresInRow += 1;
        // Steps whose calls always fail would otherwise stay the first of the overdue ones and hold their share.
        step.advice.dueSince = delayMs < maxRetryDelayMs ? step.advice.dueSince : undefined;
        return;
    }
    step.advice.failuresInRow = 0;
    step.advice.dueSince = undefined;
    step.advice.answeredAt = now;
    const newlyAsked = asked.filter(executor => !step.advice.tickets.has(executor));
    const granted = new Set(grants.map(grant => grant.executor));
    grants.forEach(({ executor, ticket }) => {
        step.advice.tickets.set(executor, { ticket, receivedAt: now, validUntil: now + validMs });
        step.advice.newlyGranted.push(executor);
    });
    step.advice.evaluateAt = now + minRequestIntervalMs;
    asked.filter(executor => !granted.has(executor)).forEach(executor => {
        step.advice.refused.add(executor);
        step.advice.tickets.delete(executor);
    });
    recordGrantRate(queue, newlyAsked, granted);
}

/**
 * Forgets the ticket of a run that its executor has refused, so that the advisor is asked for a new one. The grant is
 * kept. A ticket that has arrived since the start is another one.
 */
export function recordTicketRefusal({ executor, startedAt, task: { step } }: RunRow): void {
    const ticket = step.advice.tickets.get(executor);
    if (ticket !== undefined && ticket.receivedAt <= startedAt) {
        step.advice.tickets.set(executor, { ...ticket, validUntil: 0 });
        step.advice.evaluateAt = 0;
    }
}

function recordGrantRate(queue: QueueRow, newlyAsked: readonly ExecutorId[], granted: ReadonlySet<ExecutorId>): void {
    if (newlyAsked.length > 0) {
        const share = newlyAsked.filter(executor => granted.has(executor)).length / newlyAsked.length;
        const sample = queue.grantRate + grantRateSampleWeight * (share - queue.grantRate);
        // Never 0 or 1, so that no series of equal answers makes a grant appear impossible or certain.
        queue.grantRate = Math.min(0.95, Math.max(0.1, sample));
    }
}

/** Returns no executors if asking cannot help now, and `undefined` if the tickets suffice for all waiting tasks. */
function selectExecutorsToAsk(state: SchedulerState, now: number, step: StepRow): ExecutorId[] | undefined {
    const neededSlots = step.waitingCount;
    const options: AskOption[] = [];
    const withoutSlots: ExecutorRow[] = [];
    let coveredSlots = 0;
    for (const executor of state.executors.values()) {
        if (step.advice.refused.has(executor.id) || !isEligible(state, now, step, executor)) {
            continue;
        }
        const wasGranted = step.advice.tickets.has(executor.id);
        // For a gang, the whole capacity of an executor counts until the advisor has answered, also what is in use now:
        // the gang has to learn for which executors it can wait.
        const slots = step.spec.isGang && !wasGranted
            ? countFits(getChargedResources(step), executor.capacity)
            : countFreeSlots(step, executor);
        if (hasValidTicket(state, now, step, executor)) {
            coveredSlots += countFreeSlots(step, executor);
        }
        else if (slots > 0) {
            options.push({
                executor,
                slots: Math.min(slots, neededSlots),
                grantProbability: wasGranted ? 1 : getGrantRate(state, step),
            });
        }
        else if (!wasGranted) {
            withoutSlots.push(executor);
        }
    }
    if (coveredSlots >= neededSlots) {
        return undefined;
    }
    if (isBlockedGang(step, options, coveredSlots, neededSlots)) {
        return [];
    }
    const wasAsked = step.advice.tickets.size + step.advice.refused.size > 0;
    if (options.length === 0 && wasAsked) {
        return [];
    }
    // A gang has to know all executors for which it can wait, so its requests are not limited by the slots they offer.
    const selected = selectOptions(
        step,
        options,
        step.spec.isGang ? Infinity : neededSlots * requestedSlotsFactor - coveredSlots,
    );
    return addExecutorsWithoutSlots(state, selected, withoutSlots);
}

/** Adds executors up to `minExecutorsPerRequest`, others for each request, so that steps do not all wait for the same. */
function addExecutorsWithoutSlots(
    state: SchedulerState,
    selected: readonly ExecutorId[],
    withoutSlots: readonly ExecutorRow[],
): ExecutorId[] {
    const missing = Math.min(withoutSlots.length, minExecutorsPerRequest - selected.length);
    if (missing <= 0) {
        return [...selected];
    }
    const first = state.nextExecutorToAsk % withoutSlots.length;
    state.nextExecutorToAsk += missing;
    const rotated = [...withoutSlots.slice(first), ...withoutSlots.slice(0, first)];
    return [...selected, ...rotated.slice(0, missing).map(executor => executor.id)];
}

/** Returns whether the advisor has granted all `options` of a gang but too few slots are free to use new tickets. */
function isBlockedGang(
    step: StepRow,
    options: readonly AskOption[],
    coveredSlots: number,
    neededSlots: number,
): boolean {
    const wereAllGranted = options.every(option => option.grantProbability === 1);
    return step.spec.isGang && wereAllGranted
        && coveredSlots + options.reduce((sum, option) => sum + option.slots, 0) < neededSlots;
}

function selectOptions(step: StepRow, options: AskOption[], wantedSlots: number): ExecutorId[] {
    options.sort((first, second) =>
        second.grantProbability - first.grantProbability
        || countFreeSlots(step, second.executor) - countFreeSlots(step, first.executor)
    );
    const selected: ExecutorId[] = [];
    let expectedSlots = 0;
    for (const { executor, slots, grantProbability } of options) {
        if (expectedSlots >= wantedSlots || selected.length >= maxExecutorsPerRequest) {
            break;
        }
        selected.push(executor.id);
        expectedSlots += slots * grantProbability;
    }
    return selected;
}

function getGrantRate(state: SchedulerState, step: StepRow): number {
    return state.queues.get(step.occurrence.job.submission.queue)?.grantRate ?? 1;
}
