/**
 * Stores what the owner learned: the ends of runs and of jobs, in batches, with a few transactions in flight.
 *
 * The run ends of a batch share one key, which is removed once all of their jobs have ended. The end of a job replaces
 * the job's record by its final state. Every transaction is conditional on the owner key, so a replaced owner writes
 * nothing.
 */
import type { Clock, JobId } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { RunEnd } from "@waxwingroute/workflow";
import { parseTaskKey } from "@waxwingroute/workflow";
import { AdaptiveTimeout } from "./adaptive-timeout.js";
import type { StoredEnd } from "./end-acknowledgements.js";
import type { OwnershipTerm } from "./lease-ownership.js";
import type { FinishedJobRecord } from "./store-keys.js";
import { encodeFinishedJob, encodeRunEnds, ownerKey, toCancelKey, toJobKey, toRunEndsKey } from "./store-keys.js";
import type { LeaseStore, StoreItem, StoreWrite } from "./store.js";
import { maxTransactionEntries } from "./store.js";

/** The store, term, retention and callbacks of a journal. */
export interface OwnerJournalOptions {
    readonly store: LeaseStore;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    readonly term: OwnershipTerm;
    /** How long records of finished jobs are kept, ms. */
    readonly retentionMs: number;
    /** Called when the owner key is not that of the term, so that another host may own the cell. */
    readonly onConflict: () => void;
    /** Called when the record of a finished job is removed after its retention. */
    readonly onExpired: (job: JobId) => void;
}

/** A job that has ended, with its final state. */
export interface FinishedJob extends Omit<FinishedJobRecord, "kind"> {
    readonly job: JobId;
    /** Whether a cancellation of the job is stored, which is removed with the end of the job. */
    readonly hasStoredCancellation: boolean;
}

/** Longest time that records wait to be committed together, ms. */
const batchDelayMs = 30;
/** Longest wait for the answer to one transaction, ms. */
const commitTimeoutMs = 600;
/** Pause after a failed transaction, ms. */
const retryMs = 100;
/** Most run ends in one batch, so that its value stays far below the store's size limit. */
const maxEndsPerBatch = 400;

/** Most transactions in flight; several, so that the delays of a slow store do not add up from batch to batch. */
const maxInFlight = 3;

/** Most runs that a log line names. */
const maxLoggedRuns = 50;

interface PendingRunEnd {
    readonly end: RunEnd;
    readonly onStored: (stored: StoredEnd) => void;
}

interface PendingJobEnd {
    readonly finished: FinishedJob;
    readonly onStored: () => void;
}

/** What one transaction writes and removes. */
interface Batch {
    readonly number: number;
    readonly runEnds: readonly PendingRunEnd[];
    readonly jobEnds: readonly PendingJobEnd[];
    readonly ownerWrites: readonly PendingOwnerWrite[];
    readonly removals: readonly string[];
}

/** A value that the owner stores with `recordWrite`. */
interface PendingOwnerWrite {
    readonly write: StoreWrite;
    readonly onStored: () => void;
}

/**
 * Writes the owner's records in batches, and removes them when they are no longer needed. The keys hold current values,
 * not a history.
 */
export class OwnerJournal {
    private runEnds: PendingRunEnd[] = [];
    private jobEnds: PendingJobEnd[] = [];
    private ownerWrites: PendingOwnerWrite[] = [];
    private removals: string[] = [];
    /** Revisions of the keys that `recordWrite` writes, as conditions, so that a late write cannot undo a newer one. */
    private readonly revisions = new Map<string, number>();
    private isOwnerWriteInFlight = false;
    private readonly openJobsByBatch = new Map<string, Set<JobId>>();
    private readonly batchesByJob = new Map<JobId, Set<string>>();
    private readonly expiries: { readonly job: JobId; readonly at: number; }[] = [];
    private nextBatchNumber = 1;
    private inFlight = 0;
    private isScheduled = false;
    /** Jobs whose end is stored; batches with the ends of their runs need not be kept. */
    private readonly finished = new Set<JobId>();
    private isClosed = false;
    private term: OwnershipTerm;
    private retentionMs: number;
    private readonly batchesInFlight = new Set<Batch>();
    private lastStored: StoredEnd = {};
    private readonly timeout: AdaptiveTimeout;

    constructor(private readonly options: OwnerJournalOptions) {
        this.term = options.term;
        this.retentionMs = options.retentionMs;
        this.timeout = new AdaptiveTimeout(options.clock, commitTimeoutMs);
    }

    /** Number of records that are not stored yet. */
    get backlog(): number {
        return this.runEnds.length + this.jobEnds.length + this.ownerWrites.length;
    }

    /** Continues with the owner key of a new term. */
    setTerm(term: OwnershipTerm): void {
        this.term = term;
    }

