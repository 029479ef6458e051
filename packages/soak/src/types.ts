/** Calls, replies, jobs and settings, as the stand-ins and hosts use them. */

/** A row of the store. */
export interface StoredItem {
    readonly key: string;
    /** Base64 text, as written. */
    readonly value: string;
    readonly revision: number;
    readonly createdRevision: number;
    readonly lease: number;
}

/** A change of the store; without `item`, the key was removed. */
export interface StoreChange {
    readonly key: string;
    readonly revision: number;
    readonly item?: StoredItem;
}

export interface CommitRequest {
    readonly kind: "commit";
    readonly conditions: readonly { readonly key: string; readonly revision: number; }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly lease: number; }[];
    readonly removals: readonly string[];
}

export interface WatchRequest {
    readonly kind: "watch";
    readonly prefix: string;
    readonly afterRevision: number;
    readonly waitMs: number;
}

/** A call of the store. */
export type StoreRequest =
    | { readonly kind: "read"; readonly key: string; }
    | { readonly kind: "list"; readonly prefix: string; readonly afterKey: string; }
    | WatchRequest
    | CommitRequest
    | { readonly kind: "grantLease"; readonly ttlMs: number; }
    | { readonly kind: "renewLease"; readonly lease: number; }
    | { readonly kind: "endLease"; readonly lease: number; }
    | { readonly kind: "unknown"; };

/** A reply of the store. */
export type StoreReply =
    | { readonly kind: "item"; readonly item: StoredItem | undefined; readonly revision: number; }
    | {
        readonly kind: "items";
        readonly items: readonly StoredItem[];
        readonly hasMore: boolean;
        readonly revision: number;
    }
    | { readonly kind: "changes"; readonly changes: readonly StoreChange[]; readonly revision: number; }
    | { readonly kind: "committed"; readonly revision: number; }
    | {
        readonly kind: "conflict";
        readonly items: readonly (StoredItem | { readonly key: string; readonly revision: 0; })[];
    }
    | { readonly kind: "lease"; readonly lease: number; readonly ttlMs: number; }
    | { readonly kind: "leaseEnded"; }
    | { readonly kind: "done"; }
    | { readonly kind: "busy"; }
    | { readonly kind: "invalid"; };

/** A call of an executor. */
export interface ExecutorRequest {
    readonly kind: "start" | "stop" | "hold" | "pace" | "unknown";
    /** The executor for which the call is meant. */
    readonly executor: string;
    readonly token: number;
    readonly task: string;
    readonly run: number;
    readonly spec: string;
    /** End of the lease on the executor's clock, ms; `undefined` if the call does not extend it. */
    readonly leaseEndsAt: number | undefined;
    readonly acknowledged: number;
    readonly waitMs: number;
    /** Ticket of the advice service; empty if there is none. */
    readonly ticket: string;
}

/** What an executor says of its clock and life in every answer. */
export interface ExecutorIdentity {
    readonly clock: number;
    readonly bornAt: number;
}

/** A reply of an executor. */
export type ExecutorReply =
    | { readonly kind: "done" | "wrongInstance" | "unhealthy" | "unknown"; }
    | { readonly kind: "rejected"; readonly reason: "fence" | "old" | "late" | "ticket"; }
    | {
        readonly kind: "listing";
        readonly running: readonly { readonly task: string; readonly run: number; readonly percent: number; }[];
        readonly finished: readonly {
            readonly number: number;
            readonly task: string;
            readonly run: number;
            readonly how: string;
        }[];
    };

/** What an executor registers in the store. */
export interface ExecutorEntry extends ExecutorIdentity {
    readonly service: string;
    readonly address: string;
    readonly zone: string;
    readonly sequence: number;
    readonly cpu: number;
    readonly memoryMb: number;
}

/** A step of a job that callers submit. */
export interface JobStep {
    readonly count: number;
    /** Thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly estimateMs: number;
    /** Earlier steps that must be done. */
    readonly after: readonly number[];
    /** Whether the tasks work only once all of them are present. Default false. */
    readonly isGang?: boolean;
}

/** How the advice service handles the calls of a queue. */
export interface QueueAdvice {
    /** Fixed time of a call, ms. */
    readonly callMs: number;
    /** Additional time for each executor in the call, ms. */
    readonly perExecutorMs: number;
    /** Validity of a ticket, ms. */
    readonly validMs: number;
    /** Share of the executors that may run a step, from 0 to 1. */
    readonly grantShare: number;
}

/** A queue of a run. */
export interface QueueConfiguration {
    readonly name: string;
    readonly prefix: string;
    readonly priority: number;
    readonly targetLatencyMs: number;
    readonly stretchFactor: number;
    /** Default: none; any executor may run the steps of the queue. */
    readonly advice?: QueueAdvice;
}

/** The queues, service and tenant of a run. */
export interface SiteConfiguration {
    readonly hostName: string;
    readonly service: string;
    readonly apiKey: string;
    readonly maxAttempts: number;
    readonly queues: readonly QueueConfiguration[];
}

/** A call of the advice service: which of these executors may run the step? */
export interface AdviceRequest {
    readonly step: string;
    readonly executors: readonly string[];
}

/** A reply of the advice service. `full`: too many calls of the host wait. */
export type AdviceReply =
    | {
        readonly kind: "grants";
        readonly grants: readonly { readonly executor: string; readonly ticket: string; }[];
    }
    | { readonly kind: "full" | "unavailable" | "invalid"; };

/** What the settings file of a host contains. */
export interface HostSettings {
    readonly name: string;
    readonly zone: string;
    readonly ip: string;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly seeds: readonly string[];
    readonly storeAddress: string;
    readonly adviceAddress: string;
    readonly memoryMb: number;
    readonly graceSeconds: number;
}
