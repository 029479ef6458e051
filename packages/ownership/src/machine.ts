/**
 * The ownership state machine of one shard on one host. It is pure: the same state, event and time give the same
 * result.
 */
import { match } from "ts-pattern";
import type { Heartbeat } from "./messages.js";
import {
    applyArmAnswer,
    applyDisarmAnswer,
    applyForceReleaseAsOwner,
    applyIdentifyAnswer,
    beginHandover,
    runOwnerRole,
} from "./owner.js";
import { updateKnownRecord } from "./record.js";
import { expireRight, updateRight } from "./right.js";
import { extendForClockDrift, generateRequestId, hasUnresolvedWrite } from "./step.js";
import type { Step } from "./step.js";
import { replyToArm, replyToDisarm, replyToIdentify, replyToRelease } from "./successor.js";
import { applyForceReleaseAsStandby, applyReleaseAnswer, runStandbyRole } from "./takeover.js";
import type {
    OwnershipAction,
    OwnershipEvent,
    OwnershipSettings,
    OwnershipState,
    RecordReadResult,
    WriteResult,
} from "./types.js";

/** Creates the state of a process that has just started and has bound its configured address. */
export function createOwnershipState(settings: OwnershipSettings, now: number): OwnershipState {
    return {
        settings,
        startedAt: now,
        known: undefined,
        absentSince: undefined,
        read: undefined,
        lastReadAt: -Infinity,
        confirmedAt: -Infinity,
        lastWriteAt: -Infinity,
        requestSequence: 0,
        pending: [],
        owner: undefined,
        successor: {
            lastConsentAt: undefined,
            armed: undefined,
            solo: undefined,
            disarmed: undefined,
            releasedRevision: 0,
            takeoverRevision: 0,
            soloTakeoverRevision: 0,
        },
        peers: {},
        ownerHeardAt: -Infinity,
        heartbeatNumber: 0,
        lastHeartbeatAt: -Infinity,
        recentHeartbeats: [],
        release: undefined,
        forcedRevision: undefined,
        right: undefined,
        generation: 0,
    };
}

/**
 * Applies one event and returns the new state and the actions to perform. Each event also triggers whatever has become
 * due by `now`, so that a late tick delays nothing while other events arrive.
 *
 * @param now - Milliseconds of this host's monotonic clock, not lower than in earlier calls.
 */
export function applyOwnershipEvent(
    state: OwnershipState,
    event: OwnershipEvent,
    now: number,
): { readonly state: OwnershipState; readonly actions: readonly OwnershipAction[]; } {
    const step: Step = { state: { ...state }, actions: [], now, timings: state.settings.timings };
    expireRight(step);
    applyEvent(step, event);
    sendHeartbeatsIfDue(step);
    readRecordIfDue(step);
    runOwnerRole(step);
    runStandbyRole(step);
    updateRight(step);
    return { state: step.state, actions: step.actions };
}

function applyEvent(step: Step, event: OwnershipEvent): void {
    match(event)
        .with({ kind: "tick" }, () => {})
        .with({ kind: "recordRead" }, ({ requestId, result }) => applyReadResult(step, requestId, result))
        .with({ kind: "writeAnswered" }, ({ token, result }) => applyWriteResult(step, token, result))
        .with({ kind: "heartbeatReceived" }, ({ heartbeat }) => applyHeartbeat(step, heartbeat))
        .with({ kind: "armRequested" }, ({ request }) => replyToArm(step, request))
        .with({ kind: "armAnswered" }, ({ answer }) => applyArmAnswer(step, answer))
        .with({ kind: "disarmRequested" }, ({ request }) => replyToDisarm(step, request))
        .with({ kind: "disarmAnswered" }, ({ answer }) => applyDisarmAnswer(step, answer))
        .with({ kind: "releaseRequested" }, ({ request }) => replyToRelease(step, request))
        .with({ kind: "releaseAnswered" }, ({ answer }) => applyReleaseAnswer(step, answer))
        .with({ kind: "identifyRequested" }, ({ request }) => replyToIdentify(step, request))
        .with({ kind: "identifyAnswered" }, ({ answer }) => applyIdentifyAnswer(step, answer))
        .with({ kind: "recoveryCompleted" }, ({ generation }) => completeRecovery(step, generation))
        .with({ kind: "handOver" }, () => beginHandover(step))
        .with({ kind: "forceRelease" }, () => {
            applyForceReleaseAsOwner(step);
            applyForceReleaseAsStandby(step);
        })
        .exhaustive();
}

