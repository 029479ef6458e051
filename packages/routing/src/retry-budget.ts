/**
 * The retry budget of one team: over a window, retries are at most a part of the team's requests, with a minimum rate.
 */

const windowSeconds = 10;
const maxRetryRatio = 0.1;
const minimumRetriesPerSecond = 3;

export class RetryBudget {
    private readonly requests = new Array<number>(windowSeconds).fill(0);
    private readonly retries = new Array<number>(windowSeconds).fill(0);
    private second = 0;
    private requestSum = 0;
    private retrySum = 0;

    recordRequest(now: number): void {
        this.advance(now);
        this.requests[this.second % windowSeconds]! += 1;
        this.requestSum += 1;
    }

    /** Takes one retry from the budget; returns whether it was allowed. */
    tryRetry(now: number): boolean {
        this.advance(now);
        // The minimum counts per second, so that the window cannot save it up for one large burst.
        const retriesThisSecond = this.retries[this.second % windowSeconds]!;
        const isWithinMinimum = retriesThisSecond < minimumRetriesPerSecond;
        if (!isWithinMinimum && this.retrySum + 1 > this.requestSum * maxRetryRatio) {
            return false;
        }
        this.retries[this.second % windowSeconds]! += 1;
        this.retrySum += 1;
        return true;
    }

    private advance(now: number): void {
        const second = Math.floor(now / 1000);
        for (let steps = Math.min(second - this.second, windowSeconds); steps > 0; steps--) {
            const bucket = (second - steps + 1) % windowSeconds;
            this.requestSum -= this.requests[bucket]!;
            this.retrySum -= this.retries[bucket]!;
            this.requests[bucket] = 0;
            this.retries[bucket] = 0;
        }
        this.second = Math.max(this.second, second);
    }
}
