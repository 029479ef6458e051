/**
 * The recent successes of one executor, and its way out of rotation and back.
 */

const bucketMs = 5000;
const bucketCount = 6;
const minimumSamples = 5;
const requiredProbeSuccesses = 3;
const maxEjectionMs = 60_000;
const nonIdempotentProbeDelayMs = 30_000;

export class ExecutorHealth {
    private readonly totals = new Array<number>(bucketCount).fill(0);
    private readonly successes = new Array<number>(bucketCount).fill(0);
    private bucket = 0;
    private ejectionCount = 0;
    private probeAt = 0;
    private probeSuccesses = 0;
    private isOutOfRotation = false;

    constructor(private readonly ejectionMs: number) {}

    get isEjected(): boolean {
        return this.isOutOfRotation;
    }

    /**
     * Returns whether an ejected executor may get one request as a probe. A probe may be lost, so a request that cannot be
     * repeated is used only when no other came for 30 s.
     */
    canProbe(isIdempotent: boolean, now: number): boolean {
        return this.isOutOfRotation && now >= this.probeAt + (isIdempotent ? 0 : nonIdempotentProbeDelayMs);
    }

    /** Records how an attempt ended; returns whether the executor returned to rotation. */
    record(isSuccess: boolean, isProbe: boolean, now: number): boolean {
        this.advance(now);
        if (this.isOutOfRotation) {
            // An attempt from before the ejection says nothing new.
            return isProbe && this.recordProbe(isSuccess, now);
        }
        this.totals[this.bucket % bucketCount]! += 1;
        this.successes[this.bucket % bucketCount]! += isSuccess ? 1 : 0;
        return false;
    }

    /** Returns the part of attempts that succeeded in the last 30 s, or `undefined` below 5 samples. */
    computeSuccessRate(now: number): number | undefined {
        this.advance(now);
        const total = this.totals.reduce((sum, count) => sum + count, 0);
        return total < minimumSamples ? undefined : this.successes.reduce((sum, count) => sum + count, 0) / total;
    }

    /** Takes the executor out of rotation. Each ejection without a full window in rotation doubles the time to the probe. */
    startEjection(now: number): void {
        this.isOutOfRotation = true;
        this.probeSuccesses = 0;
        this.probeAt = now + Math.min(maxEjectionMs, this.ejectionMs * 2 ** this.ejectionCount);
        this.ejectionCount++;
    }

    private recordProbe(isSuccess: boolean, now: number): boolean {
        if (!isSuccess) {
            this.startEjection(now);
            return false;
        }
        this.probeSuccesses++;
        if (this.probeSuccesses < requiredProbeSuccesses) {
            return false;
        }
        this.isOutOfRotation = false;
        this.totals.fill(0);
        this.successes.fill(0);
        return true;
    }

    private advance(now: number): void {
        const bucket = Math.floor(now / bucketMs);
        for (let steps = Math.min(bucket - this.bucket, bucketCount); steps > 0; steps--) {
            this.totals[(bucket - steps + 1) % bucketCount] = 0;
            this.successes[(bucket - steps + 1) % bucketCount] = 0;
        }
        if (bucket - this.bucket >= bucketCount && !this.isOutOfRotation) {
            this.ejectionCount = 0;
        }
        this.bucket = Math.max(this.bucket, bucket);
    }
}

/**
 * Returns the positions of the executors to take out of rotation: those with a success rate below half of the median,
 * lowest rate first, at most `limit`. Rates of executors with too few samples are `undefined`.
 */
export function selectOutliers(rates: readonly (number | undefined)[], limit: number): number[] {
    const known = rates.filter(rate => rate !== undefined).sort((first, second) => first - second);
    // Two executors have no majority that shows which one differs.
    if (known.length < 3 || limit <= 0) {
        return [];
    }
    const median = known[known.length >> 1]!;
    return rates
        .map((rate, index) => ({ rate: rate ?? 1, index }))
        .filter(({ rate }) => rate < median / 2)
        .sort((first, second) => first.rate - second.rate)
        .slice(0, limit)
        .map(({ index }) => index);
}
