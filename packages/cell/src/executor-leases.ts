/** Tracks when the leases of all runs on one executor have expired, measured by the executor's own clock. */
import type { Clock } from "@waxwingroute/core";
import { clockRateBound } from "./store-keys.js";

/** Added to every wait for a lease to expire, ms, for messages that are still in flight. */
const leaseMarginMs = 250;

/** The clock and the lengths of leases. */
export interface ExecutorLeasesOptions {
    readonly clock: Clock;
    /** Longest lease that the owner requests, ms. */
    readonly maxLeaseMs: number;
    /**
     * Longest lease that an executor grants, ms. One that has restarted takes a lease end of its earlier clock for one
     * that is far ahead, and grants as long.
     */
    readonly longestLeaseMs: number;
}

/** Returns the time after which a lease has expired that an executor granted for a lease end far ahead, ms. */
export function computeLongestGrant(longestLeaseMs: number): number {
    return longestLeaseMs * (1 + 2 * clockRateBound) + leaseMarginMs;
}

/** The leases that this owner has requested from one executor, and the last known reading of its clock. */
export class ExecutorLeases {
    /** Last reading of the executor's clock; `undefined` before the first. */
    private clockMs: number | undefined;
    private clockReadAt = 0;
    /** Latest lease end that was requested, in time of the executor's clock. */
    private lastDeadlineMs = 0;
    /** Time by which leases have ended that the executor granted for lease ends of an earlier clock. */
    private restartLeasesEndAt = -Infinity;
    /** As `restartLeasesEndAt`, if the executor has restarted since its last listing. */
    private possibleRestartLeasesEndAt = -Infinity;

    constructor(private readonly options: ExecutorLeasesOptions) {}

    get isClockKnown(): boolean {
        return this.clockMs !== undefined;
    }

    /**
     * Returns whether the leases of all runs that the executor can hold have certainly expired. An earlier owner may have
     * renewed the lease until `earlierOrdersEndAt`.
     */
    hasExpired(earlierOrdersEndAt: number): boolean {
        const now = this.options.clock.getNow();
        if (now < Math.max(this.restartLeasesEndAt, this.possibleRestartLeasesEndAt)) {
            return false;
        }
        // An earlier owner may not have noticed a restart just before its last order.
        if (now - earlierOrdersEndAt <= this.longestGrantMs) {
            return false;
        }
        return this.clockMs === undefined
            || this.estimateClock(this.clockMs) > Math.max(this.lastDeadlineMs, this.clockMs) + leaseMarginMs;
    }

    recordClock(clockMs: number): void {
        this.clockMs = clockMs;
        this.clockReadAt = this.options.clock.getNow();
    }

    /** Returns whether a reading is lower than the last one, which shows that the executor has restarted. */
    isClockReset(clockMs: number): boolean {
        return this.clockMs !== undefined && clockMs < this.clockMs;
    }

    /**
     * Forgets the leases of an earlier incarnation of the executor. The present one may have taken lease ends that were
     * meant for the earlier one.
     */
    reset(): void {
        this.lastDeadlineMs = 0;
        this.recordOldCall();
    }

    /** Records that an executor may just have carried out a call that was meant for an earlier incarnation. */
    recordOldCall(): void {
        this.restartLeasesEndAt = this.computeLongestEnd();
    }

    /** Records that the executor may have restarted since its last listing and then carried out a call. */
    recordPossibleRestart(): void {
        this.possibleRestartLeasesEndAt = this.computeLongestEnd();
    }

    /** Records a listing of the known incarnation, so that the executor had not restarted. */
    recordSameIncarnation(): void {
        this.possibleRestartLeasesEndAt = -Infinity;
    }

    private get longestGrantMs(): number {
        return computeLongestGrant(this.options.longestLeaseMs);
    }

    private computeLongestEnd(): number {
        return this.options.clock.getNow() + this.longestGrantMs;
    }

    /**
     * Returns the latest lease end that may be requested now, in time of the executor's clock, and records it as
     * requested.
     */
    extend(): number {
        const deadlineMs = Math.floor(this.estimateClock(this.clockMs ?? 0) + this.options.maxLeaseMs);
        this.lastDeadlineMs = Math.max(this.lastDeadlineMs, deadlineMs);
        return deadlineMs;
    }

    /** Returns the lowest reading that the executor's clock can have now. */
    private estimateClock(lastReadingMs: number): number {
        return lastReadingMs + (this.options.clock.getNow() - this.clockReadAt) * (1 - clockRateBound);
    }
}