    /** Sets how long records of jobs that finish from now on are kept, ms. */
    setRetention(retentionMs: number): void {
        this.retentionMs = retentionMs;
    }

    /** Stops committing; records that are not stored yet are dropped. */
    close(): void {
        if (!this.isClosed) {
            this.logClose();
        }
        this.isClosed = true;
    }

    /** Logs what is stored and which ends may not be, so that the next owner's view can be compared with it. */
    private logClose(): void {
        const inFlight = [...this.batchesInFlight];
        const sent = inFlight.flatMap(batch => batch.runEnds);
        const unsent = this.runEnds;
        this.options.logger.write("info", "journal closed", {
            epoch: this.term.epoch,
            lastBatch: this.lastStored.batch,
            lastRevision: this.lastStored.revision,
            batchesInFlight: inFlight.length,
            endsInFlight: sent.length,
            jobEndsInFlight: inFlight.reduce((sum, batch) => sum + batch.jobEnds.length, 0),
            endsWaiting: unsent.length,
            jobEndsWaiting: this.jobEnds.length,
            runs: [...sent, ...unsent].slice(0, maxLoggedRuns).map(({ end }) => `${end.task}#${end.run}`).join(" "),
        });
    }

    /** Sets the current revision of a key before its first `recordWrite`. */
    setRevision(key: string, revision: number): void {
        this.revisions.set(key, revision);
    }

    /** Tracks a batch that an earlier owner stored, to remove it once its jobs have ended. */
    adoptBatch(key: string, ends: readonly RunEnd[], isOpen: (job: JobId) => boolean): void {
        this.trackBatch(key, ends.map(end => end).filter(end => isOpen(getJobOfRun(end))));
        this.removeEmptyBatch(key);
    }

    /** Tracks the stored record of a finished job, to remove it after its retention. */
    adoptFinished(job: JobId): void {
        this.finished.add(job);
        this.expiries.push({ job, at: this.options.clock.getNow() + this.retentionMs });
    }

    /** Stores the end of a run. */
    recordEnd(end: RunEnd, onStored: (stored: StoredEnd) => void): void {
        this.runEnds.push({ end, onStored });
        this.schedule();
    }

    /** Stores the end of a job. */
    recordFinished(finished: FinishedJob, onStored: () => void): void {
        this.jobEnds.push({ finished, onStored });
        this.schedule();
    }

    /** Stores a value such as the roster. These writes are stored one at a time, in order. */
    recordWrite(write: StoreWrite, onStored: () => void): void {
        this.ownerWrites.push({ write, onStored });
        this.schedule();
    }

    /** Removes keys with the next transaction. */
    removeKeys(keys: readonly string[]): void {
        this.removals.push(...keys);
    }

    private schedule(): void {
        if (!this.isScheduled && this.inFlight < maxInFlight && this.backlog > 0) {
            this.isScheduled = true;
            this.options.clock.schedule(batchDelayMs, () => {
                this.isScheduled = false;
                if (!this.isClosed) {
                    const batch = this.takeBatch();
                    this.options.supervisor.start("journal", { batch: batch.number }, () => this.store(batch));
                    this.schedule();
                }
            });
        }
    }

    /** Commits a batch, with retries until it is stored or the journal is closed. */
    private async store(batch: Batch): Promise<void> {
        this.inFlight += 1;
        this.batchesInFlight.add(batch);
        try {
            for (let attempt = 0; !this.isClosed && !await this.commit(batch, attempt); attempt++) {
                await this.options.clock.wait(retryMs);
            }
        }
        finally {
            this.inFlight -= 1;
            this.batchesInFlight.delete(batch);
            this.schedule();
        }
    }

    private takeBatch(): Batch {
        this.expireFinished();
        // One entry is the condition on the owner key and one the run ends; a write of `recordWrite` needs two more.
        let entries = 2;
        const ownerWrites = this.isOwnerWriteInFlight ? [] : this.ownerWrites.splice(0, 1);
        this.isOwnerWriteInFlight ||= ownerWrites.length > 0;
        entries += 2 * ownerWrites.length;
        const jobEnds: PendingJobEnd[] = [];
        while (this.jobEnds.length > 0 && entries + 2 <= maxTransactionEntries) {
            const pending = this.jobEnds.shift()!;
            entries += pending.finished.hasStoredCancellation ? 2 : 1;
            jobEnds.push(pending);
        }
        const runEnds = this.runEnds.splice(0, maxEndsPerBatch);
        const removals = this.removals.splice(0, maxTransactionEntries - entries);
        const number = this.nextBatchNumber;
        this.nextBatchNumber += 1;
        return { number, runEnds: runEnds, jobEnds: jobEnds, ownerWrites, removals };
    }

