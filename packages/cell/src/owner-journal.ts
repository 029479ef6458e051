/**
 * Commits what the owner learned: ends of runs and ends of jobs, in groups, one transaction at a time.
 *
 * A batch of ends is one key; the end of a job replaces the job's record by its state. A batch whose jobs have all ended is
 * removed. Every transaction is conditional on the owner key, so a deposed owner writes nothing.
 */
import type { Clock, JobId, QueueId } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { JobState, RunEnd } from "@waxwingroute/workflow";
import { parseTaskKey } from "@waxwingroute/workflow";
import type { Tenure } from "./lease-ownership.js";
import { encodeEnds, encodeFinishedJob, ownerKey, toCancelKey, toEndsKey, toJobKey } from "./store-keys.js";
import type { LeaseStore, StoreWrite } from "./store.js";
import { maxTransactionEntries } from "./store.js";

export interface OwnerJournalOptions {
    readonly store: LeaseStore;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly tenure: Tenure;
    /** How long records of finished jobs are kept, ms. */
    readonly retentionMs: number;
    /** The owner key is not the one of the tenure. */
    readonly onConflict: () => void;
}

export interface FinishedJob {
    readonly job: JobId;
    readonly queue: QueueId;
    readonly state: JobState;
    /** Whether a cancellation is stored beside the record. */
    readonly hasCancel: boolean;
}

/** Longest time that records wait for others, ms. */
const groupMs = 30;
/** Bound of one transaction, ms. */
const commitTimeoutMs = 600;
/** Pause after a failed transaction, ms. */
const retryMs = 100;
/** Most ends in one batch, so that its value stays far below the bound of the store. */
const maxEndsPerBatch = 400;

interface PendingEnd {
    readonly end: RunEnd;
    readonly onStored: () => void;
}

interface PendingFinish {
    readonly finished: FinishedJob;
    readonly onStored: () => void;
}

/** What one transaction carries. */
interface Batch {
    readonly ends: readonly PendingEnd[];
    readonly finishes: readonly PendingFinish[];
    readonly others: readonly PendingWrite[];
    readonly removals: readonly string[];
}

interface PendingWrite {
    readonly write: StoreWrite;
    readonly onStored: () => void;
}

export class OwnerJournal {
    private ends: PendingEnd[] = [];
    private finishes: PendingFinish[] = [];
    private others: PendingWrite[] = [];
    private removals: string[] = [];
    private readonly openJobsByBatch = new Map<string, Set<JobId>>();
    private readonly batchesByJob = new Map<JobId, Set<string>>();
    private readonly expiries: { readonly job: JobId; readonly at: number; }[] = [];
    private nextNumber = 1;
    private isRunning = false;
    private isClosed = false;
    private tenure: Tenure;

    constructor(private readonly options: OwnerJournalOptions) {
        this.tenure = options.tenure;
    }

    /** Number of records that are not stored yet. */
    get backlog(): number {
        return this.ends.length + this.finishes.length + this.others.length;
    }

    setTenure(tenure: Tenure): void {
        this.tenure = tenure;
        this.nextNumber = 1;
    }

    close(): void {
        this.isClosed = true;
    }

    /** Takes over a batch that an earlier owner stored. */
    adoptBatch(key: string, ends: readonly RunEnd[], isOpen: (job: JobId) => boolean): void {
        this.trackBatch(key, ends.map(end => end).filter(end => isOpen(getJob(end))));
        this.dropEmptyBatch(key);
    }

    /** Takes over the record of a finished job, to remove it after its retention. */
    adoptFinished(job: JobId): void {
        this.expiries.push({ job, at: this.options.clock.getNow() + this.options.retentionMs });
    }

    recordEnd(end: RunEnd, onStored: () => void): void {
        this.ends.push({ end, onStored });
        this.schedule();
    }

    recordFinished(finished: FinishedJob, onStored: () => void): void {
        this.finishes.push({ finished, onStored });
        this.schedule();
    }