function applyReadResult(step: Step, requestId: number, result: RecordReadResult): void {
    const { state } = step;
    const sentAt = state.read?.requestId === requestId ? state.read.sentAt : undefined;
    if (sentAt !== undefined) {
        state.read = undefined;
    }
    const isConclusive = match(result)
        .with({ kind: "found" }, ({ record, revision }) => {
            updateKnownRecord(step, record, revision);
            return true;
        })
        .with({ kind: "absent" }, () => {
            // The store is faulty if a known record disappears. Creating the record again would reuse epochs.
            state.absentSince = state.known === undefined ? state.absentSince ?? step.now : undefined;
            return state.known === undefined;
        })
        .with({ kind: "unreadable" }, { kind: "failed" }, () => false)
        .exhaustive();
    if (isConclusive && sentAt !== undefined) {
        state.confirmedAt = sentAt;
        state.pending = state.pending.map(write => {
            const isOutcomeChecked = write.sentAt < sentAt && needsOutcomeCheck(step, write.sentAt, write.isAnswered);
            return isOutcomeChecked ? { ...write, checkedAt: sentAt } : write;
        });
    }
}

function applyWriteResult(step: Step, token: string, result: WriteResult): void {
    const { state } = step;
    const write = state.pending.find(pending => pending.record.token === token);
    if (write === undefined) {
        return;
    }
    match(result)
        .with({ kind: "written" }, ({ revision }) => updateKnownRecord(step, write.record, revision))
        .with({ kind: "conflict" }, () => {
            state.pending = state.pending.filter(pending => pending !== write);
            state.lastReadAt = -Infinity;
            state.read = undefined;
            readRecord(step);
        })
        .with({ kind: "notSent" }, () => {
            state.pending = state.pending.filter(pending => pending !== write);
        })
        .with({ kind: "unknown" }, () => {
            state.pending = state.pending.map(pending => pending === write ? { ...write, isAnswered: true } : pending);
        })
        .exhaustive();
}

function applyHeartbeat(step: Step, heartbeat: Heartbeat): void {
    const { state, now } = step;
    const { from, incarnation, number, confirmed } = heartbeat;
    const previous = state.peers[from];
    const isOutdated = previous?.incarnation === incarnation && previous.number >= number;
    if (!isOutdated) {
        state.peers = { ...state.peers, [from]: { incarnation, number, heardAt: now } };
    }
    if (confirmed !== undefined) {
        updateKnownRecord(step, confirmed.record, confirmed.revision);
    }
    if (state.known?.record.owner === from && state.known.record.ownerIncarnation === incarnation) {
        state.ownerHeardAt = now;
    }
}

function completeRecovery(step: Step, generation: number): void {
    const { right } = step.state;
    if (right !== undefined && right.generation === generation && step.now >= right.recoveryNotBefore) {
        step.state.right = { ...right, isRecovering: false };
    }
}

/** The owner sends heartbeats to all hosts, and the others only to the owner, or to all while they know of no owner. */
function sendHeartbeatsIfDue(step: Step): void {
    const { state, now, timings } = step;
    if (now < state.lastHeartbeatAt + timings.heartbeatMs) {
        return;
    }
    const { self, incarnation, hosts } = state.settings;
    state.heartbeatNumber++;
    state.lastHeartbeatAt = now;
    state.recentHeartbeats = [
        ...state.recentHeartbeats.filter(sent => now < sent.sentAt + timings.armFreshMs),
        { number: state.heartbeatNumber, sentAt: now },
    ];
    const confirmed = state.known === undefined
        ? undefined
        : { record: state.known.record, revision: state.known.revision };
    const heartbeat: Heartbeat = { from: self, incarnation, number: state.heartbeatNumber, confirmed };
    const owner = state.known?.record.owner;
    for (const to of hosts) {
        if (to !== self && (state.owner !== undefined || owner === undefined || owner === to)) {
            step.actions.push({ kind: "sendHeartbeat", to, heartbeat });
        }
    }
}

/**
 * Reads the record every `renewIntervalMs` while its content, the owner's liveness or the outcome of a write is in
 * doubt, and every `observeIntervalMs` otherwise.
 */
function readRecordIfDue(step: Step): void {
    const { state, now, timings } = step;
    const isOutcomeCheckDue = hasUnresolvedWrite(state)
        && state.pending.some(write => needsOutcomeCheck(step, write.sentAt, write.isAnswered));
    const isOwnerSilent = state.owner === undefined && now >= state.ownerHeardAt + 3 * timings.heartbeatMs;
    const storeRightMs = extendForClockDrift(timings, timings.storeRightMs);
    const isRecordExpired = state.owner === undefined && now >= (state.known?.observedAt ?? now) + storeRightMs;
    const isInDoubt = state.known === undefined || isOutcomeCheckDue || isOwnerSilent || isRecordExpired;
    const intervalMs = isInDoubt ? timings.renewIntervalMs : timings.observeIntervalMs;
    if (now >= state.lastReadAt + intervalMs) {
        readRecord(step);
    }
}

function readRecord(step: Step): void {
    const requestId = generateRequestId(step);
    step.state.read = { requestId, sentAt: step.now };
    step.state.lastReadAt = step.now;
    step.actions.push({ kind: "readRecord", requestId });
}

/** Whether a read must show the outcome of a write, because its call ended without one or takes too long. */
function needsOutcomeCheck(step: Step, sentAt: number, isAnswered: boolean): boolean {
    return isAnswered || step.now >= sentAt + step.timings.renewIntervalMs;
}
