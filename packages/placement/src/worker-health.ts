/**
 * Outlier ejection: a worker whose tasks fail far more often than those of its peers gets no more tasks, except single
 * tasks as probes. It gets tasks again after several successful probes.
 */
import type { WorkerTable } from "./worker-table.js";

/** The health of one worker. */
interface HealthRow {
    /** The last outcomes as bits, the newest in the lowest bit: 1 for success, 0 for failure. */
    outcomes: number;
    sampleCount: number;
    isEjected: boolean;
    /** Time before which no probe is sent. */
    probeAt: number;
    probeIntervalMs: number;
    /** Whether a probe is running. */
    isProbing: boolean;
    /** Successful probes in a row. */
    probeSuccesses: number;
}

/** Number of the last outcomes of a worker that count. */
const outcomeWindowSize = 16;
/** Fewest outcomes with which the success rate of a worker is compared. */
const minSamples = 5;
/** Successful probes in a row after which a worker is no longer ejected. */
const requiredProbeSuccesses = 3;
// More failing workers than this share point to a cause other than the workers.
const maxEjectedShare = 1 / 3;
/** Failed probes lengthen the probe interval up to this multiple of the first. */
const maxProbeIntervalFactor = 16;

/** Success rates of workers, and which workers are ejected. Workers are given as rows of the worker table. */
export class WorkerHealth {
    /** Rows of the ejected workers. */
    readonly ejected = new Set<number>();
    private readonly rows = new Map<number, HealthRow>();
    // Number of workers by success rate, in steps of 1 / outcomeWindowSize, for the median.
    private readonly rateHistogram = new Int32Array(outcomeWindowSize + 1);
    private ratedCount = 0;
    private readonly workers: WorkerTable;
    private readonly probeIntervalMs: number;

    constructor(workers: WorkerTable, probeIntervalMs: number) {
        this.workers = workers;
        this.probeIntervalMs = probeIntervalMs;
    }

    /** Records whether a task succeeded on a worker. */
    recordOutcome(row: number, isSuccess: boolean, isProbe: boolean, now: number): void {
        const health = this.ensureRow(row);
        this.updateRateHistogram(health, -1);
        health.outcomes = (health.outcomes << 1 | (isSuccess ? 1 : 0)) & (1 << outcomeWindowSize) - 1;
        health.sampleCount = Math.min(outcomeWindowSize, health.sampleCount + 1);
        this.updateRateHistogram(health, 1);
        if (health.isEjected) {
            this.recordProbe(row, health, isSuccess, isProbe, now);
        }
        else if (!isSuccess && this.isOutlier(health)) {
            this.markEjected(row, health, now);
        }
    }

    /** Drops the record of a worker, whose row another worker may get. */
    remove(row: number): void {
        const health = this.rows.get(row);
        if (health !== undefined) {
            this.updateRateHistogram(health, -1);
            this.rows.delete(row);
            this.ejected.delete(row);
        }
    }

    /** Returns an ejected worker that is due for a probe and satisfies `fits`, or -1. */
    findProbeRow(now: number, fits: (row: number) => boolean): number {
        for (const row of this.ejected) {
            const health = this.rows.get(row) as HealthRow;
            if (!health.isProbing && now >= health.probeAt && this.workers.isRowInRotation(row) && fits(row)) {
                return row;
            }
        }
        return -1;
    }

    /** Records that a probe was sent to a worker. */
    markProbe(row: number): void {
        this.ensureRow(row).isProbing = true;
    }

    /** Records that a probe, if there was one, ended with an outcome that says nothing about the worker. */
    clearProbe(row: number): void {
        const health = this.rows.get(row);
        if (health !== undefined) {
            health.isProbing = false;
        }
    }

    private ensureRow(row: number): HealthRow {
        let health = this.rows.get(row);
        if (health === undefined) {
            health = {
                outcomes: 0,
                sampleCount: 0,
                isEjected: false,
                probeAt: 0,
                probeIntervalMs: this.probeIntervalMs,
                isProbing: false,
                probeSuccesses: 0,
            };
            this.rows.set(row, health);
        }
        return health;
    }

    private isOutlier(health: HealthRow): boolean {
        return health.sampleCount >= minSamples
            && computeRate(health) < this.computeMedian() / 2
            && this.ejected.size + 1 <= this.workers.size * maxEjectedShare;
    }

    private markEjected(row: number, health: HealthRow, now: number): void {
        health.isEjected = true;
        health.probeSuccesses = 0;
        health.probeIntervalMs = this.probeIntervalMs;
        health.probeAt = now + health.probeIntervalMs;
        this.ejected.add(row);
        this.workers.setEjected(row, true);
    }

    private recordProbe(row: number, health: HealthRow, isSuccess: boolean, isProbe: boolean, now: number): void {
        if (!isProbe) {
            return;
        }
        health.isProbing = false;
        if (!isSuccess) {
            health.probeSuccesses = 0;
            health.probeIntervalMs = Math.min(
                health.probeIntervalMs * 2,
                this.probeIntervalMs * maxProbeIntervalFactor,
            );
            health.probeAt = now + health.probeIntervalMs;
            return;
        }
        health.probeSuccesses++;
        if (health.probeSuccesses >= requiredProbeSuccesses) {
            this.updateRateHistogram(health, -1);
            health.isEjected = false;
            health.outcomes = 0;
            health.sampleCount = 0;
            this.ejected.delete(row);
            this.workers.setEjected(row, false);
        }
    }

    private updateRateHistogram(health: HealthRow, sign: 1 | -1): void {
        if (health.sampleCount >= minSamples) {
            const rate = Math.round(computeRate(health) * outcomeWindowSize);
            this.rateHistogram[rate] = (this.rateHistogram[rate] as number) + sign;
            this.ratedCount += sign;
        }
    }

    /** Returns the median success rate of the workers that have enough samples. */
    private computeMedian(): number {
        let cumulativeCount = 0;
        for (let rate = 0; rate <= outcomeWindowSize; rate++) {
            cumulativeCount += this.rateHistogram[rate] as number;
            if (cumulativeCount * 2 > this.ratedCount) {
                return rate / outcomeWindowSize;
            }
        }
        return 1;
    }
}

function computeRate(health: HealthRow): number {
    let successes = 0;
    for (let bits = health.outcomes; bits !== 0; bits &= bits - 1) {
        successes++;
    }
    return successes / health.sampleCount;
}
