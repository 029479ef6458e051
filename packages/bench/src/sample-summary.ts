/**
 * Minimum, median and maximum of repeated runs.
 */

export interface SampleSummary {
    readonly count: number;
    readonly minimum: number;
    readonly median: number;
    readonly maximum: number;
}

/** Summarizes values; all figures are `NaN` for an empty list. */
export function aggregateSamples(values: readonly number[]): SampleSummary {
    const sorted = [...values].sort((first, second) => first - second);
    const middle = Math.floor(sorted.length / 2);
    const upper = sorted[middle] ?? Number.NaN;
    const median = sorted.length % 2 === 0 ? ((sorted[middle - 1] ?? Number.NaN) + upper) / 2 : upper;
    return {
        count: sorted.length,
        minimum: sorted[0] ?? Number.NaN,
        median,
        maximum: sorted.at(-1) ?? Number.NaN,
    };
}
