/** Decides which executors may run a step, how many of its tasks fit on each, and in which order they are tried. */
import { addResources } from "@waxwingroute/core";
import type { ExecutorRow, RunRow, StepRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { countFits, getChargedResources, getFreeResources } from "./state.js";

/** An executor that is slower than expected by more than this factor is used only when no other has a free slot. */
const maxNormalSlowdown = 1.7;

/** An executor that can run tasks of a step now. */
export interface Candidate {
    readonly executor: ExecutorRow;
    /** Number of further tasks of the step that fit on the executor now. */
    readonly freeSlots: number;
}

/** Tasks expected to end within this time may use executors that are reserved for a blocked gang, ms. */
const maxBackfillMs = 1_500;

/** Slack from which a step waits for other room than what is kept for a gang, ms; covers the time to the next tick. */
const minKeptSlackMs = 200;

/** Returns whether the executor may run the step, free slots and the advisor's grant left aside. */
export function isEligible(state: SchedulerState, now: number, step: StepRow, executor: ExecutorRow): boolean {
    const rules = state.queues.get(step.occurrence.job.submission.queue)?.rules;
    const label = step.spec.requiredLabel;
    return rules !== undefined
        && executor.isReady && executor.isReachable
        && executor.pool === rules.pool
        && executor.avoidUntil <= now
        && executor.runsOfUnknownTasks.size === 0
        && executor.probeRuns === 0
        && !isReservedForOther(state, now, step, executor)
        && !isHeldForOther(state, step, executor)
        && (label === undefined || executor.labels.has(label));
}

/** Returns whether the executor is held for a probe of another step. */
export function isHeldForOther({ probeHold }: SchedulerState, step: StepRow, executor: ExecutorRow): boolean {
    return probeHold?.executor === executor && probeHold.step !== step;
}

function isReservedForOther(state: SchedulerState, now: number, step: StepRow, executor: ExecutorRow): boolean {
    const reservation = state.reservation;
    if (reservation === undefined || reservation.step === step || !reservation.executors.has(executor.id)) {
        return false;
    }
    return !canUseReserved(state, now, step);
}

/**
 * Returns whether the step may use executors that are reserved for a gang: its tasks are short, or, where room is kept for
 * the gang, they end before the room is complete, or the step is more urgent and would else miss its objective.
 */
export function canUseReserved(state: SchedulerState, now: number, step: StepRow): boolean {
    const { reservation } = state;
    if (reservation?.isKept !== true) {
        return canBackfill(state, step);
    }
    const ratio = state.queues.get(step.occurrence.job.submission.queue)?.estimateRatio ?? 1;
    if (now + step.spec.estimateMs * ratio <= reservation.completeAt) {
        return true;
    }
    const slackMs = step.occurrence.objectiveAt - now - step.criticalPathMs * ratio;
    if (!reservation.isUseful) {
        return slackMs >= 0;
    }
    return getPriority(state, step) < getPriority(state, reservation.step) && slackMs <= minKeptSlackMs;
}

/** Returns whether the executor is kept for a gang. A more urgent step uses it only if there is no other room. */
export function isKeptForOther(state: SchedulerState, step: StepRow, executor: ExecutorRow): boolean {
    const { reservation } = state;
    return reservation?.isKept === true && reservation.step !== step && reservation.executors.has(executor.id);
}

function getPriority(state: SchedulerState, step: StepRow): number {
    return state.queues.get(step.occurrence.job.submission.queue)?.rules.priority ?? 0;
}

/** Returns whether the tasks of the step are short enough to use executors that are reserved for a gang. */
function canBackfill(state: SchedulerState, step: StepRow): boolean {
    const ratio = state.queues.get(step.occurrence.job.submission.queue)?.estimateRatio ?? 1;
    return step.spec.estimateMs * ratio <= maxBackfillMs;
}

/** Returns whether the queue has no advisor or its ticket for the executor is valid long enough for a start now. */
export function hasValidTicket(state: SchedulerState, now: number, step: StepRow, executor: ExecutorRow): boolean {
    if (!needsAdvice(state, step)) {
        return true;
    }
    const ticket = step.advice.tickets.get(executor.id);
    return ticket !== undefined && ticket.validUntil - state.options.ticketMarginMs > now;
}

/** Returns the executors that can be candidates: where the queue has an advisor, only those that it has granted. */
export function* listAdvisedExecutors(state: SchedulerState, step: StepRow): Iterable<ExecutorRow> {
    if (!needsAdvice(state, step)) {
        yield* state.executors.values();
        return;
    }
    for (const id of step.advice.tickets.keys()) {
        const executor = state.executors.get(id);
        if (executor !== undefined) {
            yield executor;
        }
    }
}

/** Returns whether the queue of the step has an advisor. */
export function needsAdvice(state: SchedulerState, step: StepRow): boolean {
    return state.queues.get(step.occurrence.job.submission.queue)?.rules.advice !== undefined;
}

/** Returns how many more tasks of the step the executor can run now. */
export function countFreeSlots(step: StepRow, executor: ExecutorRow): number {
    const byResources = countFits(getChargedResources(step), getFreeResources(executor));
    const maxPerExecutor = step.spec.maxPerExecutor;
    if (maxPerExecutor === undefined || byResources === 0) {
        return byResources;
    }
    let running = 0;
    for (const run of executor.runs.values()) {
        running += run.task.step === step ? 1 : 0;
    }
    return Math.max(0, Math.min(byResources, maxPerExecutor - running));
}

/** Returns when a run is expected to end; a long-running one does not. */
export function estimateEnd(state: SchedulerState, { startedAt, task }: RunRow): number {
    const { occurrence, spec } = task.step;
    const ratio = state.queues.get(occurrence.job.submission.queue)?.estimateRatio ?? 1;
    return spec.isLongRunning ? Infinity : startedAt + spec.estimateMs * ratio;
}

/** Returns the slots that are expected on the executors by a time, if they take no other work. */
export function countSlotsBy(
    state: SchedulerState,
    by: number,
    step: StepRow,
    executors: readonly ExecutorRow[],
): number {
    return executors.reduce((sum, executor) => {
        const ending = [...executor.runs.values()].filter(run => estimateEnd(state, run) <= by);
        const free = ending.reduce(
            (total, { resources }) => addResources(total, resources),
            getFreeResources(executor),
        );
        return sum + countFits(getChargedResources(step), free);
    }, 0);
}

/**
 * Sorts candidates in place: those that are not kept for a gang first, then those in the rack of the step's data first, then those that are not slow, then those with
 * the fewest free processors, so that whole executors stay free for large tasks.
 */
export function sortCandidates(state: SchedulerState, step: StepRow, candidates: Candidate[]): Candidate[] {
    const isOffDataRack = (executor: ExecutorRow) =>
        step.spec.dataRack !== undefined && executor.rack !== step.spec.dataRack ? 1 : 0;
    const isSlow = (executor: ExecutorRow) => executor.slowdown > maxNormalSlowdown ? 1 : 0;
    const isKept = (executor: ExecutorRow) => isKeptForOther(state, step, executor) ? 1 : 0;
    return candidates.sort((first, second) =>
        isKept(first.executor) - isKept(second.executor)
        || isOffDataRack(first.executor) - isOffDataRack(second.executor)
        || isSlow(first.executor) - isSlow(second.executor)
        || getFreeResources(first.executor).cpuMillis - getFreeResources(second.executor).cpuMillis
    );
}
