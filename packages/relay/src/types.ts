/**
 * Messages that relays exchange, and the interface through which a relay calls the others.
 */
import type { Failure, HostId, Result, ZoneId } from "@waxwingroute/core";
import type { StoreChange, StoreEntry } from "@waxwingroute/platform";

/** Summary of a relay's replica. Times are sent as ages, because hosts share no clock. */
export interface RelayDigest {
    readonly host: HostId;
    readonly zone: ZoneId;
    /** Revision that the replica has applied; `undefined` before the first load. */
    readonly revision: number | undefined;
    /** Milliseconds since `revision` was last confirmed to be the newest; `undefined` if it never was. */
    readonly confirmedAgoMs: number | undefined;
    /** Whether the relay watches the store itself and its last finished store call was a recent success. */
    readonly isStoreConfirmed: boolean;
}

/** All changes with revisions above `from` and up to `revision`, in revision order. */
export interface RelayDelta {
    readonly kind: "delta";
    readonly from: number;
    readonly revision: number;
    readonly changes: readonly StoreChange[];
}

/** The whole configuration at `revision`. */
export interface RelaySnapshot {
    readonly kind: "snapshot";
    readonly revision: number;
    readonly entries: readonly StoreEntry[];
}

/** What one relay sends another to bring its replica up to date. */
export type RelayUpdate = RelayDelta | RelaySnapshot;

/** Response to a pull. A delta is limited in length and may end below the digest's revision; the caller then pulls again. */
export interface RelayPull {
    readonly digest: RelayDigest;
    /** `undefined` if the relay has no configuration loaded. */
    readonly update: RelayUpdate | undefined;
}

/** Calls the relays of other hosts. Answers may be lost, late or out of order. */
export abstract class RelayPeers {
    /** Sends the digest of this relay to `host` and returns the digest of `host`. */
    abstract digest(host: HostId, own: RelayDigest): Promise<Result<RelayDigest, Failure>>;
    /** Requests the changes above `revision`, or a snapshot if `revision` is `undefined` or too old for a delta. */
    abstract pull(host: HostId, revision: number | undefined): Promise<Result<RelayPull, Failure>>;
}
