/**
 * Derives the time-out of a store call from how long the store's answers take, so that a lost answer is noticed soon
 * and calls to a slow store are not repeated needlessly. The time-out doubles with each attempt, up to a limit.
 */
import type { Clock } from "@waxwingroute/core";

/** Shortest time-out, ms: covers a round trip between regions and the pauses of a busy host. */
const minTimeoutMs = 200;
/** The first time-out as a multiple of the average answer time. */
const averageMultiple = 4;
/** Weight of a new answer in the moving average. */
const answerWeight = 0.2;

/** Measures the store's answer times and chooses time-outs from them. */
export class AdaptiveTimeout {
    private movingAverageMs: number | undefined;

    constructor(private readonly clock: Clock, private readonly maxTimeoutMs: number) {}

    /** The moving average of the answer times, ms; `undefined` before the first answer. */
    get averageMs(): number | undefined {
        return this.movingAverageMs;
    }

    /** Returns the time to wait, ms. `attempt` counts from 0. Before the first answer this is the longest time-out. */
    choose(attempt: number): number {
        const firstMs = this.averageMs === undefined
            ? this.maxTimeoutMs
            : Math.max(minTimeoutMs, averageMultiple * this.averageMs);
        return Math.min(this.maxTimeoutMs, firstMs * 2 ** attempt);
    }

    /** Records that the answer to a call that was sent at `sentAt` has arrived. */
    recordAnswer(sentAt: number): void {
        const tookMs = this.clock.getNow() - sentAt;
        this.movingAverageMs = this.movingAverageMs === undefined
            ? tookMs
            : this.movingAverageMs + answerWeight * (tookMs - this.movingAverageMs);
    }
}
