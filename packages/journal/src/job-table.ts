/**
 * The table of jobs that results from the records of a journal.
 */
import { Table } from "@waxwingroute/core";
import type { JobId } from "@waxwingroute/core";
import { match } from "ts-pattern";
import { mergeIndexRanges, normalizeIndexRanges, subtractIndexRanges } from "./index-ranges.js";
import { journalOutcomes } from "./types.js";
import type { JournalJob, JournalRecord } from "./types.js";

/** The jobs of a shard by identifier. */
export type JobTable = Table<JobId, JournalJob>;

/** Returns an empty table. */
export function createJobTable(): JobTable {
    return new Table<JobId, JournalJob>();
}

/** Applies one record. A record of an unknown job is ignored, because the job finished and was removed earlier. */
export function applyJournalRecord(table: JobTable, record: JournalRecord): void {
    match(record)
        .with({ kind: "jobAccepted" }, ({ job, spec, at }) => {
            table.ensure(job, () => ({
                job,
                spec,
                acceptedAt: at,
                startedThrough: 0,
                outcomes: {},
                cancelledAt: undefined,
                finished: undefined,
            }));
        })
        .with({ kind: "windowReserved" }, ({ job, startedThrough }) => {
            updateJob(table, job, row => ({
                ...row,
                startedThrough: Math.max(row.startedThrough, startedThrough),
            }));
        })
        .with({ kind: "outcomesRecorded" }, ({ job, outcome, ranges }) => {
            updateJob(table, job, row => {
                // The first outcome of a task is kept, so indexes that have another outcome are left out.
                const otherOutcomes = journalOutcomes.filter(other => other !== outcome);
                const added = otherOutcomes.reduce(
                    (remaining, other) => subtractIndexRanges(remaining, row.outcomes[other] ?? []),
                    normalizeIndexRanges(ranges),
                );
                const merged = mergeIndexRanges(row.outcomes[outcome] ?? [], added);
                return { ...row, outcomes: { ...row.outcomes, [outcome]: merged } };
            });
        })
        .with({ kind: "jobCancelled" }, ({ job, at }) => {
            updateJob(table, job, row => ({ ...row, cancelledAt: row.cancelledAt ?? at }));
        })
        .with({ kind: "jobFinished" }, ({ job, state, at }) => {
            updateJob(table, job, row => ({ ...row, finished: row.finished ?? { state, at } }));
        })
        .with({ kind: "epochBegun" }, () => {})
        .exhaustive();
}

function updateJob(table: JobTable, job: JobId, update: (row: JournalJob) => JournalJob): void {
    const row = table.get(job);
    if (row !== undefined) {
        table.set(job, update(row));
    }
}

/** Limits on the finished jobs that a checkpoint keeps. */
export interface Retention {
    /** Number of finished jobs that are kept. */
    readonly maxCount: number;
    /** Time for which a job is kept after its end, in ms. */
    readonly maxAgeMs: number;
}

/** Removes the finished jobs that exceed the retention, oldest first. Jobs that have not finished are always kept. */
export function pruneFinishedJobs(table: JobTable, retention: Retention, wallTime: number): void {
    const finished = [...table.values()]
        .flatMap(row => row.finished === undefined ? [] : [{ job: row.job, at: row.finished.at }])
        .sort((first, second) => second.at - first.at);
    finished.forEach(({ job, at }, rank) => {
        if (rank >= retention.maxCount || at < wallTime - retention.maxAgeMs) {
            table.delete(job);
        }
    });
}
