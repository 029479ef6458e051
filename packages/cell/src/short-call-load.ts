/**
 * Measures how many hosts the short calls to the advisor need, so that as many are kept free of long calls. Rounds of
 * requests end once no host is free, so that long calls can hide that short ones wait; a round at intervals goes on.
 */

/** Time constant of the average, ms. Without a short call for this long, no host is kept free for them. */
const averagingMs = 2_000;
/** While no short calls come, interval between rounds that look for one, and the longest duration of such a round, ms. */
const lookIntervalMs = 250;
const lookMs = 10;

/** The load of the short calls of one dispatcher. */
export class ShortCallLoad {
    private average = 0;
    private measuredAt: number;
    private requestedAt: number;
    private exhaustedAt: number;
    private lookedAt = -Infinity;

    /** Until something is known, as many hosts as possible are kept free: a new owner has many steps without an answer. */
    constructor(now: number) {
        this.measuredAt = now;
        this.requestedAt = now;
        this.exhaustedAt = now;
    }

    /** Records that a short call is wanted now, whether or not it can be sent. */
    recordRequest(now: number): void {
        this.requestedAt = now;
    }

    /** Records that the advisor is given this much work by a short call, ms. */
    recordSent(now: number, workMs: number): void {
        this.average = this.getAverage(now) + workMs / averagingMs;
        this.measuredAt = now;
    }

    /** Records that no host is free for any call. Returns whether the round should go on to look for short calls. */
    recordExhausted(now: number): boolean {
        this.exhaustedAt = now;
        if (this.hasShortCalls(now)) {
            return false;
        }
        if (now - this.lookedAt >= lookIntervalMs) {
            this.lookedAt = now;
        }
        return now - this.lookedAt < lookMs;
    }

    /**
     * Returns how many hosts should be free of long calls, `mostHosts` at most: none while no short calls come, and all if
     * those kept free did not suffice lately. Otherwise twice those in use, so that short calls seldom wait.
     */
    countNeededHosts(now: number, mostHosts: number): number {
        if (!this.hasShortCalls(now)) {
            return 0;
        }
        const wasExhausted = now - this.exhaustedAt < averagingMs;
        return wasExhausted ? mostHosts : Math.min(mostHosts, Math.max(1, Math.ceil(2 * this.getAverage(now))));
    }

    private hasShortCalls(now: number): boolean {
        return now - this.requestedAt < averagingMs;
    }

    private getAverage(now: number): number {
        return this.average * Math.exp((this.measuredAt - now) / averagingMs);
    }
}
