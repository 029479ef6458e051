/**
 * Decides why an open step has tasks that did not start. It repeats the conditions of the placement without changing
 * anything, so that a wait can be explained while it lasts.
 */
import { multiplyResources } from "@waxwingroute/core";
import { countFreeSlots, hasValidTicket, isEligible, needsAdvice } from "./candidates.js";
import { allowsProbe, isProbeStep } from "./crash-system.js";
import type { ExecutorRow, StepRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { allowsMore, getChargedResources } from "./state.js";

/** Why a step waits. */
export const waitingReasons = [
    /** Tasks are held back because an executor that has not answered since the takeover may run them. */
    "mayStillRun",
    /** The queue is not declared, and its rules at the acceptance of the job are not known. */
    "queueUnknown",
    /** A gang starts only once all runs of its members have ended. */
    "gangIncomplete",
    "teamLimit",
    /** The tasks may crash their executors, and as many probes as allowed are in flight. */
    "probeLimit",
    /** No executor is idle for a probe of a task that has crashed one. */
    "probeNeedsIdle",
    /** A call to the advisor has no answer yet. */
    "adviceInFlight",
    /** The advisor granted executors with room, but the tickets have expired. */
    "ticketExpired",
    /** Executors have room, and the advisor was not asked about them. */
    "adviceNotAsked",
    /** The advisor refused all executors with room. */
    "adviceRefused",
    /** Executors that may run the step are full; for a gang, they have too little room together. */
    "noRoom",
    "reservedForGang",
    /** Executors are avoided for a time, because they refused starts, or runs on them failed. */
    "executorsAvoided",
    "executorsUnreachable",
    /** Executors run tasks of unknown size, or a probe that is not proven. */
    "executorsBlocked",
    "executorsLeaving",
    "noExecutor",
    /** No condition of the placement keeps the step from starting. */
    "none",
] as const;

export type WaitingReason = typeof waitingReasons[number];

/** How many executors of the pool with the required label are in which state for a step. */
export interface ExecutorCounts {
    /** Can take a task now. */
    usable: number;
    full: number;
    reserved: number;
    avoided: number;
    unreachable: number;
    blocked: number;
    leaving: number;
    /** With room, but without a valid ticket: expired, not asked about, and refused by the advisor. */
    expired: number;
    notAsked: number;
    refused: number;
}

/** Why a step waits, and what decided it. */
export interface WaitingCause {
    readonly reason: WaitingReason;
    readonly executors: ExecutorCounts;
    /** Free slots on the usable executors. */
    readonly freeSlots: number;
    /** Time since the call to the advisor that has no answer was sent, ms; `undefined`: there is none. */
    readonly adviceInFlightMs: number | undefined;
    /** Time since the advisor last answered, ms; `undefined`: it has not. */
    readonly adviceAgeMs: number | undefined;
}

/** Decides why an unfinished step of an open job does not start its tasks. */
export function decideWaitingReason(state: SchedulerState, now: number, step: StepRow): WaitingCause {
    const executors = createCounts();
    const freeSlots = countExecutors(state, now, step, executors);
    const { requestedAt, answeredAt, isRequestPending } = step.advice;
    return {
        reason: chooseReason(state, step, executors, freeSlots),
        executors,
        freeSlots,
        adviceInFlightMs: isRequestPending && requestedAt !== undefined ? now - requestedAt : undefined,
        adviceAgeMs: answeredAt === undefined ? undefined : now - answeredAt,
    };
}

function chooseReason(
    state: SchedulerState,
    step: StepRow,
    executors: ExecutorCounts,
    freeSlots: number,
): WaitingReason {
    const { isGang } = step.spec;
    if (step.waitingCount === 0) {
        return "mayStillRun";
    }
    if (state.queues.get(step.occurrence.job.submission.queue) === undefined) {
        return "queueUnknown";
    }
    if (isGang && step.waitingCount < step.tasks.length) {
        return step.tasks.some(task => task.state === "unknown") ? "mayStillRun" : "gangIncomplete";
    }
    const neededSlots = isGang ? step.waitingCount : 1;
    if (!allowsMore(step.occurrence.job.team, multiplyResources(getChargedResources(step), neededSlots))) {
        return "teamLimit";
    }
    const isProbe = !isGang && isProbeStep(state, step);
    if (isProbe && !allowsProbe(state, step)) {
        return "probeLimit";
    }
    if (freeSlots >= neededSlots) {
        return isProbe ? "probeNeedsIdle" : "none";
    }
    return chooseAdviceReason(state, step, executors) ?? chooseExecutorReason(executors);
}

/** Returns the reason if executors with room lack a ticket; `undefined` if there are none, or no advisor. */
function chooseAdviceReason(
    state: SchedulerState,
    step: StepRow,
    executors: ExecutorCounts,
): WaitingReason | undefined {
    if (!needsAdvice(state, step)) {
        return undefined;
    }
    if (step.advice.isRequestPending) {
        return "adviceInFlight";
    }
    if (executors.expired > 0) {
        return "ticketExpired";
    }
    if (executors.notAsked > 0) {
        return "adviceNotAsked";
    }
    const hasGrants = step.advice.tickets.size > 0;
    return executors.refused > 0 && !hasGrants ? "adviceRefused" : undefined;
}

function chooseExecutorReason(executors: ExecutorCounts): WaitingReason {
    const counted = [
        ["noRoom", executors.full + executors.usable],
        ["reservedForGang", executors.reserved],
        ["executorsAvoided", executors.avoided],
        ["executorsUnreachable", executors.unreachable],
        ["executorsBlocked", executors.blocked],
        ["executorsLeaving", executors.leaving],
    ] as const;
    return counted.find(([, count]) => count > 0)?.[0] ?? "noExecutor";
}

/** Counts the executors by their states and returns the number of free slots on the usable ones. */
function countExecutors(state: SchedulerState, now: number, step: StepRow, counts: ExecutorCounts): number {
    const rules = state.queues.get(step.occurrence.job.submission.queue)?.rules;
    const label = step.spec.requiredLabel;
    const { refused, tickets } = step.advice;
    const isAdvised = needsAdvice(state, step);
    let freeSlots = 0;
    for (const executor of state.executors.values()) {
        if (executor.pool !== rules?.pool || label !== undefined && !executor.labels.has(label)) {
            continue;
        }
        if (isAdvised && refused.has(executor.id)) {
            counts.refused += 1;
            continue;
        }
        const kind = classifyExecutor(state, now, step, executor);
        const isUnadvised = kind === "usable" && !hasValidTicket(state, now, step, executor);
        counts[isUnadvised ? tickets.has(executor.id) ? "expired" : "notAsked" : kind] += 1;
        freeSlots += kind === "usable" && !isUnadvised ? countFreeSlots(step, executor) : 0;
    }
    return freeSlots;
}

function classifyExecutor(
    state: SchedulerState,
    now: number,
    step: StepRow,
    executor: ExecutorRow,
): "usable" | "full" | "reserved" | "avoided" | "unreachable" | "blocked" | "leaving" {
    if (isEligible(state, now, step, executor)) {
        return countFreeSlots(step, executor) > 0 ? "usable" : "full";
    }
    if (!executor.isReachable) {
        return "unreachable";
    }
    if (!executor.isReady) {
        return "leaving";
    }
    if (executor.avoidUntil > now) {
        return "avoided";
    }
    return executor.runsOfUnknownTasks.size > 0 || executor.probeRuns > 0 ? "blocked" : "reserved";
}

function createCounts(): ExecutorCounts {
    return {
        usable: 0,
        full: 0,
        reserved: 0,
        avoided: 0,
        unreachable: 0,
        blocked: 0,
        leaving: 0,
        expired: 0,
        notAsked: 0,
        refused: 0,
    };
}
