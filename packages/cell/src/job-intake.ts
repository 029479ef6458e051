/**
 * Accepts jobs and cancellations: writes them to the store in batches and answers once they are stored.
 *
 * A job is written on the condition that its key does not exist, so the same id can be submitted any number of times
 * and remains one job. It is also written on the condition that the epoch of the cell is the one in its record, so that
 * a replaced owner that has not noticed yet can tell that it must not start the job. A write without an answer is
 * repeated. If no attempt is answered in time, the outcome is reported as unknown and never as refused, because the
 * store may still carry out a late write.
 */
import type { Clock, Failure, JobId, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { AdaptiveTimeout } from "./adaptive-timeout.js";
import { storeAttemptMs, storeWriteMs } from "./call-times.js";
import type { JobRecord, StoredEpoch } from "./store-keys.js";
import { decodeEpoch, encodeAcceptedJob, epochKey, toCancelKey, toJobKey } from "./store-keys.js";
import type { LeaseStore, StoreItem, StoreWrite } from "./store.js";
import { maxTransactionEntries } from "./store.js";

/** The store, limits and callback of an intake. */
export interface JobIntakeOptions {
    readonly store: LeaseStore;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    /** Called with the items that one transaction stored. */
    readonly onStored?: (items: readonly StoreItem[]) => void;
    /** Longest time until a request is answered, ms. Default 1,500. */
    readonly requestTimeoutMs?: number;
    /** Most transactions in flight. Default 3. */
    readonly maxInFlight?: number;
    /** Longest wait for the answer to one transaction, ms. Default 600. */
    readonly commitTimeoutMs?: number;
}

/** Time without a successful write after which new requests are refused at once, ms. */
const outageMs = 1_000;
/** Retry delay that callers are given during an outage, ms. */
const outageRetryAfterMs = 1_000;
/** Pause before a failed transaction is repeated, ms. */
const retryMs = 60;

/** A job to accept. Its epoch is added at each attempt to store it. */
export type NewJob = Omit<Extract<JobRecord, { kind: "accepted"; }>, "epoch">;

interface PendingWrite {
    readonly job: JobId;
    readonly key: string;
    /** The job to store; `undefined` for a cancellation. */
    readonly record: NewJob | undefined;
    readonly arrivedAt: number;
    /** Whether an attempt had no answer, so that the store may have carried it out. */
    mayBeStored: boolean;
    attempts: number;
    readonly resolve: (result: Result<"stored" | "existed", Failure>) => void;
}

/** Stores the jobs and cancellations that one host accepts. */
export class JobIntake {
    private waiting: PendingWrite[] = [];
    private inFlight = 0;
    private failingSince: number | undefined;
    private isProbing = false;
    private storedEpoch: StoredEpoch = { epoch: 0, revision: 0 };

    private readonly timeout: AdaptiveTimeout;

    constructor(private readonly options: JobIntakeOptions) {
        this.timeout = new AdaptiveTimeout(options.clock, options.commitTimeoutMs ?? storeAttemptMs);
    }

    /** Whether new requests are refused because writes to the store keep failing. */
    get isInOutage(): boolean {
        return this.failingSince !== undefined && this.options.clock.getNow() - this.failingSince > outageMs;
    }

    /** Adopts the epoch of the cell if it is newer than the known one. */
    recordEpoch(storedEpoch: StoredEpoch): void {
        if (storedEpoch.revision > this.storedEpoch.revision) {
            this.storedEpoch = storedEpoch;
        }
    }

    /** Stores a job. `existed` means that it was stored before. */
    submit(job: JobId, record: NewJob): Promise<Result<"stored" | "existed", Failure>> {
        return this.enqueue(job, toJobKey(job), record);
    }

    /** Stores the cancellation of a job. */
    cancel(job: JobId): Promise<Result<"stored" | "existed", Failure>> {
        return this.enqueue(job, toCancelKey(job), undefined);
    }

    private enqueue(
        job: JobId,
        key: string,
        record: NewJob | undefined,
    ): Promise<Result<"stored" | "existed", Failure>> {
        if (this.isInOutage) {
            return Promise.resolve(Err(this.createOutageFailure()));
        }
        return new Promise(resolve => {
            const arrivedAt = this.options.clock.getNow();
            this.waiting.push({ job, key, record, arrivedAt, mayBeStored: false, attempts: 0, resolve });
            this.flush();
        });
    }

    private flush(): void {
        while (this.waiting.length > 0 && this.inFlight < (this.options.maxInFlight ?? 3)) {
            const batch = this.takeBatch();
            this.inFlight += 1;
            this.options.supervisor.start("job commit", { jobs: batch.length }, () =>
                this.commit(batch).finally(() => {
                    this.inFlight -= 1;
                    this.flush();
                }));
        }
    }

    private takeBatch(): PendingWrite[] {
        const batch: PendingWrite[] = [];
        // One entry of the transaction is the condition on the epoch.
        let entries = 1;
        const keys = new Set<string>();
        const deferred: PendingWrite[] = [];
        for (const pending of this.waiting) {
            // A job adds its write and the condition on its key; a cancellation adds only its write.
            const size = pending.record === undefined ? 1 : 2;
            if (entries + size > maxTransactionEntries || keys.has(pending.key)) {
                deferred.push(pending);
            }
            else {
                entries += size;
                keys.add(pending.key);
                batch.push(pending);
            }
        }
        this.waiting = deferred;
        return batch;
    }

    private async commit(batch: PendingWrite[]): Promise<void> {
        const { storedEpoch } = this;
        const writes = batch.map(pending => toWrite(pending, storedEpoch));
        const jobs = batch.filter(pending => pending.record !== undefined);
        const sentAt = this.options.clock.getNow();
        const attempt = Math.max(...batch.map(pending => pending.attempts));
        const committed = await this.options.store.call({
            kind: "commit",
            transaction: {
                conditions: [
                    ...jobs.map(({ key }) => ({ key, revision: 0 })),
                    ...jobs.length === 0 ? [] : [{ key: epochKey, revision: storedEpoch.revision }],
                ],
                writes,
                removals: [],
            },
        }, this.timeout.choose(attempt));
        if (!committed.ok) {
            await this.handleFailure(batch, committed.val);
            return;
        }
        this.failingSince = undefined;
        this.timeout.recordAnswer(sentAt);
        if (committed.val.kind === "committed") {
            const { revision } = committed.val;
            this.options.onStored?.(writes.map(({ key, value }) => ({
                key,
                value,
                revision,
                createdRevision: revision,
            })));
            batch.forEach(pending => pending.resolve(Ok("stored")));
            return;
        }
        this.recordEpoch(decodeEpoch(committed.val.items.find(item => item.key === epochKey)));
        const existing = new Set(committed.val.items.map(item => item.key));
        batch.filter(({ key }) => existing.has(key)).forEach(pending => pending.resolve(Ok("existed")));
        this.waiting.unshift(...batch.filter(({ key }) => !existing.has(key)));
    }

    private async handleFailure(batch: PendingWrite[], failure: Failure): Promise<void> {
        const now = this.options.clock.getNow();
        this.failingSince ??= now;
        const mayBeStored = failure.verdict !== "notRun";
        batch.forEach(pending => {
            pending.mayBeStored ||= mayBeStored;
            pending.attempts += 1;
        });
        const requestTimeoutMs = this.options.requestTimeoutMs ?? storeWriteMs;
        const expired = batch.filter(pending =>
            now - pending.arrivedAt + retryMs > requestTimeoutMs || this.isInOutage
        );
        expired.forEach(pending => this.failWrite(pending, failure));
        const remaining = batch.filter(pending => !expired.includes(pending));
        if (remaining.length > 0) {
            await this.options.clock.wait(retryMs);
            this.waiting.unshift(...remaining);
        }
        else if (this.waiting.length === 0) {
            this.options.supervisor.start("store probe", {}, () => this.probe());
        }
    }

    /**
     * Detects the end of an outage while no request is being written. A read of an unused key shows that the store
     * answers; the next request then tries a write.
     */
    private async probe(): Promise<void> {
        if (this.isProbing) {
            return;
        }
        this.isProbing = true;
        while (this.isInOutage) {
            await this.options.clock.wait(300);
            const read = await this.options.store.call({ kind: "read", key: toJobKey("probe" as JobId) });
            if (read.ok) {
                this.failingSince = undefined;
            }
        }
        this.isProbing = false;
    }

    private failWrite(pending: PendingWrite, failure: Failure): void {
        this.options.logger.write("warn", "request not stored", {
            job: pending.job,
            isUncertain: pending.mayBeStored,
            waitedMs: Math.round(this.options.clock.getNow() - pending.arrivedAt),
            code: failure.code,
            reason: failure.message,
        });
        pending.resolve(Err(
            pending.mayBeStored
                ? createFailure(
                    "outcome-unknown",
                    "the store did not answer, so the outcome is unknown; send the same job id again",
                    "mayHaveRun",
                )
                : this.createOutageFailure(),
        ));
    }

    private createOutageFailure(): Failure {
        return createFailure(
            "store-outage",
            "the store does not accept writes at present",
            "notRun",
            outageRetryAfterMs,
        );
    }
}

function toWrite({ key, record }: PendingWrite, { epoch }: StoredEpoch): StoreWrite {
    return { key, value: record === undefined ? "1" : encodeAcceptedJob({ ...record, epoch }) };
}
