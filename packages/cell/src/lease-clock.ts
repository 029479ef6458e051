/**
 * How long the ownership lease of this host may have been without renewal, and what the host may do therefore. The
 * formula stands in docs/platform.md, "How long an owner acts".
 */
import type { Clock } from "@waxwingroute/core";
import { clockRateBound } from "./store-keys.js";

/** Time to live of the lease, and how long an owner sends orders after it, both in ms. */
export interface LeaseClockOptions {
    readonly clock: Clock;
    readonly leaseMs: number;
    readonly maxOutageMs: number;
}

/** A time by the monotonic and by the wall clock, ms. */
export interface ClockReading {
    readonly now: number;
    readonly wallTime: number;
}

/** Reads both clocks. */
export function readClocks(clock: Clock): ClockReading {
    return { now: clock.getNow(), wallTime: clock.getWallTime() };
}

/**
 * Returns the time since a reading by the clock that shows more, ms. The monotonic clock stands still while the machine
 * is suspended, and the wall clock may be set back.
 */
export function computeAge(clock: Clock, { now, wallTime }: ClockReading): number {
    return Math.max(clock.getNow() - now, clock.getWallTime() - wallTime);
}

/** Keeps when the last renewal that the store answered was sent. */
export class LeaseClock {
    private renewedAt: ClockReading = { now: -Infinity, wallTime: -Infinity };

    constructor(private readonly options: LeaseClockOptions) {}

    /** Reads both clocks, before a grant or renewal is sent. */
    read(): ClockReading {
        return readClocks(this.options.clock);
    }

    /** Records that the store answered a grant or renewal that was sent at this time. */
    recordRenewal(sentAt: ClockReading): void {
        if (sentAt.now > this.renewedAt.now) {
            this.renewedAt = sentAt;
        }
    }

    /** Time since the last answered renewal was sent, by the monotonic clock, ms. */
    get renewalAgeMs(): number {
        return this.options.clock.getNow() - this.renewedAt.now;
    }

    /** Whether the lease cannot have expired yet. */
    get isLeaseValid(): boolean {
        return this.computeUnrenewedMs() < this.options.leaseMs * (1 - clockRateBound);
    }

    /** Whether an owner may send orders: until `maxOutageMs` after the lease may have expired. */
    get canOrder(): boolean {
        return this.computeUnrenewedMs() < this.options.leaseMs + this.options.maxOutageMs;
    }

    /** Whether renewals have been without an answer for half of the lease. */
    get isRenewalOverdue(): boolean {
        return this.computeUnrenewedMs() > this.options.leaseMs / 2;
    }

    /** Returns the longest time for which the lease can have been without renewal, ms. */
    private computeUnrenewedMs(): number {
        return computeAge(this.options.clock, this.renewedAt);
    }
}
