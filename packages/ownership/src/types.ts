/**
 * Types of the ownership state machine: settings, events, actions and state.
 *
 * All times are milliseconds of the host's own monotonic clock; no time of one host is ever compared with one of another.
 */
import type { HostId, IncarnationId, WriterToken } from "@waxwingroute/core";
import type {
    ArmAnswer,
    ArmRequest,
    DisarmAnswer,
    DisarmRequest,
    Heartbeat,
    IdentifyAnswer,
    IdentifyRequest,
    OwnershipRecord,
    ReleaseAnswer,
    ReleaseRequest,
} from "./messages.js";

/** Durations of the ownership protocol. */
export interface OwnershipTimings {
    /** Duration of the right granted by a renewal in the store, from before the write was sent, in ms. Default 3,000. */
    readonly storeRightMs: number;
    /** Renewal period in ms; also the time after which an unanswered renewal leads to consent mode. Default 1,000. */
    readonly renewIntervalMs: number;
    /** Duration of the right granted by a consent, from before its request was sent, in ms. Default 2,000. */
    readonly consentMs: number;
    /** Period of heartbeats and consent requests in ms. Default 500. */
    readonly heartbeatMs: number;
    /** Greatest age of the successor heartbeat that an arm request echoes, in ms of the successor's clock. Default 1,500. */
    readonly armFreshMs: number;
    /** Longest operation of owner and successor without the store after the last renewal, in ms. Default 4,200,000. */
    readonly pairBoundMs: number;
    /** Longest time for which a start is in flight, in ms. Default 1,000. */
    readonly startInFlightMs: number;
    /** Greatest relative difference of two clock rates. Default 0.01. */
    readonly clockRateBound: number;
    /** Period at which a host that hears the owner reads the record, in ms. Default 10,000. */
    readonly observeIntervalMs: number;
}

export const defaultOwnershipTimings: OwnershipTimings = {
    storeRightMs: 3_000,
    renewIntervalMs: 1_000,
    consentMs: 2_000,
    heartbeatMs: 500,
    armFreshMs: 1_500,
    pairBoundMs: 4_200_000,
    startInFlightMs: 1_000,
    clockRateBound: 0.01,
    observeIntervalMs: 10_000,
};

/** Who this process is and which hosts can own the shard. */
export interface OwnershipSettings {
    readonly self: HostId;
    /** Random id generated at process start, after the process has bound its configured address. */
    readonly incarnation: IncarnationId;
    /** All entry hosts of the zone, most preferred first. */
    readonly hosts: readonly HostId[];
    readonly timings: OwnershipTimings;
}

/** The newest record that a host knows of. */
export interface KnownRecord {
    readonly record: OwnershipRecord;
    readonly revision: number;
    /** When this host first learned of this revision. */
    readonly observedAt: number;
}

/** Answer to a read of the record. `unreadable` is a value of a newer version or a damaged one. */
export type RecordReadResult =
    | { readonly kind: "found"; readonly record: OwnershipRecord; readonly revision: number; }
    | { readonly kind: "absent"; }
    | { readonly kind: "unreadable"; }
    | { readonly kind: "failed"; };

/** Answer to a write of the record. `conflict` and `notSent` mean that it certainly takes no effect. */
export type WriteResult =
    | { readonly kind: "written"; readonly revision: number; }
    | { readonly kind: "conflict"; }
    | { readonly kind: "notSent"; }
    | { readonly kind: "unknown"; };

export type OwnershipEvent =
    | { readonly kind: "tick"; }
    | { readonly kind: "recordRead"; readonly requestId: number; readonly result: RecordReadResult; }
    | { readonly kind: "writeAnswered"; readonly token: WriterToken; readonly result: WriteResult; }
    | { readonly kind: "heartbeatReceived"; readonly heartbeat: Heartbeat; }
    | { readonly kind: "armRequested"; readonly request: ArmRequest; }
    | { readonly kind: "armAnswered"; readonly answer: ArmAnswer; }
    | { readonly kind: "disarmRequested"; readonly request: DisarmRequest; }
    | { readonly kind: "disarmAnswered"; readonly answer: DisarmAnswer; }
    | { readonly kind: "releaseRequested"; readonly request: ReleaseRequest; }
    | { readonly kind: "releaseAnswered"; readonly answer: ReleaseAnswer; }
    | { readonly kind: "identifyRequested"; readonly request: IdentifyRequest; }
    | { readonly kind: "identifyAnswered"; readonly answer: IdentifyAnswer; }
    | { readonly kind: "recoveryCompleted"; readonly generation: number; }
    | { readonly kind: "handOver"; }
    /** An operator asserts that the silent owner or successor named in the record has ended. */
    | { readonly kind: "forceRelease"; };

