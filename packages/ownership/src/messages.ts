/**
 * The ownership record in the store and the messages between the entry hosts of a zone.
 */
import type { HostId, IncarnationId, WriterToken } from "@waxwingroute/core";

/** The ownership record of a shard in the store. */
export interface OwnershipRecord {
    /** Incremented by each change of owner. */
    readonly epoch: number;
    readonly owner: HostId;
    readonly ownerIncarnation: IncarnationId;
    readonly successor: HostId | undefined;
    readonly successorIncarnation: IncarnationId | undefined;
    /** Incremented by each renewal; starts from 0 in each epoch. */
    readonly renewal: number;
    /** Unique per write, so that a read shows whether a write with an unknown outcome took effect. */
    readonly token: WriterToken;
}

/** Periodic message that shows that its sender is alive and carries the newest stored record that it knows of. */
export interface Heartbeat {
    readonly from: HostId;
    readonly incarnation: IncarnationId;
    /** Rises with each heartbeat of an incarnation. */
    readonly number: number;
    readonly confirmed: { readonly record: OwnershipRecord; readonly revision: number; } | undefined;
}

/** Request of the owner to its successor to become armed and to consent for `consentMs`. */
export interface ArmRequest {
    readonly from: HostId;
    readonly ownerIncarnation: IncarnationId;
    readonly successorIncarnation: IncarnationId;
    readonly epoch: number;
    /** Orders arm and disarm requests of one epoch. */
    readonly sequence: number;
    /** Revision of the record on which the request is based. */
    readonly revision: number;
    /** Number of a recent heartbeat of the successor. */
    readonly echo: number;
    /** Age of the last confirmed renewal by the owner's clock, in ms. */
    readonly sinceRenewalMs: number;
}

/**
 * State of the successor after an arm request:
 *
 * - `consented`: armed, with consent.
 * - `armed`: no consent, but armed by an earlier request.
 * - `notArmed`: not armed, and no request up to this sequence will arm it.
 * - `solo`: the successor has taken over.
 */
export type ArmStatus = "consented" | "armed" | "notArmed" | "solo";

/** Answer to an `ArmRequest`; repeats its epoch and sequence. */
export interface ArmAnswer {
    readonly epoch: number;
    readonly sequence: number;
    readonly status: ArmStatus;
}

/** Request of the owner to its successor to cancel all earlier arm requests, so that it cannot go solo. */
export interface DisarmRequest {
    readonly from: HostId;
    readonly ownerIncarnation: IncarnationId;
    readonly successorIncarnation: IncarnationId;
    readonly epoch: number;
    readonly sequence: number;
    readonly revision: number;
}

/** Answer to a `DisarmRequest`; repeats its epoch and sequence. */
export interface DisarmAnswer {
    readonly epoch: number;
    readonly sequence: number;
    /** Whether the successor is not armed and no request up to this sequence will arm it. */
    readonly isDisarmed: boolean;
}

/**
 * Request of a third host to the successor for a release: the promise never to consent or take over without the store
 * on the basis of the record at this or an earlier revision.
 */
export interface ReleaseRequest {
    readonly from: HostId;
    readonly requestId: number;
    readonly revision: number;
}

/** Answer to a `ReleaseRequest`; repeats its id and revision. */
export interface ReleaseAnswer {
    readonly requestId: number;
    readonly revision: number;
    /** Whether the release is given. */
    readonly isReleased: boolean;
}

/** Request for the incarnation that runs on the receiver's address. */
export interface IdentifyRequest {
    readonly from: HostId;
    readonly requestId: number;
}

/** Answer to an `IdentifyRequest`, from the process that is bound to the address now. */
export interface IdentifyAnswer {
    readonly requestId: number;
    readonly incarnation: IncarnationId;
}
