/**
 * Estimates of run times, learned for each job class of a team from the tasks that succeeded.
 *
 * Declared run times are far from accurate, so a declared time is multiplied by the learned ratio of actual to declared
 * time.
 */

/** Statistics of the ratio of actual to declared run time of one job class. */
interface ClassStatistics {
    mean: number;
    variance: number;
    count: number;
}

/** Weight of the newest run in the moving average; about the last 10 runs count. */
const newestWeight = 0.2;

/** Estimates run times by job class. All times are milliseconds. */
export class RunTimeEstimates {
    private readonly classes = new Map<string, ClassStatistics>();
    private readonly defaultRunMs: number;

    constructor(defaultRunMs: number) {
        this.defaultRunMs = defaultRunMs;
    }

    /** Records the run time of a task that succeeded. */
    record(jobClass: string, declaredMs: number | undefined, actualMs: number): void {
        const ratio = actualMs / (declaredMs ?? this.defaultRunMs);
        const known = this.classes.get(jobClass);
        if (known === undefined) {
            this.classes.set(jobClass, { mean: ratio, variance: 0, count: 1 });
            return;
        }
        const weight = Math.max(newestWeight, 1 / (known.count + 1));
        const difference = ratio - known.mean;
        known.mean += weight * difference;
        known.variance = (1 - weight) * (known.variance + weight * difference * difference);
        known.count++;
    }

    /** Returns the expected run time. */
    estimate(jobClass: string, declaredMs: number | undefined): number {
        return (declaredMs ?? this.defaultRunMs) * (this.classes.get(jobClass)?.mean ?? 1);
    }

    /** Returns a run time that few tasks exceed: two standard deviations above the expected run time. */
    estimateUpperBound(jobClass: string, declaredMs: number | undefined): number {
        const known = this.classes.get(jobClass);
        const factor = known === undefined ? 1 : known.mean + 2 * Math.sqrt(known.variance);
        return (declaredMs ?? this.defaultRunMs) * factor;
    }
}
