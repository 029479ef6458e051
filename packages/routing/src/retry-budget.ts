/**
 * The retry budget of one team: over a window, retries are at most a part of the team's requests, with a minimum rate.
 */

const windowSeconds = 10;
const retriedPart = 0.1;
const minimumPerSecond = 3;

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
        const inThisSecond = this.retries[this.second % windowSeconds]!;
        const isWithinMinimum = inThisSecond < minimumPerSecond;
        if (!isWithinMinimum && this.retrySum + 1 > this.requestSum * retriedPart) {
            return false;
        }
        this.retries[this.second % windowSeconds]! += 1;
        this.retrySum += 1;
        return true;
    }

    private advance(now: number): void {
        const second = Math.floor(now / 1000);
        for (let steps = Math.min(second - this.second, windowSeconds); steps > 0; steps--) {
            const slot = (second - steps + 1) % windowSeconds;
            this.requestSum -= this.requests[slot]!;
            this.retrySum -= this.retries[slot]!;
            this.requests[slot] = 0;
            this.retries[slot] = 0;
        }
        this.second = Math.max(this.second, second);
    }
}
