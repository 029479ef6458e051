/**
 * The journal of a shard: appends records by group commit and keeps the table of jobs that results from them.
 *
 * One commit is in flight at a time. Its entry is created at the next sequence number under the condition that the key
 * does not exist, so that a deposed writer cannot append after a later owner has begun its epoch.
 */
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { Failure, Result, Timer, WriterToken } from "@waxwingroute/core";
import { Checkpointer } from "./checkpointer.js";
import { writeEntry } from "./entry-write.js";
import { beginEpoch } from "./epoch.js";
import { encodeRecord, encodeValue, getEntryKey, parseEntry } from "./format.js";
import { applyJournalRecord } from "./job-table.js";
import type { JobTable } from "./job-table.js";
import { resolveOptions } from "./options.js";
import type { JournalOptions, ResolvedJournalOptions } from "./options.js";
import { createFencedFailure } from "./recovery.js";
import type { JournalContent, StoredEntry } from "./recovery.js";
import type { JournalRecord } from "./types.js";

/** An append without a result. */
interface PendingAppend {
    readonly record: JournalRecord;
    /** The encoded record. */
    readonly text: string;
    readonly resolve: (result: Result<void, Failure>) => void;
    readonly timer: Timer;
    isInFlight: boolean;
}

/**
 * An open journal.
 *
 * @example
 * ```ts
 * const opened = await Journal.open({ shard, epoch, host, store, clock });
 * if (opened.ok) {
 *     const result = await opened.val.append({ kind: "jobAccepted", job, spec, at: clock.getWallTime() });
 * }
 * ```
 */
export class Journal {
    private queue: PendingAppend[] = [];
    private inFlight: readonly PendingAppend[] = [];
    private isCommitting = false;
    private isCheckpointing = false;
    /** Set once the journal is fenced or closed. */
    private failure: Failure | undefined;
    private lastCommitAt = -Infinity;
    private entriesSinceCheckpoint: number;
    private lastSequence: number;
    /** Length in characters of the newest checkpoint and the records after it; after `open`, of all stored values. */
    private totalLength: number;
    private readonly table: JobTable;
    private readonly checkpointer: Checkpointer;

    private constructor(
        private readonly options: ResolvedJournalOptions,
        content: JournalContent,
        fence: StoredEntry,
    ) {
        this.table = content.table;
        this.totalLength = content.totalLength;
        this.lastSequence = fence.sequence;
        this.entriesSinceCheckpoint = fence.sequence - (content.manifest?.value.through ?? 0);
        this.checkpointer = new Checkpointer(options, content);
        this.checkpointer.addEntry(fence);
    }

    /**
     * Reads the journal and begins the epoch, which fences earlier writers. Fails with `journal-fenced` if a later
     * epoch has begun, with `journal-damaged` or `journal-newer-version` (then nothing is written), with
     * `journal-unavailable` if other writers took every sequence number, or with the last failure of the store.
     */
    static async open(options: JournalOptions): Promise<Result<Journal, Failure>> {
        const resolved = resolveOptions(options);
        const started = await beginEpoch(resolved);
        return started.map(({ content, fence }) => new Journal(resolved, content, fence));
    }

    /** Returns the table of jobs as committed. Commits and checkpoints change it; callers must not. */
    getJobs(): JobTable {
        return this.table;
    }

    /** Returns the failure that ended the journal: `journal-fenced` or `journal-closed`. */
    getFailure(): Failure | undefined {
        return this.failure;
    }

