/**
 * Records of the journal and the table of jobs that they describe.
 */
import type { HostId, JobId } from "@waxwingroute/core";

/** How a task ended, as the journal keeps it. `mayHaveRun`: it was not found running and must not be started again. */
export type JournalOutcome = "succeeded" | "failed" | "stopped" | "mayHaveRun";

export const journalOutcomes = ["succeeded", "failed", "stopped", "mayHaveRun"] as const;

/** Task indexes from `first` to `last`, both included. */
export type IndexRange = readonly [first: number, last: number];

export type JournalRecord =
    /** `spec` is the full specification of the job as a JSON value. `at` is in wall-clock milliseconds. */
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
    /** `state` is a word of the scheduler, for example `succeeded`. */
    | { readonly kind: "jobFinished"; readonly job: JobId; readonly state: string; readonly at: number; }
    /** The first record of each epoch; it fences the writer of the earlier epoch. */
    | { readonly kind: "epochBegun"; readonly epoch: number; readonly host: HostId; readonly at: number; };

/** A job as recovered from the journal. */
export interface JournalJob {
    readonly job: JobId;
    readonly spec: unknown;
    readonly acceptedAt: number;
    /** Tasks with an index at or above this have provably not started. */
    readonly startedThrough: number;
    /** Sorted, disjoint ranges for each outcome. The first outcome of an index is kept. */
    readonly outcomes: Readonly<Partial<Record<JournalOutcome, readonly IndexRange[]>>>;
    readonly cancelledAt: number | undefined;
    readonly finished: { readonly state: string; readonly at: number; } | undefined;
}
