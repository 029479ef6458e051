/**
 * The records of the journal, and a job as they describe it.
 */
import type { HostId, JobId } from "@waxwingroute/core";

/**
 * How a task ended, as recorded in the journal. `mayHaveRun`: the task may have started, was not found running and must
 * not be started again.
 */
export type JournalOutcome = "succeeded" | "failed" | "stopped" | "mayHaveRun";

export const journalOutcomes = ["succeeded", "failed", "stopped", "mayHaveRun"] as const;

/** Task indexes from `first` to `last`, both inclusive. */
export type IndexRange = readonly [first: number, last: number];

/** One record of the journal. `at` is the wall-clock time in ms. */
export type JournalRecord =
    /** `spec` is the full specification of the job as a JSON value. */
    | { readonly kind: "jobAccepted"; readonly job: JobId; readonly spec: unknown; readonly at: number; }
    /** Tasks with an index below `startedThrough` may have started. */
    | { readonly kind: "windowReserved"; readonly job: JobId; readonly startedThrough: number; }
    | {
        readonly kind: "outcomesRecorded";
        readonly job: JobId;
        readonly outcome: JournalOutcome;
        readonly ranges: readonly IndexRange[];
    }
    | { readonly kind: "jobCancelled"; readonly job: JobId; readonly at: number; }
    /** `state` is one of the scheduler's final states of a job, for example `succeeded`. */
    | { readonly kind: "jobFinished"; readonly job: JobId; readonly state: string; readonly at: number; }
    /** The first record of each epoch; it fences the writer of the earlier epoch. */
    | { readonly kind: "epochBegun"; readonly epoch: number; readonly host: HostId; readonly at: number; };

/** A job as the records of the journal describe it. */
export interface JournalJob {
    readonly job: JobId;
    readonly spec: unknown;
    readonly acceptedAt: number;
    /** Tasks with an index at or above this have certainly not started. */
    readonly startedThrough: number;
    /** Sorted, disjoint ranges of each outcome. The first outcome of a task is kept. */
    readonly outcomes: Readonly<Partial<Record<JournalOutcome, readonly IndexRange[]>>>;
    readonly cancelledAt: number | undefined;
    readonly finished: { readonly state: string; readonly at: number; } | undefined;
}
