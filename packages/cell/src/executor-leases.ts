/** The leases of the runs on one executor, by the executor's own clock. */
import type { Clock } from "@waxwingroute/core";

/** Executor clocks may run this much slower or faster than ours; figure of the platform's pages. */
const clockRateBound = 0.02;
/** Added to every wait for a lease to run out, ms, for the time of a message on its way. */
const leaseMarginMs = 250;

export class ExecutorLeases {
    private clockMs: number | undefined;
    private clockReadAt = 0;
    private lastDeadlineMs = 0;
    private readonly openedAt: number;

    constructor(private readonly clock: Clock, private readonly maxLeaseMs: number) {
        this.openedAt = clock.getNow();
    }

    get isClockKnown(): boolean {
        return this.clockMs !== undefined;
    }

    /** Returns whether everything that the executor can run has lost its lease. */
    hasExpired(): boolean {
        const now = this.clock.getNow();
        if (this.clockMs === undefined) {
            // Nothing is known of its clock: an earlier owner may have renewed just before this session opened.
            return now - this.openedAt > this.maxLeaseMs * (1 + 2 * clockRateBound) + leaseMarginMs;
        }
        return this.estimateClock(this.clockMs) > Math.max(this.lastDeadlineMs, this.clockMs) + leaseMarginMs;
    }

    recordClock(clockMs: number): void {
        this.clockMs = clockMs;
        this.clockReadAt = this.clock.getNow();
    }

    /** Returns whether a time that the executor told is before the last one, as after a restart. */
    isClockReset(clockMs: number): boolean {
        return this.clockMs !== undefined && clockMs < this.clockMs;
    }

    /** Forgets the leases of an earlier life of the executor. */
    reset(): void {
        this.lastDeadlineMs = 0;
    }

    /** Returns the latest end of the leases that may be asked for now, and remembers it. */
    extend(): number {
        const deadlineMs = Math.floor(this.estimateClock(this.clockMs ?? 0) + this.maxLeaseMs);
        this.lastDeadlineMs = Math.max(this.lastDeadlineMs, deadlineMs);
        return deadlineMs;
    }

    /** Returns the earliest time that the executor's clock can show now. */
    private estimateClock(readMs: number): number {
        return readMs + (this.clock.getNow() - this.clockReadAt) * (1 - clockRateBound);
    }
}