    private async commit(batch: Batch, attempt: number): Promise<boolean> {
        const finished = new Set(batch.jobEnds.map(pending => pending.finished.job));
        const openEnds = batch.runEnds.map(pending => pending.end).filter(end => !finished.has(getJobOfRun(end)));
        const key = toRunEndsKey(this.term.epoch, batch.number);
        const writes: StoreWrite[] = [
            ...batch.ownerWrites.map(pending => pending.write),
            ...batch.jobEnds.map(({ finished }) => ({
                key: toJobKey(finished.job),
                value: encodeFinishedJob(finished),
            })),
        ];
        if (openEnds.length > 0) {
            writes.push({ key, value: encodeRunEnds(openEnds) });
        }
        const cancelKeys = batch.jobEnds.filter(pending => pending.finished.hasStoredCancellation)
            .map(pending => toCancelKey(pending.finished.job));
        const sentAt = this.options.clock.getNow();
        const committed = await this.options.store.call({
            kind: "commit",
            transaction: {
                conditions: [
                    { key: ownerKey, revision: this.term.revision },
                    ...batch.ownerWrites.map(({ write: { key } }) => ({ key, revision: this.revisions.get(key) ?? 0 })),
                ],
                writes,
                removals: [...batch.removals, ...cancelKeys],
            },
        }, this.timeout.choose(attempt));
        if (!committed.ok) {
            this.logFailure(batch, committed.val.message);
            return false;
        }
        this.timeout.recordAnswer(sentAt);
        if (committed.val.kind === "conflict") {
            this.handleConflict(batch, committed.val.items);
            return false;
        }
        const { revision } = committed.val;
        batch.ownerWrites.forEach(({ write: { key: written } }) => this.revisions.set(written, revision));
        this.isOwnerWriteInFlight &&= batch.ownerWrites.length === 0;
        this.trackBatch(key, openEnds.filter(end => !this.finished.has(getJobOfRun(end))));
        if (openEnds.length > 0) {
            this.removeEmptyBatch(key);
        }
        this.lastStored = { batch: key, revision };
        this.complete(batch, this.lastStored);
        return true;
    }

    /** Distinguishes a lost lease from an earlier attempt of this owner that was carried out late. */
    private handleConflict(batch: Batch, items: readonly StoreItem[]): void {
        const owner = items.find(item => item.key === ownerKey);
        if (owner?.revision !== this.term.revision) {
            this.logFailure(batch, "the owner key changed");
            this.options.onConflict();
            return;
        }
        for (const { write: { key } } of batch.ownerWrites) {
            this.revisions.set(key, items.find(item => item.key === key)?.revision ?? 0);
        }
        this.logFailure(batch, "an earlier attempt was carried out late");
    }

    private logFailure(batch: Batch, reason: string): void {
        this.options.logger.write("warn", "commit failed", {
            reason,
            ends: batch.runEnds.length,
            finished: batch.jobEnds.length,
            backlog: this.backlog,
        });
    }

    private complete(batch: Batch, stored: StoredEnd): void {
        for (const { finished: { job } } of batch.jobEnds) {
            this.expiries.push({ job, at: this.options.clock.getNow() + this.retentionMs });
            this.finished.add(job);
            const keys = this.batchesByJob.get(job) ?? new Set();
            this.batchesByJob.delete(job);
            for (const key of keys) {
                this.openJobsByBatch.get(key)?.delete(job);
                this.removeEmptyBatch(key);
            }
        }
        for (const { onStored } of [...batch.ownerWrites, ...batch.runEnds, ...batch.jobEnds]) {
            this.options.supervisor.run("stored record", { batch: batch.number }, () => onStored(stored));
        }
    }

    private trackBatch(key: string, ends: readonly RunEnd[]): void {
        const jobs = new Set(ends.map(getJobOfRun));
        this.openJobsByBatch.set(key, jobs);
        for (const job of jobs) {
            const keys = this.batchesByJob.get(job) ?? new Set();
            keys.add(key);
            this.batchesByJob.set(job, keys);
        }
        if (ends.length === 0) {
            this.openJobsByBatch.delete(key);
        }
    }

    private removeEmptyBatch(key: string): void {
        const jobs = this.openJobsByBatch.get(key);
        if (jobs === undefined || jobs.size === 0) {
            this.openJobsByBatch.delete(key);
            this.removals.push(key);
        }
    }

    private expireFinished(): void {
        const now = this.options.clock.getNow();
        while (
            this.expiries.length > 0 && this.expiries[0]!.at <= now && this.removals.length < maxTransactionEntries
        ) {
            const { job } = this.expiries.shift()!;
            this.finished.delete(job);
            this.options.onExpired(job);
            this.removals.push(toJobKey(job));
        }
    }
}

/** Returns an empty id, which is that of no job, for a task key that cannot be parsed. */
function getJobOfRun(end: RunEnd): JobId {
    return parseTaskKey(end.task)?.job ?? "" as JobId;
}
