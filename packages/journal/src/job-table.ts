/**
 * The table of jobs that the records of a journal describe.
 */
import { Table } from "@waxwingroute/core";
import type { JobId } from "@waxwingroute/core";
import { match } from "ts-pattern";
import { mergeIndexRanges, normalizeIndexRanges, subtractIndexRanges } from "./index-ranges.js";
import { journalOutcomes } from "./types.js";
import type { JournalJob, JournalRecord } from "./types.js";

export type JobTable = Table<JobId, JournalJob>;

export function createJobTable(): JobTable {
    return new Table<JobId, JournalJob>();
}

/** Applies one record. Records of unknown jobs are ignored: the job finished and was pruned before. */
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
                const others = journalOutcomes.filter(other => other !== outcome);
                const added = others.reduce(
                    (rest, other) => subtractIndexRanges(rest, row.outcomes[other] ?? []),
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
    /** Number of finished jobs. */
    readonly maxCount: number;
    /** Age since the end of a job, in ms. */
    readonly maxAgeMs: number;
}

/** Removes finished jobs beyond the retention, oldest first. Jobs that have not finished are always kept. */
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
