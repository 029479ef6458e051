/**
 * One step of the state machine: a private copy of the state that handlers change, and the actions that they add.
 */
import { toId } from "@waxwingroute/core";
import type { WriterToken } from "@waxwingroute/core";
import type { OwnershipRecord } from "./messages.js";
import type { OwnershipAction, OwnershipState, OwnershipTimings } from "./types.js";

/** Context that the handlers of one event share. */
export interface Step {
    /** Handlers replace fields and never change nested objects, because the state before the step shares these. */
    readonly state: { -readonly [Field in keyof OwnershipState]: OwnershipState[Field]; };
    readonly actions: OwnershipAction[];
    readonly now: number;
    readonly timings: OwnershipTimings;
}

/** Returns a duration extended by `clockRateBound`, for a host that waits until a right of another host has ended. */
export function extendForClockDrift(timings: OwnershipTimings, durationMs: number): number {
    return durationMs * (1 + timings.clockRateBound);
}

/** Returns a number that this process has not used for another request or write. */
export function generateRequestId(step: Step): number {
    step.state.requestSequence++;
    return step.state.requestSequence;
}

/** Sends a compare-and-swap write that replaces the known record or creates the first one. */
export function sendWrite(step: Step, content: Omit<OwnershipRecord, "token">): void {
    const { state } = step;
    const token = toId<WriterToken>(`${state.settings.incarnation}.${generateRequestId(step)}`);
    const record: OwnershipRecord = { ...content, token };
    const expected = state.known?.revision;
    state.pending = [...state.pending, {
        record,
        expected,
        sentAt: step.now,
        isAnswered: false,
        checkedAt: undefined,
    }];
    state.lastWriteAt = step.now;
    step.actions.push({ kind: "writeRecord", record, expected });
}

/** Returns whether the outcome of an earlier write must be read before another write is sent. */
export function hasUnresolvedWrite(state: OwnershipState): boolean {
    return state.pending.some(write => write.checkedAt === undefined);
}
