/**
 * Messages between relays and the abstract access to other relays.
 */
import type { Failure, HostId, Result, ZoneId } from "@waxwingroute/core";
import type { StoreChange, StoreEntry } from "@waxwingroute/platform";

/** What a relay says of its replica. Durations are relative, because hosts share no clock. */
export interface RelayDigest {
    readonly host: HostId;
    readonly zone: ZoneId;
    /** Newest revision in force; `undefined` before the first load. */
    readonly revision: number | undefined;
    /** Milliseconds since `revision` was last confirmed as the newest; `undefined` if never. */
    readonly confirmedAgoMs: number | undefined;
    /** Whether the relay watches the store itself and its last call succeeded. */
    readonly isStoreConfirmed: boolean;
}

/** All changes with revisions above `from` up to `revision`, in order. */
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

export type RelayUpdate = RelayDelta | RelaySnapshot;

/** The answer to a pull. A delta may end below the digest's revision; the puller then asks again. */
export interface RelayPull {
    readonly digest: RelayDigest;
    /** `undefined` if the relay has nothing loaded. */
    readonly update: RelayUpdate | undefined;
}

/** Access to the relays of other hosts. Lost, late and reordered answers are allowed. */
export abstract class RelayPeers {
    /** Exchanges digests: sends the own one and returns that of `host`. */
    abstract digest(host: HostId, own: RelayDigest): Promise<Result<RelayDigest, Failure>>;
    /** Gets the changes above `revision`, or a snapshot if `revision` is `undefined` or too old. */
    abstract pull(host: HostId, revision: number | undefined): Promise<Result<RelayPull, Failure>>;
}
