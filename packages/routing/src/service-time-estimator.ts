/**
 * Recent service times of a queue: a moving mean and a moving mean deviation.
 */

// A tenth per sample follows a change within about 20 requests and smooths single slow ones.
const smoothingFactor = 0.1;
// Fewer samples say too little to refuse work on.
const minimumSamples = 5;
// Without recent samples the estimate is dropped; otherwise one slow phase could refuse all work and so never end.
const maxSampleAgeMs = 5000;

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

    /** Returns the mean in milliseconds, or 0 if too little is known. */
    estimateMean(now: number): number {
        return this.hasEstimate(now) ? this.mean : 0;
    }

    /** Returns the mean deviation in milliseconds, or 0 if too little is known. */
    estimateDeviation(now: number): number {
        return this.hasEstimate(now) ? this.deviation : 0;
    }

    private hasEstimate(now: number): boolean {
        return this.samples >= minimumSamples && now - this.updatedAt <= maxSampleAgeMs;
    }
}
