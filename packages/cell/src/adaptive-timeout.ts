/**
 * Chooses how long an answer of the store is waited for, from how long its answers take: a lost answer then costs little, and a
 * slow store is not asked again and again. Each further attempt waits twice as long.
 */
import type { Clock } from "@waxwingroute/core";

/** Shortest time-out, ms: an exchange across regions and the pauses of a busy host. */
const shortestMs = 200;
/** Multiple of the average time of an answer that is waited for. */
const patience = 4;
/** Weight of a new answer in the average. */
const answerWeight = 0.2;

export class AdaptiveTimeout {
    private averageMs: number | undefined;

    constructor(private readonly clock: Clock, private readonly longestMs: number) {}

    /** Returns the time to wait, ms. `attempt` counts from 0. */
    choose(attempt: number): number {
        const firstMs = this.averageMs === undefined ? this.longestMs : Math.max(shortestMs, patience * this.averageMs);
        return Math.min(this.longestMs, firstMs * 2 ** attempt);
    }

    /** Records that the answer to a call that was sent at `sentAt` has arrived. */
    recordAnswer(sentAt: number): void {
        const tookMs = this.clock.getNow() - sentAt;
        this.averageMs = this.averageMs === undefined
            ? tookMs
            : this.averageMs + answerWeight * (tookMs - this.averageMs);
    }
}