    /**
     * Appends a record and resolves after the commit. Fails with verdict `notRun` if the record certainly is not and
     * will not be in the journal, else with `mayHaveRun`: then `getJobs()` shows the record if it is committed later.
     *
     * Codes: `journal-fenced`, `journal-closed`, `journal-timeout`, `journal-full`, `journal-record-too-large`,
     * `journal-bad-record`, `journal-job-exists`.
     */
    append(record: JournalRecord): Promise<Result<void, Failure>> {
        const encoded = encodeRecord(record);
        if (!encoded.ok) {
            return Promise.resolve(encoded);
        }
        const text = encoded.val;
        const refusal = this.failure ?? this.checkRecord(record, text);
        if (refusal !== undefined) {
            return Promise.resolve(Err(refusal));
        }
        return new Promise(resolve => {
            const timer = this.options.clock.schedule(this.options.appendTimeoutMs, () => this.expireAppend(pending));
            const pending: PendingAppend = { record, text, resolve, timer, isInFlight: false };
            this.queue.push(pending);
            void this.commitQueue();
        });
    }

    /** Refuses further appends, and pending ones that are not in flight. */
    close(): void {
        this.fail(
            createFailure(
                "journal-closed",
                `the journal of "${this.options.shard}" is closed in this process`,
                "notRun",
            ),
            [],
        );
    }

    /** Returns why a record cannot be appended, or `undefined` if it can. */
    private checkRecord(record: JournalRecord, text: string): Failure | undefined {
        const { maxValueLength, maxTotalLength, shard } = this.options;
        // 64 is an upper bound of the length of an entry without its records.
        if (text.length + 64 > maxValueLength) {
            const message =
                `a ${record.kind} record of ${text.length} characters exceeds the limit of ${maxValueLength}`;
            return createFailure("journal-record-too-large", message, "notRun");
        }
        if (record.kind !== "jobAccepted") {
            return undefined;
        }
        const isKnown = this.table.has(record.job)
            || [...this.inFlight, ...this.queue].some(({ record: other }) =>
                other.kind === "jobAccepted" && other.job === record.job
            );
        if (isKnown) {
            return createFailure(
                "journal-job-exists",
                `job "${record.job}" is already in the journal of "${shard}"`,
                "notRun",
            );
        }
        return this.totalLength + text.length > maxTotalLength
            ? createFailure(
                "journal-full",
                `the jobs of "${shard}" exceed ${maxTotalLength} characters: cancel jobs, or submit to another zone`,
                "notRun",
            )
            : undefined;
    }

    /** Fails an append at its timeout. A record in flight stays in its batch, which can still be committed. */
    private expireAppend(pending: PendingAppend): void {
        const { appendTimeoutMs, shard } = this.options;
        const message = `no commit in the journal of "${shard}" within ${appendTimeoutMs} ms`;
        if (!pending.isInFlight) {
            this.queue = this.queue.filter(other => other !== pending);
        }
        pending.resolve(Err(createFailure("journal-timeout", message, pending.isInFlight ? "mayHaveRun" : "notRun")));
    }

    /** Commits the queue in batches, at intervals of at least `commitIntervalMs`, until it is empty. */
    private async commitQueue(): Promise<void> {
        if (this.isCommitting) {
            return;
        }
        this.isCommitting = true;
        while (this.queue.length > 0 && this.failure === undefined) {
            const { clock, commitIntervalMs } = this.options;
            const waitMs = this.lastCommitAt + commitIntervalMs - clock.getNow();
            if (waitMs > 0) {
                await clock.wait(waitMs);
                continue;
            }
            this.lastCommitAt = clock.getNow();
            this.inFlight = this.takeBatch();
            await this.commitBatch(this.inFlight);
            this.inFlight = [];
            this.startCheckpointIfDue();
        }
        this.isCommitting = false;
    }

    /** Removes as many appends from the queue as one value holds, but at least one. */
    private takeBatch(): PendingAppend[] {
        // Upper bound of the length of an entry without its records, as in `checkRecord`.
        let length = 64;
        let count = 0;
        for (const { text } of this.queue) {
            length += text.length + 1;
            if (count > 0 && length > this.options.maxValueLength) {
                break;
            }
            count++;
        }
        return this.queue.splice(0, count);
    }

