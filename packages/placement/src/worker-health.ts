/**
 * Takes workers that fail most of their tasks, compared with their peers, out of rotation, and probes them with single
 * tasks.
 */
import type { WorkerTable } from "./worker-table.js";

interface HealthRow {
    /** Recent outcomes as bits, newest lowest: 1 for success. */
    outcomes: number;
    sampleCount: number;
    isEjected: boolean;
    probeAt: number;
    probeIntervalMs: number;
    isProbing: boolean;
    probeSuccesses: number;
}

const outcomeWindowSize = 16;
const minSamples = 5;
/** Successful probes in a row that return a worker to rotation. */
const requiredProbeSuccesses = 3;
// More failing workers than this point to a fault that is not theirs.
const maxEjectedShare = 1 / 3;
const maxProbeIntervalFactor = 16;

/** Success rates of workers. Rows are worker rows. */
export class WorkerHealth {
    readonly ejected = new Set<number>();
    private readonly rows = new Map<number, HealthRow>();
    // Workers by success rate in steps of 1 / windowSize, for the median.
    private readonly rateHistogram = new Int32Array(outcomeWindowSize + 1);
    private ratedCount = 0;
    private readonly workers: WorkerTable;
    private readonly probeIntervalMs: number;

    constructor(workers: WorkerTable, probeIntervalMs: number) {
        this.workers = workers;
        this.probeIntervalMs = probeIntervalMs;
    }

    /** Records how a task ended on a worker. */
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

    /** Forgets a worker, for example because its row was released. */
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

    /** Marks that a probe was sent. */
    markProbe(row: number): void {
        this.ensureRow(row).isProbing = true;
    }

    /** Marks that a probe ended without saying anything of the worker. */
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

    private computeMedian(): number {
        let below = 0;
        for (let rate = 0; rate <= outcomeWindowSize; rate++) {
            below += this.rateHistogram[rate] as number;
            if (below * 2 > this.ratedCount) {
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
