/**
 * The recent success rate of one executor, its ejection from rotation and its return.
 */

const bucketMs = 5000;
const bucketCount = 6;
const minimumSamples = 5;
const requiredProbeSuccesses = 3;
const maxEjectionMs = 60_000;
const nonIdempotentProbeDelayMs = 30_000;

/** Records how the attempts on one executor ended, and whether it is ejected. */
export class ExecutorHealth {
    private readonly totals = new Array<number>(bucketCount).fill(0);
    private readonly successes = new Array<number>(bucketCount).fill(0);
    private currentBucket = 0;
    private ejectionCount = 0;
    private nextProbeAt = 0;
    private probeSuccesses = 0;
    private isCurrentlyEjected = false;

    constructor(private readonly ejectionMs: number) {}

    get isEjected(): boolean {
        return this.isCurrentlyEjected;
    }

    /**
     * Returns whether an ejected executor may get one request as a probe. A probe may be lost, so a non-idempotent
     * request is used only after a probe has been due for 30 s without an idempotent one.
     */
    canProbe(isIdempotent: boolean, now: number): boolean {
        return this.isCurrentlyEjected && now >= this.nextProbeAt + (isIdempotent ? 0 : nonIdempotentProbeDelayMs);
    }

    /** Records how an attempt ended; returns whether the executor returned to rotation. */
    record(isSuccess: boolean, isProbe: boolean, now: number): boolean {
        this.advance(now);
        if (this.isCurrentlyEjected) {
            // An attempt that was sent before the ejection does not show whether the executor has recovered.
            return isProbe && this.recordProbe(isSuccess, now);
        }
        this.totals[this.currentBucket % bucketCount]! += 1;
        this.successes[this.currentBucket % bucketCount]! += isSuccess ? 1 : 0;
        return false;
    }

    /** Returns the ratio of attempts that succeeded in the last 30 s, or `undefined` below 5 samples. */
    computeSuccessRate(now: number): number | undefined {
        this.advance(now);
        const total = this.totals.reduce((sum, count) => sum + count, 0);
        return total < minimumSamples ? undefined : this.successes.reduce((sum, count) => sum + count, 0) / total;
    }

    /**
     * Takes the executor out of rotation. Each ejection without a full window in rotation before it doubles the time to
     * the next probe.
     */
    startEjection(now: number): void {
        this.isCurrentlyEjected = true;
        this.probeSuccesses = 0;
        this.nextProbeAt = now + Math.min(maxEjectionMs, this.ejectionMs * 2 ** this.ejectionCount);
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
        this.isCurrentlyEjected = false;
        this.totals.fill(0);
        this.successes.fill(0);
        return true;
    }

    private advance(now: number): void {
        const bucket = Math.floor(now / bucketMs);
        for (let steps = Math.min(bucket - this.currentBucket, bucketCount); steps > 0; steps--) {
            this.totals[(bucket - steps + 1) % bucketCount] = 0;
            this.successes[(bucket - steps + 1) % bucketCount] = 0;
        }
        if (bucket - this.currentBucket >= bucketCount && !this.isCurrentlyEjected) {
            this.ejectionCount = 0;
        }
        this.currentBucket = Math.max(this.currentBucket, bucket);
    }
}

/**
 * Returns the indexes of the executors to eject: those with a success rate below half of the median, lowest rate first,
 * at most `limit`. The rate of an executor with too few samples is `undefined`.
 */
export function selectOutliers(rates: readonly (number | undefined)[], limit: number): number[] {
    const known = rates.filter(rate => rate !== undefined).sort((first, second) => first - second);
    // Between two executors, no majority shows which one is the outlier.
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
