/**
 * The right to place work: how long it lasts, and when it is gained and lost.
 */
import { extendForClockDrift } from "./step.js";
import type { Step } from "./step.js";
import type { OwnershipState, RightBasis } from "./types.js";

/**
 * Returns whether this host may place at `now`. Callers check it after each decision and immediately before each send.
 *
 * @param now - Milliseconds of the clock that drives the state machine.
 */
export function canPlace(state: OwnershipState, now: number): boolean {
    return state.right !== undefined && !state.right.isRecovering && now < computeRightEnd(state);
}

/** Returns when the current right ends unless it is renewed; minus infinity without a right. */
export function computeRightEnd(state: OwnershipState): number {
    const { timings } = state.settings;
    if (state.successor.solo !== undefined) {
        return Math.min(state.successor.solo.until, computePendingWriteLimit(state));
    }
    const { owner } = state;
    if (owner === undefined || owner.renewedAt === undefined || owner.isHandingOver) {
        return -Infinity;
    }
    if (owner.basis === "store") {
        return owner.renewedAt + timings.storeRightMs;
    }
    return owner.consentSentAt === undefined
        ? -Infinity
        : Math.min(owner.consentSentAt + timings.consentMs, owner.renewedAt + timings.pairBoundMs);
}

/**
 * Returns until when this host can be solo while the outcome of its own takeover write is unknown, or infinity without
 * such a write. Once it takes effect, others may replace its record after `storeRightMs` without asking this host.
 */
export function computePendingWriteLimit(state: OwnershipState): number {
    const { storeRightMs } = state.settings.timings;
    return Math.min(...state.pending.map(write => (write.checkedAt ?? write.sentAt) + storeRightMs), Infinity);
}

/** Ends a right that has expired. Runs before the event is applied, so that a late answer does not hide the expiry. */
export function expireRight(step: Step): void {
    if (step.state.right !== undefined && step.now >= computeExclusivityEnd(step.state)) {
        endRight(step);
    }
}

/** Ends or begins a right as the state after an event requires. A change of epoch ends one right and begins another. */
export function updateRight(step: Step): void {
    const { state } = step;
    const isExclusive = step.now < computeExclusivityEnd(state);
    const epoch = state.successor.solo?.epoch ?? state.owner?.epoch;
    if (state.right !== undefined && (!isExclusive || state.right.epoch !== epoch)) {
        endRight(step);
    }
    if (state.right === undefined && epoch !== undefined && step.now < computeRightEnd(state)) {
        beginRight(step, epoch);
    }
}

/**
 * Returns until when no other host can have gained a right. Between the first arm request and its consent this is later
 * than the end of the right itself, so that the change to consent mode does not count as a loss of the right.
 */
function computeExclusivityEnd(state: OwnershipState): number {
    const { owner } = state;
    const isInConsentMode = owner !== undefined && owner.basis === "consent" && !owner.isHandingOver
        && state.successor.solo === undefined;
    return Math.max(computeRightEnd(state), isInConsentMode ? owner.heldUntil : -Infinity);
}

function beginRight(step: Step, epoch: number): void {
    const { state, timings } = step;
    const basis: RightBasis = state.successor.solo !== undefined ? "solo" : state.owner?.basis ?? "store";
    // The earlier holder's right has ended before this one is granted, but its last starts can still be in flight.
    const waitMs = extendForClockDrift(timings, timings.startInFlightMs);
    state.generation++;
    state.right = {
        generation: state.generation,
        epoch,
        isRecovering: true,
        recoveryNotBefore: step.now + waitMs,
    };
    step.actions.push({ kind: "rightGained", generation: state.generation, epoch, basis, waitMs });
}

function endRight(step: Step): void {
    const { state } = step;
    if (state.right !== undefined) {
        step.actions.push({ kind: "rightLost", generation: state.right.generation });
        state.right = undefined;
    }
}
