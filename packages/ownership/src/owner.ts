/**
 * What the owner does: renew, choose the successor, work by consents without the store, and hand over.
 */
import type { IncarnationId } from "@waxwingroute/core";
import { match } from "ts-pattern";
import type { ArmAnswer, DisarmAnswer, IdentifyAnswer } from "./messages.js";
import { extendForClockDrift, generateRequestId, hasUnresolvedWrite, sendWrite } from "./step.js";
import type { Step } from "./step.js";
import type { KnownRecord, OwnerState, PeerHeartbeat } from "./types.js";

/** Renews the record and sends the requests of consent mode when due, if the record names this process as owner. */
export function runOwnerRole(step: Step): void {
    const { owner, known } = step.state;
    if (owner === undefined || known === undefined) {
        return;
    }
    renewIfDue(step, owner, known);
    if (!owner.isHandingOver && owner.renewedAt !== undefined) {
        runConsentMode(step, known, owner.renewedAt);
    }
}

/**
 * Gives up the right and begins to write the successor as the new owner, unless no successor is alive. Does nothing in
 * consent mode: an armed successor that has not learned of the new record could still go solo in the old epoch.
 */
export function beginHandover(step: Step): void {
    const { owner, known } = step.state;
    if (owner?.basis === "store" && known !== undefined && isSuccessorAlive(step, known)) {
        step.state.owner = { ...owner, isHandingOver: true };
        step.state.lastWriteAt = -Infinity;
    }
}

/** Returns to store mode on the operator's statement that the successor has ended. */
export function applyForceReleaseAsOwner(step: Step): void {
    if (step.state.owner?.basis === "consent") {
        returnToStoreMode(step, step.state.owner);
    }
}

/** Extends the right by a consent, or returns to store mode when the successor is not armed. */
export function applyArmAnswer(step: Step, answer: ArmAnswer): void {
    const { owner } = step.state;
    if (owner === undefined || owner.basis !== "consent" || owner.epoch !== answer.epoch) {
        return;
    }
    match(answer.status)
        .with("consented", () => {
            const sentAt = owner.arms.find(arm => arm.sequence === answer.sequence)?.sentAt;
            if (sentAt !== undefined) {
                const consentSentAt = Math.max(sentAt, owner.consentSentAt ?? -Infinity);
                step.state.owner = { ...owner, consentSentAt };
            }
        })
        .with("notArmed", () => {
            // A later arm request can still arm the successor, so only the answer to the last one counts.
            if (answer.sequence >= getLastArmSequence(owner)) {
                returnToStoreMode(step, owner);
            }
        })
        .with("armed", "solo", () => {})
        .exhaustive();
}

/** Returns to store mode when the successor has disarmed after the last arm request. */
export function applyDisarmAnswer(step: Step, answer: DisarmAnswer): void {
    const { owner } = step.state;
    const isCurrent = owner !== undefined && owner.basis === "consent" && owner.epoch === answer.epoch;
    if (isCurrent && answer.isDisarmed && answer.sequence > getLastArmSequence(owner)) {
        returnToStoreMode(step, owner);
    }
}

/** Returns to store mode when another incarnation on the successor's address proves that the armed one has ended. */
export function applyIdentifyAnswer(step: Step, answer: IdentifyAnswer): void {
    const { owner, known } = step.state;
    const isForLastRequest = owner?.basis === "consent" && owner.identify?.requestId === answer.requestId;
    if (isForLastRequest && answer.incarnation !== known?.record.successorIncarnation) {
        returnToStoreMode(step, owner);
    }
}

/** Renews the record or, during a handover, writes the successor as the new owner. */
function renewIfDue(step: Step, owner: OwnerState, known: KnownRecord): void {
    const { state, now, timings } = step;
    if (hasUnresolvedWrite(state) || now < state.lastWriteAt + timings.renewIntervalMs) {
        return;
    }
    const { record } = known;
    if (!owner.isHandingOver) {
        sendWrite(step, { ...record, ...chooseSuccessor(step, owner, known), renewal: record.renewal + 1 });
    }
    else if (record.successor !== undefined && record.successorIncarnation !== undefined) {
        sendWrite(step, {
            epoch: record.epoch + 1,
            owner: record.successor,
            ownerIncarnation: record.successorIncarnation,
            successor: undefined,
            successorIncarnation: undefined,
            renewal: 0,
        });
    }
}

interface SuccessorChoice {
    readonly successor: KnownRecord["record"]["successor"];
    readonly successorIncarnation: KnownRecord["record"]["successorIncarnation"];
}

/** Keeps a successor that is alive or may be armed; else chooses the first host that is alive, in configured order. */
function chooseSuccessor(step: Step, owner: OwnerState, known: KnownRecord): SuccessorChoice {
    const { settings, peers } = step.state;
    const { successor, successorIncarnation } = known.record;
    if (owner.basis === "consent" || isSuccessorAlive(step, known)) {
        return { successor, successorIncarnation };
    }
    const chosen = settings.hosts.find(host => host !== settings.self && isPeerAlive(step, peers[host]));
    return chosen === undefined
        ? { successor, successorIncarnation }
        : { successor: chosen, successorIncarnation: peers[chosen]?.incarnation };
}

function isPeerAlive(step: Step, peer: PeerHeartbeat | undefined): boolean {
    return peer !== undefined && step.now < peer.heardAt + step.timings.storeRightMs;
}