    /**
     * Commits a batch. Returns it to the queue if the store was not reached. Once an attempt may have taken effect,
     * retries with the same key and token until the outcome is known or the journal has ended.
     */
    private async commitBatch(batch: readonly PendingAppend[]): Promise<void> {
        const { shard, epoch, store, random, clock, retryIntervalMs } = this.options;
        const token = toId<WriterToken>(`${epoch}.${random.getHex(24)}`);
        const sequence = this.lastSequence + 1;
        const key = getEntryKey(shard, sequence);
        // The records are encoded already, so they are inserted into the encoded entry as they are.
        const value = `{${encodeValue({ epoch }).slice(1, -1)},"records":[${batch.map(({ text }) => text).join(",")}]}`;
        let mayHaveTakenEffect = false;
        batch.forEach(pending => {
            pending.isInFlight = true;
        });
        for (;;) {
            const written = await writeEntry(store, key, value, token);
            if (written.kind === "written") {
                this.completeBatch(batch, { key, sequence, revision: written.revision });
                return;
            }
            if (written.kind === "occupied") {
                await this.failFenced(key, batch);
                return;
            }
            mayHaveTakenEffect ||= written.kind === "unknown";
            if (!mayHaveTakenEffect) {
                this.returnToQueue(batch);
                await clock.wait(retryIntervalMs);
                return;
            }
            if (this.failure !== undefined) {
                this.resolveAll(batch, Err({ ...this.failure, verdict: "mayHaveRun" }));
                return;
            }
            await clock.wait(retryIntervalMs);
        }
    }

    /** Puts a batch that was not sent back at the head of the queue. */
    private returnToQueue(batch: readonly PendingAppend[]): void {
        batch.forEach(pending => {
            pending.isInFlight = false;
        });
        this.queue = [...batch, ...this.queue];
        if (this.failure !== undefined) {
            this.fail(this.failure, []);
        }
    }

    /** Applies the records of a committed batch to the table and resolves its appends. */
    private completeBatch(
        batch: readonly PendingAppend[],
        entry: { readonly key: string; readonly sequence: number; readonly revision: number; },
    ): void {
        this.lastSequence = entry.sequence;
        this.entriesSinceCheckpoint++;
        this.checkpointer.addEntry({ ...entry, isFence: false });
        for (const { record, text } of batch) {
            applyJournalRecord(this.table, record);
            this.totalLength += text.length;
        }
        this.resolveAll(batch, Ok(undefined));
    }

    /** Ends the journal because the entry of a later owner was found, and names the epoch of that entry. */
    private async failFenced(key: string, batch: readonly PendingAppend[]): Promise<void> {
        const { store, shard, epoch, onFenced } = this.options;
        const entry = await store.read(key);
        const parsed = entry.ok && entry.val !== undefined ? parseEntry(key, entry.val.value) : undefined;
        const failure = createFencedFailure(shard, epoch, parsed?.ok === true ? parsed.val.epoch : undefined);
        this.fail(failure, batch);
        onFenced?.(failure);
    }

    /** Ends the journal and fails the queue and the given batch. */
    private fail(failure: Failure, batch: readonly PendingAppend[]): void {
        this.failure ??= failure;
        const failedAppends = [...batch, ...this.queue];
        this.queue = [];
        this.resolveAll(failedAppends, Err(failure));
    }

    private resolveAll(appends: readonly PendingAppend[], result: Result<void, Failure>): void {
        for (const { resolve, timer } of appends) {
            timer.cancel();
            resolve(result);
        }
    }

    private startCheckpointIfDue(): void {
        const isDue = this.entriesSinceCheckpoint >= this.options.entriesPerCheckpoint;
        if (isDue && !this.isCheckpointing && this.failure === undefined) {
            void this.runCheckpoint();
        }
    }

    private async runCheckpoint(): Promise<void> {
        this.isCheckpointing = true;
        this.entriesSinceCheckpoint = 0;
        const lengthBefore = this.totalLength;
        const result = await this.checkpointer.writeCheckpoint(this.table, this.lastSequence);
        if (result.ok) {
            this.totalLength += result.val - lengthBefore;
        }
        else {
            this.options.onCheckpointFailed?.(result.val);
        }
        this.isCheckpointing = false;
    }
}