    /** Stores another value of the owner. */
    recordWrite(write: StoreWrite, onStored: () => void): void {
        this.others.push({ write, onStored });
        this.schedule();
    }

    /** Removes keys with the next transaction. */
    removeKeys(keys: readonly string[]): void {
        this.removals.push(...keys);
    }

    private schedule(): void {
        if (!this.isRunning) {
            this.isRunning = true;
            void this.run();
        }
    }

    private async run(): Promise<void> {
        while (this.backlog > 0 && !this.isClosed) {
            await this.options.clock.wait(groupMs);
            const batch = this.takeBatch();
            while (!this.isClosed && !await this.commit(batch)) {
                await this.options.clock.wait(retryMs);
            }
        }
        this.isRunning = false;
    }

    private takeBatch(): Batch {
        this.expireFinished();
        // One entry is the condition and one the batch of ends.
        let entries = 2;
        const others = this.others.splice(0, 2);
        entries += others.length;
        const finishes: PendingFinish[] = [];
        while (this.finishes.length > 0 && entries + 2 <= maxTransactionEntries) {
            const pending = this.finishes.shift()!;
            entries += pending.finished.hasCancel ? 2 : 1;
            finishes.push(pending);
        }
        const ends = this.ends.splice(0, maxEndsPerBatch);
        const removals = this.removals.splice(0, maxTransactionEntries - entries);
        return { ends, finishes, others, removals };
    }

    private async commit(batch: Batch): Promise<boolean> {
        const finished = new Set(batch.finishes.map(pending => pending.finished.job));
        const kept = batch.ends.map(pending => pending.end).filter(end => !finished.has(getJob(end)));
        const key = toEndsKey(this.tenure.epoch, this.nextNumber);
        const writes: StoreWrite[] = [
            ...batch.others.map(pending => pending.write),
            ...batch.finishes.map(({ finished: { job, state, queue } }) => ({
                key: toJobKey(job),
                value: encodeFinishedJob(state, queue),
            })),
        ];
        if (kept.length > 0) {
            writes.push({ key, value: encodeEnds(kept) });
        }
        const cancels = batch.finishes.filter(pending => pending.finished.hasCancel)
            .map(pending => toCancelKey(pending.finished.job));
        const committed = await this.options.store.call({
            kind: "commit",
            transaction: {
                conditions: [{ key: ownerKey, revision: this.tenure.revision }],
                writes,
                removals: [...batch.removals, ...cancels],
            },
        }, commitTimeoutMs);
        if (!committed.ok || committed.val.kind === "conflict") {
            const reason = committed.ok ? "the owner key changed" : committed.val.message;
            this.options.logger.write("warn", "commit failed", {
                reason,
                ends: batch.ends.length,
                finished: batch.finishes.length,
                backlog: this.backlog,
            });
            if (committed.ok) {
                this.options.onConflict();
            }
            return false;
        }
        this.nextNumber += 1;
        this.trackBatch(key, kept);
        this.complete(batch);
        return true;
    }

    private complete(batch: Batch): void {
        for (const { finished: { job } } of batch.finishes) {
            this.expiries.push({ job, at: this.options.clock.getNow() + this.options.retentionMs });
            const keys = this.batchesByJob.get(job) ?? new Set();
            this.batchesByJob.delete(job);
            for (const key of keys) {
                this.openJobsByBatch.get(key)?.delete(job);
                this.dropEmptyBatch(key);
            }
        }
        batch.others.forEach(pending => pending.onStored());
        batch.ends.forEach(pending => pending.onStored());
        batch.finishes.forEach(pending => pending.onStored());
    }

    private trackBatch(key: string, ends: readonly RunEnd[]): void {
        const jobs = new Set(ends.map(getJob));
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

    private dropEmptyBatch(key: string): void {
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
            this.removals.push(toJobKey(this.expiries.shift()!.job));
        }
    }
}

function getJob(end: RunEnd): JobId {
    return parseTaskKey(end.task)?.job ?? "" as JobId;
}
