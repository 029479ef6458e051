/**
 * Accepts jobs and cancellations: writes them to the store in batches and answers once they are stored.
 *
 * A job is written on the condition that its key does not exist, so the same id can be submitted any number of times
 * and remains one job. It is also written on the condition that the epoch of the cell is the one in its record, so that
 * a replaced owner that has not noticed yet can tell that it must not start the job. A write without an answer is
 * repeated. If no attempt is answered in time, the outcome is reported as unknown and never as refused, because the
 * store may still carry out a late write.
 *
 * A job can be cancelled while its submission is still on its way: in a socket of a paused host, in the memory of a host,
 * or to the store. Such a cancellation is stored under a key of its own, on the condition that the job is not stored, and a
 * job is written on the condition that this key does not exist. So only one of both is stored, in whatever order and
 * however late they arrive. The store removes these cancellations by itself after `earlyCancellationMs`.
 */
import type { Clock, Failure, JobId, Result, TeamId } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { match } from "ts-pattern";
import { AdaptiveTimeout } from "./adaptive-timeout.js";
import { storeAttemptMs, storeWriteMs } from "./call-times.js";
import { ExpiringLease } from "./expiring-lease.js";
import type { JobRecord, StoredEpoch } from "./store-keys.js";
import {
    decodeEpoch,
    decodeJobRecord,
    encodeAcceptedJob,
    epochKey,
    toCancelKey,
    toEarlyCancelKey,
    toJobKey,
} from "./store-keys.js";
import type { LeaseStore, StoreCondition, StoreItem, StoreWrite } from "./store.js";
import { maxTransactionEntries, storeFailures } from "./store.js";

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
    /** How long cancellations of jobs that were not stored are kept, ms. Default 120,000. */
    readonly earlyCancellationMs?: number;
    /** Most such cancellations of one team that this host keeps. Default 1,000. */
    readonly maxEarlyCancellations?: number;
}

/** Time without a successful write after which new requests are refused at once, ms. */
const outageMs = 1_000;
/** Retry delay that callers are given during an outage, ms. */
const outageRetryAfterMs = 1_000;
/** Pause before a failed transaction is repeated, ms. */
const retryMs = 60;

const defaultEarlyCancellationMs = 120_000;
const defaultMaxEarlyCancellations = 1_000;
/** Longest retry delay of a team that has too many early cancellations, ms. */
const maxQuotaRetryMs = 10_000;

/** A job to accept. Its epoch is added at each attempt to store it. */
export type NewJob = Omit<Extract<JobRecord, { kind: "accepted"; }>, "epoch">;

/**
 * What a write did. `existed`: the job was stored before. `taken`: a job of another team is stored under the id.
 * `cancelled`: the job was cancelled before it could be stored.
 */
export type IntakeOutcome = "stored" | "existed" | "taken" | "cancelled";

/** What is to be stored. `earlyCancellation`: only if the job is not. */
type IntakeContent =
    | { readonly kind: "job"; readonly record: NewJob; }
    | { readonly kind: "cancellation"; }
    | { readonly kind: "earlyCancellation"; readonly team: TeamId; };

interface PendingWrite {
    readonly job: JobId;
    readonly content: IntakeContent;
    readonly arrivedAt: number;
    /** Whether an attempt had no answer, so that the store may have carried it out. */
    mayBeStored: boolean;
    attempts: number;
    readonly resolve: (result: Result<IntakeOutcome, Failure>) => void;
}

/** Stores the jobs and cancellations that one host accepts. */
export class JobIntake {
    private waiting: PendingWrite[] = [];
    private inFlight = 0;
    private failingSince: number | undefined;
    private isProbing = false;
    private storedEpoch: StoredEpoch = { epoch: 0, revision: 0 };

    private readonly timeout: AdaptiveTimeout;
    private readonly earlyLease: ExpiringLease;
    /** Times at which the early cancellations of each team were stored, the oldest first. */
    private readonly earlyTimes = new Map<TeamId, number[]>();

    constructor(private readonly options: JobIntakeOptions) {
        const { clock, commitTimeoutMs = storeAttemptMs, store } = options;
        this.timeout = new AdaptiveTimeout(clock, commitTimeoutMs);
        this.earlyLease = new ExpiringLease({
            store,
            clock,
            keepMs: this.earlyCancellationMs,
            timeoutMs: commitTimeoutMs,
        });
    }

