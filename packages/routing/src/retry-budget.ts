/**
 * The retry budget of one team: retries are limited to a ratio of the team's requests over a sliding window, but a
 * minimum rate is always allowed.
 */

const windowSeconds = 10;
const maxRetryRatio = 0.1;
const minimumRetriesPerSecond = 3;

/** Counts the requests and retries of one team. */
export class RetryBudget {
    private readonly requests = new Array<number>(windowSeconds).fill(0);
    private readonly retries = new Array<number>(windowSeconds).fill(0);
    private currentSecond = 0;
    private requestSum = 0;
    private retrySum = 0;

    recordRequest(now: number): void {
        this.advance(now);
        this.requests[this.currentSecond % windowSeconds]! += 1;
        this.requestSum += 1;
    }

    /** Takes one retry from the budget if it allows one; returns whether it did. */
    tryRetry(now: number): boolean {
        this.advance(now);
        // The minimum is counted per second, so that unused retries cannot add up to one large burst.
        const retriesThisSecond = this.retries[this.currentSecond % windowSeconds]!;
        const isWithinMinimum = retriesThisSecond < minimumRetriesPerSecond;
        if (!isWithinMinimum && this.retrySum + 1 > this.requestSum * maxRetryRatio) {
            return false;
        }
        this.retries[this.currentSecond % windowSeconds]! += 1;
        this.retrySum += 1;
        return true;
    }

    private advance(now: number): void {
        const second = Math.floor(now / 1000);
        for (let steps = Math.min(second - this.currentSecond, windowSeconds); steps > 0; steps--) {
            const bucket = (second - steps + 1) % windowSeconds;
            this.requestSum -= this.requests[bucket]!;
            this.retrySum -= this.retries[bucket]!;
            this.requests[bucket] = 0;
            this.retries[bucket] = 0;
        }
        this.currentSecond = Math.max(this.currentSecond, second);
    }
}
