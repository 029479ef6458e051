/** Which executors may run a step, and in which order they are tried. */
import type { ExecutorRow, StepRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { countFits, getChargedResources, getFreeResources } from "./state.js";

/** An executor slower than its peers by this factor is used only when no other has room. */
const maxNormalSlowdown = 1.7;

export interface Candidate {
    readonly executor: ExecutorRow;
    /** Tasks of the step that fit now. */
    readonly freeSlots: number;
}

/** Tasks expected to end within this time may use executors that a waiting gang has reserved, ms. */
const maxBackfillMs = 1_500;

/** Returns whether the executor may run the step apart from room and advice. */
export function isEligible(state: SchedulerState, now: number, step: StepRow, executor: ExecutorRow): boolean {
    const rules = state.queues.get(step.occurrence.job.submission.queue)?.rules;
    const label = step.spec.requiredLabel;
    return rules !== undefined
        && executor.isReady && executor.isReachable
        && executor.pool === rules.pool
        && executor.avoidUntil <= now
        && executor.unknownRuns.size === 0
        && !isReservedForOther(state, step, executor)
        && (label === undefined || executor.labels.has(label));
}

function isReservedForOther(state: SchedulerState, step: StepRow, executor: ExecutorRow): boolean {
    const reservation = state.reservation;
    if (reservation === undefined || reservation.step === step || !reservation.executors.has(executor.id)) {
        return false;
    }
    const ratio = state.queues.get(step.occurrence.job.submission.queue)?.estimateRatio ?? 1;
    return step.spec.estimateMs * ratio > maxBackfillMs;
}

/** Returns whether the advisor's grant for the executor can be used for a start now. */
export function hasValidTicket(state: SchedulerState, now: number, step: StepRow, executor: ExecutorRow): boolean {
    if (!needsAdvice(state, step)) {
        return true;
    }
    const ticket = step.advice.tickets.get(executor.id);
    return ticket !== undefined && ticket.validUntil - state.options.ticketMarginMs > now;
}

export function needsAdvice(state: SchedulerState, step: StepRow): boolean {
    return state.queues.get(step.occurrence.job.submission.queue)?.rules.advice !== undefined;
}

/** Returns how many more tasks of the step the executor can take now. */
export function countFreeSlots(step: StepRow, executor: ExecutorRow): number {
    const byResources = countFits(getChargedResources(step), getFreeResources(executor));
    const bound = step.spec.maxPerExecutor;
    if (bound === undefined) {
        return byResources;
    }
    let running = 0;
    for (const run of executor.runs.values()) {
        running += run.task.step === step ? 1 : 0;
    }
    return Math.max(0, Math.min(byResources, bound - running));
}

/**
 * Orders executors for a step: near its data first, slow ones last, and among equals the fullest, so that large tasks
 * find whole executors free.
 */
export function sortCandidates(step: StepRow, candidates: Candidate[]): Candidate[] {
    const isOffDataRack = (executor: ExecutorRow) =>
        step.spec.dataRack !== undefined && executor.rack !== step.spec.dataRack ? 1 : 0;
    const isSlow = (executor: ExecutorRow) => executor.slowdown > maxNormalSlowdown ? 1 : 0;
    return candidates.sort((first, second) =>
        isOffDataRack(first.executor) - isOffDataRack(second.executor)
        || isSlow(first.executor) - isSlow(second.executor)
        || getFreeResources(first.executor).cpuMillis - getFreeResources(second.executor).cpuMillis
    );
}
