/**
 * Estimates the service time of a queue from recent samples: a moving mean and a moving mean deviation.
 */

// A tenth per sample: the estimate follows a change within about 20 requests, and single slow ones change it little.
const smoothingFactor = 0.1;
// Fewer samples are too weak a reason to refuse requests.
const minimumSamples = 5;
// Without a newer sample the estimate is dropped. Otherwise the estimate of one slow phase could refuse all requests,
// and no sample would ever correct it.
const maxSampleAgeMs = 5000;

/** Estimates the service time of one queue. */
export class ServiceTimeEstimator {
    private mean = 0;
    private deviation = 0;
    private samples = 0;
    private updatedAt = 0;

    record(durationMs: number, now: number): void {
        if (now - this.updatedAt > maxSampleAgeMs) {
            this.samples = 0;
        }
        const weight = Math.max(smoothingFactor, 1 / (this.samples + 1));
        this.deviation += weight * (Math.abs(durationMs - this.mean) - this.deviation);
        if (this.samples === 0) {
            this.deviation = 0;
        }
        this.mean += weight * (durationMs - this.mean);
        this.samples++;
        this.updatedAt = now;
    }

    /** Returns the mean in milliseconds, or 0 without an estimate. */
    estimateMean(now: number): number {
        return this.hasEstimate(now) ? this.mean : 0;
    }

    /** Returns the mean deviation in milliseconds, or 0 without an estimate. */
    estimateDeviation(now: number): number {
        return this.hasEstimate(now) ? this.deviation : 0;
    }

    private hasEstimate(now: number): boolean {
        return this.samples >= minimumSamples && now - this.updatedAt <= maxSampleAgeMs;
    }
}
