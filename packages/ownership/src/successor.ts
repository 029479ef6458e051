/**
 * The answers of a successor to requests of the owner and of third hosts.
 */
import type { ArmRequest, ArmStatus, DisarmRequest, IdentifyRequest, ReleaseRequest } from "./messages.js";
import { extendForClockDrift } from "./step.js";
import type { Step } from "./step.js";
import type { OwnershipState } from "./types.js";

/** Consents to an arm request if possible, and answers whether this process is armed or solo. */
export function replyToArm(step: Step, request: ArmRequest): void {
    dropEarlierEpochs(step, request.epoch);
    const status = decideArmStatus(step, request);
    const { state } = step;
    if (status === "consented") {
        const echo = state.recentHeartbeats.find(sent => sent.number === request.echo);
        state.successor = {
            ...state.successor,
            lastConsentAt: step.now,
            armed: {
                epoch: request.epoch,
                ownerIncarnation: request.ownerIncarnation,
                anchorAt: computeAnchor(step, request, echo?.sentAt ?? -Infinity),
                expiredSeenAt: undefined,
            },
        };
    }
    else if (status === "notArmed") {
        recordDisarm(step, request);
    }
    const { epoch, sequence } = request;
    step.actions.push({ kind: "replyArm", answer: { epoch, sequence, status } });
}

/** Drops the armed and the solo state on request of the owner, unless a takeover write may still take effect. */
export function replyToDisarm(step: Step, request: DisarmRequest): void {
    dropEarlierEpochs(step, request.epoch);
    const { state } = step;
    const { epoch, sequence } = request;
    // A takeover write that was sent while solo may still replace the record on which the owner relies.
    const isDisarmed = !isAddressedToThisProcess(step, request)
        || state.successor.soloTakeoverRevision < request.revision;
    if (isDisarmed) {
        const { armed, solo } = state.successor;
        state.successor = {
            ...state.successor,
            armed: armed !== undefined && armed.epoch <= epoch ? undefined : armed,
            solo: solo !== undefined && solo.epoch <= epoch ? undefined : solo,
        };
        recordDisarm(step, request);
    }
    step.actions.push({ kind: "replyDisarm", answer: { epoch, sequence, isDisarmed } });
}

/** Gives a release unless this process may place or go solo, or a consent from this host may still be valid. */
export function replyToRelease(step: Step, request: ReleaseRequest): void {
    const { state, now, timings } = step;
    const { successor } = state;
    const consentWaitMs = extendForClockDrift(timings, timings.consentMs);
    // An earlier incarnation may have consented just before it ended.
    const isConsentOver = now > Math.max(successor.lastConsentAt ?? -Infinity, state.startedAt) + consentWaitMs;
    const isReleased = successor.solo === undefined && successor.armed === undefined && state.owner === undefined
        && isConsentOver;
    if (isReleased) {
        const releasedRevision = Math.max(successor.releasedRevision, request.revision);
        state.successor = { ...successor, releasedRevision };
    }
    const { requestId, revision } = request;
    step.actions.push({ kind: "replyRelease", answer: { requestId, revision, isReleased } });
}

/** Answers with the incarnation of this process. */
export function replyToIdentify(step: Step, request: IdentifyRequest): void {
    const { incarnation } = step.state.settings;
    step.actions.push({ kind: "replyIdentify", answer: { requestId: request.requestId, incarnation } });
}

/** Drops what this process holds of earlier epochs: they have ended, because an owner of this epoch exists. */
function dropEarlierEpochs(step: Step, epoch: number): void {
    const { state } = step;
    const { armed, solo } = state.successor;
    if (state.owner !== undefined && state.owner.epoch < epoch) {
        state.owner = undefined;
    }
    state.successor = {
        ...state.successor,
        armed: armed !== undefined && armed.epoch < epoch ? undefined : armed,
        solo: solo !== undefined && solo.epoch < epoch ? undefined : solo,
    };
}

function decideArmStatus(step: Step, request: ArmRequest): ArmStatus {
    const { successor } = step.state;
    if (!isAddressedToThisProcess(step, request)) {
        return "notArmed";
    }
    if (successor.solo !== undefined) {
        return "solo";
    }
    if (canConsent(step, request)) {
        return "consented";
    }
    const isArmed = successor.armed?.epoch === request.epoch;
    // The owner must not return to store mode while a takeover write that was sent while solo may still take effect.
    return isArmed || successor.soloTakeoverRevision >= request.revision ? "armed" : "notArmed";
}

function canConsent(step: Step, request: ArmRequest): boolean {
    const { state, now, timings } = step;
    const { successor, known } = state;
    const echo = state.recentHeartbeats.find(sent => sent.number === request.echo);
    if (echo === undefined || now >= echo.sentAt + timings.armFreshMs) {
        return false;
    }
    const { disarmed } = successor;
    const isDisarmed = disarmed !== undefined
        && (disarmed.epoch > request.epoch
            || disarmed.epoch === request.epoch && disarmed.sequence >= request.sequence);
    const promisedRevision = Math.max(successor.releasedRevision, successor.takeoverRevision);
    return !isDisarmed
        && state.owner === undefined
        && request.revision > promisedRevision
        && (known === undefined || known.record.epoch <= request.epoch)
        && isStillSuccessor(state, request)
        && now < computeAnchor(step, request, echo.sentAt) + timings.pairBoundMs;
}

function isStillSuccessor(state: OwnershipState, request: ArmRequest): boolean {
    const { known } = state;
    return known === undefined || known.revision <= request.revision
        || known.record.successorIncarnation === state.settings.incarnation;
}

function isAddressedToThisProcess(step: Step, request: ArmRequest | DisarmRequest): boolean {
    return request.successorIncarnation === step.state.settings.incarnation;
}

/** Returns a lower bound of when the owner sent its last renewal: the echoed heartbeat was sent before the request. */
function computeAnchor(step: Step, request: ArmRequest, echoSentAt: number): number {
    return echoSentAt - extendForClockDrift(step.timings, request.sinceRenewalMs);
}

/** Records that no request up to this one can arm this process any more. */
function recordDisarm(step: Step, request: ArmRequest | DisarmRequest): void {
    const { disarmed } = step.state.successor;
    const { epoch, sequence } = request;
    const isLater = disarmed === undefined || epoch > disarmed.epoch
        || epoch === disarmed.epoch && sequence > disarmed.sequence;
    if (isLater) {
        step.state.successor = { ...step.state.successor, disarmed: { epoch, sequence } };
    }
}