function isSuccessorAlive(step: Step, known: KnownRecord): boolean {
    const { successor, successorIncarnation } = known.record;
    const peer = successor === undefined ? undefined : step.state.peers[successor];
    return peer?.incarnation === successorIncarnation && isPeerAlive(step, peer);
}

/**
 * Enters consent mode when a renewal is overdue. In consent mode, sends arm requests to extend the right, disarm
 * requests once renewals succeed again, and identify requests while there is no valid consent.
 */
function runConsentMode(step: Step, known: KnownRecord, renewedAt: number): void {
    const { state, now, timings } = step;
    const isRenewalOverdue = now >= renewedAt + 2 * timings.renewIntervalMs;
    if (state.owner?.basis === "store") {
        if (isRenewalOverdue) {
            sendArmIfPossible(step, known, renewedAt);
        }
        return;
    }
    const lastArmAt = state.owner?.arms.at(-1)?.sentAt ?? -Infinity;
    if (now >= lastArmAt + extendForClockDrift(timings, timings.pairBoundMs)) {
        // The pair bound has passed on the successor's clock too, so that it can no longer be solo.
        returnToStoreMode(step, state.owner as OwnerState);
        return;
    }
    if (now >= lastArmAt + timings.heartbeatMs) {
        sendArmIfPossible(step, known, renewedAt);
    }
    if (!isRenewalOverdue) {
        sendDisarmIfDue(step, known);
    }
    sendIdentifyIfDue(step, known);
}

/** Sends an arm request if the successor sent a heartbeat recently and the pair bound is not over. */
function sendArmIfPossible(step: Step, known: KnownRecord, renewedAt: number): void {
    const { state, now, timings } = step;
    const { successor, successorIncarnation } = known.record;
    const peer = successor === undefined ? undefined : state.peers[successor];
    const isHeartbeatFresh = peer !== undefined && peer.incarnation === successorIncarnation
        && now < peer.heardAt + timings.armFreshMs;
    // While a write that changes the successor has no answer, the record may already name the new one.
    const isSuccessorChanging = state.pending.some(write => write.record.successorIncarnation !== successorIncarnation);
    const { owner } = state;
    if (
        owner === undefined || successor === undefined || successorIncarnation === undefined || !isHeartbeatFresh
        || isSuccessorChanging
        || now >= renewedAt + timings.pairBoundMs
    ) {
        return;
    }
    const sequence = owner.sequence + 1;
    const recentArms = owner.arms.filter(arm => now < arm.sentAt + timings.consentMs);
    const isFirstArm = owner.basis === "store";
    state.owner = {
        ...owner,
        basis: "consent",
        sequence,
        arms: [...recentArms, { sequence, sentAt: now }],
        consentSentAt: isFirstArm ? undefined : owner.consentSentAt,
        heldUntil: isFirstArm ? renewedAt + timings.storeRightMs : owner.heldUntil,
        identify: isFirstArm ? undefined : owner.identify,
    };
    step.actions.push({
        kind: "sendArm",
        to: successor,
        request: {
            ...buildRequestHeader(step, owner, successorIncarnation),
            sequence,
            revision: known.revision,
            echo: peer.number,
            sinceRenewalMs: now - renewedAt,
        },
    });
}

/** Sends a disarm request half a period after an arm request, so that its answer can arrive before the next one. */
function sendDisarmIfDue(step: Step, known: KnownRecord): void {
    const { state, now, timings } = step;
    const { owner } = state;
    const { successor, successorIncarnation } = known.record;
    const lastArmAt = owner?.arms.at(-1)?.sentAt ?? -Infinity;
    const isDue = owner !== undefined && now >= owner.lastDisarmAt + timings.heartbeatMs
        && now >= lastArmAt + timings.heartbeatMs / 2;
    if (!isDue || successor === undefined || successorIncarnation === undefined) {
        return;
    }
    const sequence = owner.sequence + 1;
    state.owner = { ...owner, sequence, lastDisarmAt: now };
    step.actions.push({
        kind: "sendDisarm",
        to: successor,
        request: { ...buildRequestHeader(step, owner, successorIncarnation), sequence, revision: known.revision },
    });
}

/** Without a valid consent, asks which process now runs on the successor's address. */
function sendIdentifyIfDue(step: Step, known: KnownRecord): void {
    const { state, now, timings } = step;
    const { owner } = state;
    const { successor } = known.record;
    const hasConsent = owner?.consentSentAt !== undefined && now < owner.consentSentAt + timings.consentMs;
    const isIdentifyPending = owner?.identify !== undefined && now < owner.identify.sentAt + timings.renewIntervalMs;
    if (owner === undefined || successor === undefined || hasConsent || isIdentifyPending) {
        return;
    }
    const requestId = generateRequestId(step);
    state.owner = { ...owner, identify: { requestId, sentAt: now } };
    step.actions.push({ kind: "sendIdentify", to: successor, request: { from: state.settings.self, requestId } });
}

function returnToStoreMode(step: Step, owner: OwnerState): void {
    step.state.owner = {
        ...owner,
        basis: "store",
        consentSentAt: undefined,
        heldUntil: -Infinity,
        identify: undefined,
    };
}

function getLastArmSequence(owner: OwnerState): number {
    return owner.arms.at(-1)?.sequence ?? 0;
}

function buildRequestHeader(step: Step, owner: OwnerState, successorIncarnation: IncarnationId) {
    const { self, incarnation } = step.state.settings;
    return { from: self, ownerIncarnation: incarnation, successorIncarnation, epoch: owner.epoch };
}
