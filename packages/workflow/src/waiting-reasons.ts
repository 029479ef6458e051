/**
 * Decides why an open step has tasks that did not start. It repeats the conditions of the placement without changing
 * anything, so that a wait can be explained while it lasts.
 */
import { multiplyResources } from "@waxwingroute/core";
import { countFreeSlots, hasValidTicket, isEligible, isHeldForOther, needsAdvice } from "./candidates.js";
import { allowsGang, allowsProbe, isProbeStep } from "./crash-system.js";
import type { ExecutorRow, RunRow, StepRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { allowsMore, countFits, getChargedResources, getFreeResources } from "./state.js";
import type { StepKey } from "./types.js";

/** Why a step waits. */
export const waitingReasons = [
    /** Tasks are held back because an executor that has not answered since the takeover may run them. */
    "mayStillRun",
    /** All tasks were started, and some executor has neither confirmed nor refused its start. */
    "startUnconfirmed",
    /** The queue is not declared, and its rules at the acceptance of the job are not known. */
    "queueUnknown",
    /** A gang starts only once all runs of its members have ended. */
    "gangIncomplete",
    "teamLimit",
    /** The tasks may crash their executors, and as many probes as allowed are in flight. */
    "probeLimit",
    /** No executor is idle, or free of runs that are not proven, for a probe; one is held for the oldest. */
    "probeNeedsIdle",
    /** A gang that may crash its executors starts only on those that have survived their last starts. */
    "gangNeedsProven",
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
    /** Executors with room run as many tasks of the step as it allows on one. */
    "maxPerExecutor",
    "reservedForGang",
    /** An executor is held for a probe of another step. */
    "heldForProbe",
    /** Executors are avoided for a time, because they refused starts, or runs on them failed. */
    "executorsAvoided",
    "executorsUnreachable",
    /** Executors run tasks of unknown size, or a probe that is not proven. */
    "executorsBlocked",
    "executorsLeaving",
    "noExecutor",
    /** Nothing is placed, because the owner may not send orders. */
    "ordersSuspended",
    /** The last tick found too little; what appeared since suffices, and the next tick places the step or a more urgent. */
    "tickDue",
    /** A fault: the last tick left out a step for which there was room. */
    "missedRoom",
] as const;

export type WaitingReason = typeof waitingReasons[number];

/** How many executors of the pool with the required label are in which state for a step. */
export interface ExecutorCounts {
    /** Can take a task now. */
    usable: number;
    full: number;
    /** With room, and as many tasks of the step as it allows on one. */
    atMaximum: number;
    /** With room, and runs that they may not survive, which keeps a gang away that may crash executors. */
    unproven: number;
    reserved: number;
    held: number;
    avoided: number;
    unreachable: number;
    blocked: number;
    leaving: number;
    /** With room, but without a valid ticket: expired, not asked about, and refused by the advisor. */
    expired: number;
    notAsked: number;
    refused: number;
}

/** A start on an executor that the step may use: the step that took the room, and the time since, ms. */
export interface TakenRoom {
    readonly step: StepKey;
    readonly ageMs: number;
}

/** A run that the step waits for, and the time since its start, ms. */
export interface AwaitedRun extends Pick<RunRow, "executor" | "state"> {
    readonly ageMs: number;
}

/** Time without a tick after which orders count as suspended, ms; an owner that may order ticks several times as often. */
const maxTickGapMs = 500;

/** Why a step waits, and what decided it. */
export interface WaitingCause {
    readonly reason: WaitingReason;
    readonly executors: ExecutorCounts;
    /** Free slots on the usable executors. */
    readonly freeSlots: number;
    /** Free slots on usable executors that gained room or were granted since the last tick. */
    readonly newSlots: number;
    /** Time since the last tick, ms; `undefined`: there was none. */
    readonly sinceTickMs: number | undefined;
    /** The last start of another step, since this one waits, on an executor that it may use. */
    readonly taken: TakenRoom | undefined;
    /** The gang for which executors are reserved. */
    readonly reservedFor: StepKey | undefined;
    /** The oldest run whose end or confirmation the step waits for. */
    readonly awaitedRun: AwaitedRun | undefined;
    /** Time since the call to the advisor that has no answer was sent, ms; `undefined`: there is none. */
    readonly adviceInFlightMs: number | undefined;
    /** Time since the advisor last answered, ms; `undefined`: it has not. */
    readonly adviceAgeMs: number | undefined;
}

/** What the executors offer a step. */
interface RoomSummary {
    readonly counts: ExecutorCounts;
    freeSlots: number;
    newSlots: number;
    lastStart: ExecutorRow["lastStart"];
}

/** Decides why an unfinished step of an open job does not start its tasks. `since`: when it began to wait. */
export function decideWaitingReason(state: SchedulerState, now: number, step: StepRow, since = now): WaitingCause {
    const room = collectRoom(state, now, step);
    const reason = chooseReason(state, now, step, room);
    const { counts, freeSlots, lastStart, newSlots } = room;
    const { requestedAt, answeredAt, isRequestPending } = step.advice;
    const reservedFor = state.reservation?.step;
    const awaited = reason === "gangIncomplete" || reason === "startUnconfirmed" ? findOldestRun(step) : undefined;
    return {
        reason,
        executors: counts,
        freeSlots,
        newSlots,
        sinceTickMs: state.lastTickAt === -Infinity ? undefined : now - state.lastTickAt,
        taken: lastStart !== undefined && lastStart.at > since
            ? { step: lastStart.step.key, ageMs: now - lastStart.at }
            : undefined,
        reservedFor: reservedFor === step ? undefined : reservedFor?.key,
        awaitedRun: awaited && { executor: awaited.executor, state: awaited.state, ageMs: now - awaited.startedAt },
        adviceInFlightMs: isRequestPending && requestedAt !== undefined ? now - requestedAt : undefined,
        adviceAgeMs: answeredAt === undefined ? undefined : now - answeredAt,
    };
}

function findOldestRun(step: StepRow): RunRow | undefined {
    return step.tasks.flatMap(task => task.runs).sort((first, second) => first.startedAt - second.startedAt)[0];
}

function chooseReason(state: SchedulerState, now: number, step: StepRow, room: RoomSummary): WaitingReason {
    const { isGang } = step.spec;
    if (step.waitingCount === 0) {
        return step.tasks.some(task => task.state === "unknown") ? "mayStillRun" : "startUnconfirmed";
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
    if (room.freeSlots >= neededSlots) {
        return isProbe ? "probeNeedsIdle" : chooseTickReason(state, now, step, room, neededSlots);
    }
    return chooseAdviceReason(state, step, room.counts) ?? chooseExecutorReason(room.counts);
}

/** Returns why a step for which there is room now was not placed by the last tick. */
function chooseTickReason(
    state: SchedulerState,
    now: number,
    step: StepRow,
    { freeSlots, newSlots }: RoomSummary,
    neededSlots: number,
): WaitingReason {
    if (now - state.lastTickAt > maxTickGapMs) {
        return "ordersSuspended";
    }
    // A step that the last tick left out, for example because of the limit of its team, may start since.
    const hadRoom = step.placedInTick === state.tickNumber && freeSlots - newSlots >= neededSlots;
    return hadRoom ? "missedRoom" : "tickDue";
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
        ["maxPerExecutor", executors.atMaximum],
        ["gangNeedsProven", executors.unproven],
        ["reservedForGang", executors.reserved],
        ["heldForProbe", executors.held],
        ["executorsAvoided", executors.avoided],
        ["executorsUnreachable", executors.unreachable],
        ["executorsBlocked", executors.blocked],
        ["executorsLeaving", executors.leaving],
    ] as const;
    return counted.find(([, count]) => count > 0)?.[0] ?? "noExecutor";
}

/** Counts the executors by their states, and the free slots on the usable ones. */
function collectRoom(state: SchedulerState, now: number, step: StepRow): RoomSummary {
    const rules = state.queues.get(step.occurrence.job.submission.queue)?.rules;
    const label = step.spec.requiredLabel;
    const { refused, tickets } = step.advice;
    const isAdvised = needsAdvice(state, step);
    const gained = new Set(state.listRoomGains(state.lastTickGain) ?? state.executors.values());
    const granted = new Set(step.advice.newlyGranted);
    const room: RoomSummary = { counts: createCounts(), freeSlots: 0, newSlots: 0, lastStart: undefined };
    for (const executor of state.executors.values()) {
        if (executor.pool !== rules?.pool || label !== undefined && !executor.labels.has(label)) {
            continue;
        }
        if (isAdvised && refused.has(executor.id)) {
            room.counts.refused += 1;
            continue;
        }
        const kind = classifyExecutor(state, now, step, executor);
        const isUnadvised = kind === "usable" && !hasValidTicket(state, now, step, executor);
        room.counts[isUnadvised ? tickets.has(executor.id) ? "expired" : "notAsked" : kind] += 1;
        const slots = kind === "usable" && !isUnadvised ? countFreeSlots(step, executor) : 0;
        room.freeSlots += slots;
        room.newSlots += gained.has(executor) || granted.has(executor.id) ? slots : 0;
        const { lastStart } = executor;
        const isOther = lastStart !== undefined && lastStart.step !== step;
        room.lastStart = isOther && lastStart.at > (room.lastStart?.at ?? -Infinity) ? lastStart : room.lastStart;
    }
    return room;
}

function classifyExecutor(
    state: SchedulerState,
    now: number,
    step: StepRow,
    executor: ExecutorRow,
):
    | "usable"
    | "full"
    | "atMaximum"
    | "unproven"
    | "reserved"
    | "held"
    | "avoided"
    | "unreachable"
    | "blocked"
    | "leaving" {
    if (isEligible(state, now, step, executor)) {
        if (countFits(getChargedResources(step), getFreeResources(executor)) === 0) {
            return "full";
        }
        const hasSlots = countFreeSlots(step, executor) > 0;
        return !hasSlots ? "atMaximum" : allowsGang(step, executor) ? "usable" : "unproven";
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
    if (isHeldForOther(state, step, executor)) {
        return "held";
    }
    return executor.runsOfUnknownTasks.size > 0 || executor.probeRuns > 0 ? "blocked" : "reserved";
}

function createCounts(): ExecutorCounts {
    return {
        usable: 0,
        full: 0,
        atMaximum: 0,
        unproven: 0,
        reserved: 0,
        held: 0,
        avoided: 0,
        unreachable: 0,
        blocked: 0,
        leaving: 0,
        expired: 0,
        notAsked: 0,
        refused: 0,
    };
}