    private get earlyCancellationMs(): number {
        return this.options.earlyCancellationMs ?? defaultEarlyCancellationMs;
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

    /** Stores a job. */
    submit(job: JobId, record: NewJob): Promise<Result<IntakeOutcome, Failure>> {
        return this.enqueue(job, { kind: "job", record });
    }

    /** Stores the cancellation of a stored job. */
    cancel(job: JobId): Promise<Result<IntakeOutcome, Failure>> {
        return this.enqueue(job, { kind: "cancellation" });
    }

    /**
     * Stores the cancellation of a job of the team that is not stored, so that it will not be. `existed`: the job was
     * stored meanwhile, and the cancellation is not. Fails with `notRun` if the team has too many.
     */
    cancelEarly(job: JobId, team: TeamId): Promise<Result<IntakeOutcome, Failure>> {
        const now = this.options.clock.getNow();
        const times = (this.earlyTimes.get(team) ?? []).filter(time => now - time < this.earlyCancellationMs);
        if (times.length >= (this.options.maxEarlyCancellations ?? defaultMaxEarlyCancellations)) {
            return Promise.resolve(Err(createFailure(
                "too-many-early-cancellations",
                "the team has cancelled too many jobs that were not submitted",
                "notRun",
                Math.min(maxQuotaRetryMs, times[0]! + this.earlyCancellationMs - now),
            )));
        }
        times.push(now);
        this.earlyTimes.set(team, times);
        return this.enqueue(job, { kind: "earlyCancellation", team });
    }

    private enqueue(job: JobId, content: IntakeContent): Promise<Result<IntakeOutcome, Failure>> {
        if (this.isInOutage) {
            return Promise.resolve(Err(this.createOutageFailure()));
        }
        return new Promise(resolve => {
            const arrivedAt = this.options.clock.getNow();
            this.waiting.push({ job, content, arrivedAt, mayBeStored: false, attempts: 0, resolve });
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
        // A job and its early cancellation exclude each other, so they cannot be in one transaction.
        const jobs = new Set<JobId>();
        // Early cancellations need a lease, which must not delay others.
        const isEarly = this.waiting[0]?.content.kind === "earlyCancellation";
        const deferred: PendingWrite[] = [];
        for (const pending of this.waiting) {
            const size = 1 + listConditions(pending).length;
            const fits = entries + size <= maxTransactionEntries && !jobs.has(pending.job)
                && (pending.content.kind === "earlyCancellation") === isEarly;
            if (!fits) {
                deferred.push(pending);
            }
            else {
                entries += size;
                jobs.add(pending.job);
                batch.push(pending);
            }
        }
        this.waiting = deferred;
        return batch;
    }

    private async commit(batch: PendingWrite[]): Promise<void> {
        const { storedEpoch } = this;
        const lease = batch[0]?.content.kind === "earlyCancellation" ? await this.earlyLease.get() : Ok(0);
        if (!lease.ok) {
            await this.handleFailure(batch, createFailure(lease.val.code, lease.val.message, "notRun"));
            return;
        }
        const writes = batch.map(pending => toWrite(pending, storedEpoch, lease.val));
        const hasJobs = batch.some(({ content }) => content.kind === "job");
        const sentAt = this.options.clock.getNow();
        const attempt = Math.max(...batch.map(pending => pending.attempts));
        const committed = await this.options.store.call({
            kind: "commit",
            transaction: {
                conditions: [
                    ...batch.flatMap(listConditions),
                    ...hasJobs ? [{ key: epochKey, revision: storedEpoch.revision }] : [],
                ],
                writes,
                removals: [],
            },
        }, this.timeout.choose(attempt));
        if (!committed.ok) {
            if (committed.val.code === storeFailures.leaseEnded) {
                this.earlyLease.reset();
            }
            await this.handleFailure(batch, committed.val);
            return;
        }
        this.failingSince = undefined;
        this.timeout.recordAnswer(sentAt);
        if (committed.val.kind === "committed") {
            const { revision } = committed.val;
            // Owners have no use for early cancellations.
            const announced = lease.val === 0 ? writes : [];
            this.options.onStored?.(announced.map(({ key, value }) => ({
                key,
                value,
                revision,
                createdRevision: revision,
            })));
            batch.forEach(pending => pending.resolve(Ok("stored")));
            return;
        }
        this.recordEpoch(decodeEpoch(committed.val.items.find(item => item.key === epochKey)));
        const existing = new Map(committed.val.items.map(item => [item.key, item]));
        const remaining: PendingWrite[] = [];
        for (const pending of batch) {
            const found = listConditions(pending).map(({ key }) => key).filter(key => existing.has(key));
            if (found.length === 0) {
                remaining.push(pending);
            }
            else {
                const item = existing.get(toJobKey(pending.job));
                pending.resolve(
                    Ok(item === undefined ? "cancelled" : isOfOtherTeam(pending, item) ? "taken" : "existed"),
                );
            }
        }
        this.waiting.unshift(...remaining);
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

/** Returns whether the job that is stored under the id of a submission has another team. */
function isOfOtherTeam({ content }: PendingWrite, { value }: StoreItem): boolean {
    const record = decodeJobRecord(value);
    return content.kind === "job" && record.ok && record.val.team !== undefined
        && record.val.team !== content.record.team;
}

/** Returns the keys that must not exist for the write. */
function listConditions({ content, job }: PendingWrite): StoreCondition[] {
    return match(content)
        .with({ kind: "job" }, ({ record: { team } }) => [toJobKey(job), toEarlyCancelKey(job, team)])
        .with({ kind: "cancellation" }, () => [])
        .with({ kind: "earlyCancellation" }, () => [toJobKey(job)])
        .exhaustive()
        .map(key => ({ key, revision: 0 }));
}

function toWrite({ content, job }: PendingWrite, { epoch }: StoredEpoch, lease: number): StoreWrite {
    return match(content)
        .with({ kind: "job" }, ({ record }) => ({
            key: toJobKey(job),
            value: encodeAcceptedJob({ ...record, epoch }),
        }))
        .with({ kind: "cancellation" }, () => ({ key: toCancelKey(job), value: "1" }))
        .with({ kind: "earlyCancellation" }, ({ team }) => ({ key: toEarlyCancelKey(job, team), value: "1", lease }))
        .exhaustive();
}
