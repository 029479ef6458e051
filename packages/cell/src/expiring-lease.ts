/**
 * A lease of the store for keys that have to be kept for a fixed time. It is never renewed, so the store removes the keys
 * by itself. Keys that are written within some time share a lease.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { Ok } from "@waxwingroute/core";
import { clockRateBound } from "./store-keys.js";
import type { LeaseStore } from "./store.js";

/** The store and the times of an `ExpiringLease`. */
export interface ExpiringLeaseOptions {
    readonly store: LeaseStore;
    readonly clock: Clock;
    /** How long each key is kept, ms; at most ten minutes less `shareMs`. */
    readonly keepMs: number;
    /** Time for which a lease is used for further keys, ms. Default 30,000. */
    readonly shareMs?: number;
    /** Longest wait for the store, ms. */
    readonly timeoutMs: number;
}

const defaultShareMs = 30_000;
/** Longest time to live of a lease, ms, which the platform documents. */
const maxLeaseMs = 600_000;

/** Grants a new lease whenever the present one would remove a key too early. */
export class ExpiringLease {
    private current: { readonly lease: number; readonly usableUntil: number; } | undefined;

    constructor(private readonly options: ExpiringLeaseOptions) {}

    /** Returns a lease that keeps a key that is written within `timeoutMs` from now for `keepMs`. */
    async get(): Promise<Result<number, Failure>> {
        const { clock, keepMs, shareMs = defaultShareMs, store, timeoutMs } = this.options;
        const sentAt = clock.getNow();
        if (this.current !== undefined && sentAt + timeoutMs < this.current.usableUntil) {
            return Ok(this.current.lease);
        }
        const ttlMs = Math.min(maxLeaseMs, Math.ceil((keepMs + shareMs + timeoutMs) * (1 + 2 * clockRateBound)));
        const granted = await store.call({ kind: "grantLease", ttlMs }, timeoutMs);
        return granted.map(({ lease }) => {
            this.current = { lease, usableUntil: sentAt + shareMs + timeoutMs };
            return lease;
        });
    }

    /** Forgets the present lease, because the store has ended it. */
    reset(): void {
        this.current = undefined;
    }
}