export type OwnershipAction =
    | { readonly kind: "readRecord"; readonly requestId: number; }
    | {
        readonly kind: "writeRecord";
        readonly record: OwnershipRecord;
        /** Revision that the write replaces; `undefined`: the record must not exist. */
        readonly expected: number | undefined;
    }
    | { readonly kind: "sendHeartbeat"; readonly to: HostId; readonly heartbeat: Heartbeat; }
    | { readonly kind: "sendArm"; readonly to: HostId; readonly request: ArmRequest; }
    | { readonly kind: "sendDisarm"; readonly to: HostId; readonly request: DisarmRequest; }
    | { readonly kind: "sendRelease"; readonly to: HostId; readonly request: ReleaseRequest; }
    | { readonly kind: "sendIdentify"; readonly to: HostId; readonly request: IdentifyRequest; }
    | { readonly kind: "replyArm"; readonly answer: ArmAnswer; }
    | { readonly kind: "replyDisarm"; readonly answer: DisarmAnswer; }
    | { readonly kind: "replyRelease"; readonly answer: ReleaseAnswer; }
    | { readonly kind: "replyIdentify"; readonly answer: IdentifyAnswer; }
    /** A new right: list what workers and executors run, then complete the recovery, `waitMs` from now at the earliest. */
    | {
        readonly kind: "rightGained";
        readonly generation: number;
        readonly epoch: number;
        readonly basis: RightBasis;
        readonly waitMs: number;
    }
    | { readonly kind: "rightLost"; readonly generation: number; }
    /** The record names another owner after a graceful handover. */
    | { readonly kind: "handedOver"; };

/** From what a right derives: renewals in the store, consents of the successor, or a takeover without the store. */
export type RightBasis = "store" | "consent" | "solo";

/** A write whose effect is not known yet. */
export interface PendingWrite {
    readonly record: OwnershipRecord;
    readonly expected: number | undefined;
    readonly sentAt: number;
    readonly isAnswered: boolean;
    /** When a read was sent that showed that the write had not taken effect. It may still do so late. */
    readonly checkedAt: number | undefined;
}

/** What a host holds as the owner named in the record. */
export interface OwnerState {
    readonly epoch: number;
    /** When the last confirmed write of this epoch was sent; `undefined` after a handover until the first renewal. */
    readonly renewedAt: number | undefined;
    readonly basis: "store" | "consent";
    /** Number of the last arm or disarm request. */
    readonly sequence: number;
    readonly arms: readonly { readonly sequence: number; readonly sentAt: number; }[];
    readonly lastDisarmAt: number;
    /** When the request of the last consent was sent. */
    readonly consentSentAt: number | undefined;
    /** End of the store right at the change to consent mode; no other host can gain a right before it. */
    readonly heldUntil: number;
    readonly identify: { readonly requestId: number; readonly sentAt: number; } | undefined;
    readonly isHandingOver: boolean;
}

/** What a host holds and has promised as a successor. */
export interface SuccessorState {
    readonly lastConsentAt: number | undefined;
    readonly armed: {
        readonly epoch: number;
        readonly ownerIncarnation: IncarnationId;
        /** A time not later than the sending of the last renewal that the owner knew of. */
        readonly anchorAt: number;
        /** When this host first noticed that its last consent had expired. */
        readonly expiredSeenAt: number | undefined;
    } | undefined;
    readonly solo: { readonly epoch: number; readonly until: number; } | undefined;
    readonly disarmed: { readonly epoch: number; readonly sequence: number; } | undefined;
    /** Never consents or goes solo on the basis of a record up to this revision: promised to another host. */
    readonly releasedRevision: number;
    /** Never consents on the basis of a record up to this revision: an own takeover write may replace it. */
    readonly takeoverRevision: number;
    /** As `takeoverRevision`, for writes that relied on being solo. */
    readonly soloTakeoverRevision: number;
}

export interface PeerHeartbeat {
    readonly incarnation: IncarnationId;
    readonly heardAt: number;
    readonly number: number;
}

/** A right to place. While `isRecovering` it does not allow placing. */
export interface Right {
    readonly generation: number;
    readonly epoch: number;
    readonly isRecovering: boolean;
    readonly recoveryNotBefore: number;
}

export interface OwnershipState {
    readonly settings: OwnershipSettings;
    readonly startedAt: number;
    readonly known: KnownRecord | undefined;
    /** Since when reads have shown that no record exists. */
    readonly absentSince: number | undefined;
    readonly read: { readonly requestId: number; readonly sentAt: number; } | undefined;
    readonly lastReadAt: number;
    /** When the last successful read was sent. */
    readonly confirmedAt: number;
    readonly lastWriteAt: number;
    readonly requestSequence: number;
    readonly pending: readonly PendingWrite[];
    readonly owner: OwnerState | undefined;
    readonly successor: SuccessorState;
    readonly peers: Readonly<Record<string, PeerHeartbeat>>;
    readonly ownerHeardAt: number;
    readonly heartbeatNumber: number;
    readonly lastHeartbeatAt: number;
    readonly recentHeartbeats: readonly { readonly number: number; readonly sentAt: number; }[];
    /** Revision for which the successor has given a release, and when a release was last requested. */
    readonly release:
        | { readonly revision: number; readonly isGiven: boolean; readonly requestedAt: number; }
        | undefined;
    readonly forcedRevision: number | undefined;
    readonly right: Right | undefined;
    readonly generation: number;
}
