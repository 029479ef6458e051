/**
 * What hosts exchange: the record in the store and the messages between them.
 */
import type { HostId, IncarnationId, WriterToken } from "@waxwingroute/core";

/** The ownership record of a shard in the store. */
export interface OwnershipRecord {
    readonly epoch: number;
    readonly owner: HostId;
    readonly ownerIncarnation: IncarnationId;
    readonly successor: HostId | undefined;
    readonly successorIncarnation: IncarnationId | undefined;
    /** Incremented by each renewal. */
    readonly renewal: number;
    /** Unique per write. */
    readonly token: WriterToken;
}

/** A periodic message that shows that its sender is alive, with the newest record that its sender knows from the store. */
export interface Heartbeat {
    readonly from: HostId;
    readonly incarnation: IncarnationId;
    /** Rises with each heartbeat of an incarnation. */
    readonly number: number;
    readonly confirmed: { readonly record: OwnershipRecord; readonly revision: number; } | undefined;
}

/** Request of an owner to its successor: arm and consent for `consentMs`. */
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
 * - `consented`: armed, with consent.
 * - `armed`: no consent, but armed by an earlier request.
 * - `notArmed`: not armed, and no request up to this sequence will arm it.
 * - `solo`: the successor has taken over.
 */
export type ArmStatus = "consented" | "armed" | "notArmed" | "solo";

export interface ArmAnswer {
    readonly epoch: number;
    readonly sequence: number;
    readonly status: ArmStatus;
}

export interface DisarmRequest {
    readonly from: HostId;
    readonly ownerIncarnation: IncarnationId;
    readonly successorIncarnation: IncarnationId;
    readonly epoch: number;
    readonly sequence: number;
    readonly revision: number;
}

export interface DisarmAnswer {
    readonly epoch: number;
    readonly sequence: number;
    /** Whether the successor is not armed and no request up to this sequence will arm it. */
    readonly isDisarmed: boolean;
}

/** Request of a third host: commit never to consent or take over without the store on the basis of this or an earlier record. */
export interface ReleaseRequest {
    readonly from: HostId;
    readonly requestId: number;
    readonly revision: number;
}

export interface ReleaseAnswer {
    readonly requestId: number;
    readonly revision: number;
    readonly isReleased: boolean;
}

export interface IdentifyRequest {
    readonly from: HostId;
    readonly requestId: number;
}

/** The incarnation that runs on the address now. */
export interface IdentifyAnswer {
    readonly requestId: number;
    readonly incarnation: IncarnationId;
}
