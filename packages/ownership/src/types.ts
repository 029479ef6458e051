/**
 * Types of the ownership state machine: settings, events, actions and state.
 *
 * A right is a host's permission to place work in the shard, bounded in time like a lease. In store mode the right of
 * the owner derives from renewals in the store, in consent mode from consents of its successor. A successor that has
 * consented is armed: once its last consent has expired, it may take over without the store, which is called solo.
 *
 * All times are milliseconds of the host's own monotonic clock. Times of different hosts are never compared.
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
    /** How long a renewal in the store grants a right, in ms, from the sending of its write on. Default 3,000. */
    readonly storeRightMs: number;
    /** Period of renewals in ms. A renewal without an answer for this long leads to consent mode. Default 1,000. */
    readonly renewIntervalMs: number;
    /** How long a consent grants a right, in ms, from the sending of its request on. Default 2,000. */
    readonly consentMs: number;
    /** Period of heartbeats and of arm requests in ms. Default 500. */
    readonly heartbeatMs: number;
    /** Greatest age of the heartbeat that an arm request echoes, in ms of the successor's clock. Default 1,500. */
    readonly armFreshMs: number;
    /** Longest time that owner and successor work without the store after a renewal, in ms. Default 4,200,000. */
    readonly pairBoundMs: number;
    /** Longest time for which the start of a task is in flight, in ms. Default 1,000. */
    readonly startInFlightMs: number;
    /** Greatest relative difference between the clock rates of two hosts. Default 0.01. */
    readonly clockRateBound: number;
    /** Period at which a host reads the record while nothing about it is in doubt, in ms. Default 10,000. */
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

/** Identity of this process, the hosts that can own the shard, and the durations of the protocol. */
export interface OwnershipSettings {
    readonly self: HostId;
    /**
     * Random id generated at process start, after the process has bound its configured address. A new one therefore
     * proves that earlier processes on that address have ended.
     */
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

/** Result of a read of the record. `unreadable`: the value has a newer version or is damaged. */
export type RecordReadResult =
    | { readonly kind: "found"; readonly record: OwnershipRecord; readonly revision: number; }
    | { readonly kind: "absent"; }
    | { readonly kind: "unreadable"; }
    | { readonly kind: "failed"; };

/** Result of a write of the record. After `conflict` and `notSent` it is certain that the write takes no effect. */
export type WriteResult =
    | { readonly kind: "written"; readonly revision: number; }
    | { readonly kind: "conflict"; }
    | { readonly kind: "notSent"; }
    | { readonly kind: "unknown"; };

/** Input of the state machine: ticks of the timer, results of store calls, messages of other hosts, and commands. */
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
    /** An operator asserts that the unreachable owner or successor named in the record has ended. */
    | { readonly kind: "forceRelease"; };

/** Output of the state machine, which its caller performs: store calls, messages, replies and notifications. */
export type OwnershipAction =
    | { readonly kind: "readRecord"; readonly requestId: number; }
    | {
        readonly kind: "writeRecord";
        readonly record: OwnershipRecord;
        /** Revision that the write replaces; `undefined` when the record must not exist yet. */
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
    /** A new right. List what workers and executors run, and complete the recovery after `waitMs` at the earliest. */
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

/** What a right derives from: renewals in the store, consents of the successor, or a takeover without the store. */
export type RightBasis = "store" | "consent" | "solo";

/** A write of the record whose outcome is not known yet. */
export interface PendingWrite {
    readonly record: OwnershipRecord;
    readonly expected: number | undefined;
    readonly sentAt: number;
    /** Whether the store call has ended, with an unknown outcome. */
    readonly isAnswered: boolean;
    /** When the read was sent that showed that the write had not taken effect. It may still take effect later. */
    readonly checkedAt: number | undefined;
}

/** State of the host that the record names as owner. */
export interface OwnerState {
    readonly epoch: number;
    /** When the last confirmed write of this epoch was sent; `undefined` after a handover until the first renewal. */
    readonly renewedAt: number | undefined;
    readonly basis: "store" | "consent";
    /** Number of the last arm or disarm request. */
    readonly sequence: number;
    /** Recent arm requests, oldest first. */
    readonly arms: readonly { readonly sequence: number; readonly sentAt: number; }[];
    readonly lastDisarmAt: number;
    /** When the arm request that the last consent answered was sent. */
    readonly consentSentAt: number | undefined;
    /** End of the store right that this host had on entering consent mode. No other host gains a right before it. */
    readonly heldUntil: number;
    readonly identify: { readonly requestId: number; readonly sentAt: number; } | undefined;
    readonly isHandingOver: boolean;
}

/** State of a host as a successor: its consents, its takeover without the store, and its promises. */
export interface SuccessorState {
    readonly lastConsentAt: number | undefined;
    readonly armed: {
        readonly epoch: number;
        readonly ownerIncarnation: IncarnationId;
        /** Lower bound of when the owner's last renewal was sent. The pair bound is measured from here. */
        readonly anchorAt: number;
        /** When this host first noticed that its last consent had expired. */
        readonly expiredSeenAt: number | undefined;
    } | undefined;
    readonly solo: { readonly epoch: number; readonly until: number; } | undefined;
    /** Arm requests of earlier epochs, and of this one up to this sequence, no longer arm this host. */
    readonly disarmed: { readonly epoch: number; readonly sequence: number; } | undefined;
    /** Release given to another host: never consents or goes solo on the basis of a record up to this revision. */
    readonly releasedRevision: number;
    /** Never consents on the basis of a record up to this revision, because its own takeover write may replace it. */
    readonly takeoverRevision: number;
    /** As `takeoverRevision`, for takeover writes sent while solo. Also refuses to disarm up to this revision. */
    readonly soloTakeoverRevision: number;
}

/** The newest heartbeat received from another host. */
export interface PeerHeartbeat {
    readonly incarnation: IncarnationId;
    readonly heardAt: number;
    readonly number: number;
}

/** A right to place work. It does not allow placing while `isRecovering`. */
export interface Right {
    /** Rises with each right that this process gains. */
    readonly generation: number;
    readonly epoch: number;
    readonly isRecovering: boolean;
    /** Earliest time at which the recovery can be completed. */
    readonly recoveryNotBefore: number;
}

/** State of the ownership of one shard on one host. */
export interface OwnershipState {
    readonly settings: OwnershipSettings;
    readonly startedAt: number;
    readonly known: KnownRecord | undefined;
    /** Since when reads have shown that no record exists. */
    readonly absentSince: number | undefined;
    /** The last read, until it is answered. */
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
    /** Heartbeats that this host sent in the last `armFreshMs`, one of which an arm request must echo. */
    readonly recentHeartbeats: readonly { readonly number: number; readonly sentAt: number; }[];
    /** The release last requested from the successor: for which revision, whether it was given, and when requested. */
    readonly release:
        | { readonly revision: number; readonly isGiven: boolean; readonly requestedAt: number; }
        | undefined;
    /** Revision of the record to which the last `forceRelease` applied. */
    readonly forcedRevision: number | undefined;
    readonly right: Right | undefined;
    readonly generation: number;
}
