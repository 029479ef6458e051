/**
 * What a host that is not the owner does: go solo, take over through the store, create the first record.
 */
import type { ReleaseAnswer } from "./messages.js";
import { computePendingWriteLimit } from "./right.js";
import { extendForClockDrift, generateRequestId, hasUnresolvedWrite, sendWrite } from "./step.js";
import type { Step } from "./step.js";
import type { KnownRecord } from "./types.js";

/** Goes solo, takes over or creates the first record when due, if the record does not name this process as owner. */
export function runStandbyRole(step: Step): void {
    const { state } = step;
    if (state.owner !== undefined) {
        return;
    }
    updateSoloState(step);
    if (hasUnresolvedWrite(state) || step.now < state.lastWriteAt + step.timings.renewIntervalMs) {
        return;
    }
    if (state.known !== undefined) {
        takeOverIfAllowed(step, state.known);
    }
    else {
        createFirstRecordIfDue(step);
    }
}

/** Records that the successor has given the release that was requested last. */
export function applyReleaseAnswer(step: Step, answer: ReleaseAnswer): void {
    const { release } = step.state;
    if (answer.isReleased && release !== undefined && release.revision === answer.revision) {
        step.state.release = { ...release, isGiven: true };
    }
}

/** Records the operator's statement that the processes of the owner and the successor have ended. */
export function applyForceReleaseAsStandby(step: Step): void {
    step.state.forcedRevision = step.state.known?.revision;
}

/** Goes solo when the last consent has expired, and ends the solo state at the pair bound. */
function updateSoloState(step: Step): void {
    const { state, now, timings } = step;
    const { armed, solo, lastConsentAt } = state.successor;
    const soloEnd = armed === undefined ? -Infinity : armed.anchorAt + timings.pairBoundMs;
    if (solo !== undefined && now >= solo.until) {
        state.successor = { ...state.successor, solo: undefined, armed: undefined };
        return;
    }
    const hasConsentExpired = lastConsentAt === undefined
        || now > lastConsentAt + extendForClockDrift(timings, timings.consentMs);
    if (armed === undefined || solo !== undefined || !hasConsentExpired) {
        return;
    }
    if (now >= soloEnd) {
        state.successor = { ...state.successor, armed: undefined };
    }
    else if (armed.expiredSeenAt === undefined) {
        state.successor = { ...state.successor, armed: { ...armed, expiredSeenAt: now } };
    }
    else if (now >= armed.expiredSeenAt + timings.heartbeatMs && now < computePendingWriteLimit(state)) {
        // The extra heartbeat period lets this process first answer requests that arrived while it was paused.
        state.successor = { ...state.successor, solo: { epoch: armed.epoch, until: soloEnd } };
    }
}

function takeOverIfAllowed(step: Step, known: KnownRecord): void {
    const { state, now, timings } = step;
    const { successor } = state;
    // Writes only after a recent successful read, because an unanswered write would keep this host from going or
    // staying solo, see `computePendingWriteLimit`.
    if (now >= state.confirmedAt + timings.renewIntervalMs) {
        return;
    }
    if (successor.solo !== undefined) {
        if (successor.solo.epoch === known.record.epoch) {
            state.successor = { ...successor, soloTakeoverRevision: known.revision };
            writeTakeover(step, known);
        }
        return;
    }
    const unchangedMs = now - known.observedAt;
    const consentEnd = Math.max(successor.lastConsentAt ?? -Infinity, state.startedAt)
        + extendForClockDrift(timings, timings.consentMs);
    if (unchangedMs <= extendForClockDrift(timings, timings.storeRightMs) || now <= consentEnd) {
        return;
    }
    if (isNamedSuccessor(step, known) || isSuccessorFenced(step, known, unchangedMs)) {
        writeTakeover(step, known);
    }
    else {
        requestReleaseIfDue(step, known, unchangedMs);
    }
}

/** Whether the record names this process or an earlier one on this host as successor, so that no other can go solo. */
function isNamedSuccessor(step: Step, known: KnownRecord): boolean {
    return known.record.successor === step.state.settings.self;
}

/** Whether the successor, if any, can no longer consent or go solo on the basis of the record. */
function isSuccessorFenced(step: Step, known: KnownRecord, unchangedMs: number): boolean {
    const { state, timings } = step;
    const isPairBoundOver = unchangedMs > extendForClockDrift(timings, timings.pairBoundMs);
    const isForced = state.forcedRevision === known.revision;
    const isReleaseGiven = state.release?.isGiven === true && state.release.revision === known.revision;
    const hasNoSuccessor = known.record.successor === undefined && unchangedMs > computeTakeoverDelayMs(step);
    return isPairBoundOver || isForced || isReleaseGiven || hasNoSuccessor;
}

function requestReleaseIfDue(step: Step, known: KnownRecord, unchangedMs: number): void {
    const { state, now, timings } = step;
    const { successor } = known.record;
    const isRequestPending = state.release !== undefined && now < state.release.requestedAt + timings.renewIntervalMs;
    // The successor can take over without a release, so other hosts wait longer before they ask for one.
    if (successor === undefined || isRequestPending || unchangedMs <= computeTakeoverDelayMs(step)) {
        return;
    }
    const requestId = generateRequestId(step);
    state.release = { revision: known.revision, isGiven: false, requestedAt: now };
    step.actions.push({
        kind: "sendRelease",
        to: successor,
        request: { from: state.settings.self, requestId, revision: known.revision },
    });
}

/** Returns for how long the record must be unchanged; it differs between hosts, so that they rarely compete. */
function computeTakeoverDelayMs(step: Step): number {
    const { hosts, self } = step.state.settings;
    return extendForClockDrift(step.timings, step.timings.storeRightMs)
        + (1 + hosts.indexOf(self)) * step.timings.renewIntervalMs / 2;
}

function writeTakeover(step: Step, known: KnownRecord): void {
    const { state } = step;
    state.successor = {
        ...state.successor,
        takeoverRevision: Math.max(state.successor.takeoverRevision, known.revision),
    };
    writeRecordAsOwner(step, known.record.epoch + 1);
}

/** Hosts wait one renewal period longer each in the configured order, so that they rarely compete. */
function createFirstRecordIfDue(step: Step): void {
    const { absentSince, settings } = step.state;
    const hostIndex = settings.hosts.indexOf(settings.self);
    if (absentSince !== undefined && step.now >= absentSince + hostIndex * step.timings.renewIntervalMs) {
        writeRecordAsOwner(step, 1);
    }
}

function writeRecordAsOwner(step: Step, epoch: number): void {
    const { self, incarnation } = step.state.settings;
    sendWrite(step, {
        epoch,
        owner: self,
        ownerIncarnation: incarnation,
        successor: undefined,
        successorIncarnation: undefined,
        renewal: 0,
    });
}
