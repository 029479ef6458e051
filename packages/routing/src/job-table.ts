/**
 * All accepted jobs: their callers, their keys and their results.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { AttemptId, RequestKey } from "@waxwingroute/core";
import { DuplicateTable } from "./duplicate-table.js";
import type { UsedKey } from "./duplicate-table.js";
import { Job } from "./job.js";
import type { JobWaiter } from "./job.js";
import type { RequestFailure, RequestResult, ResolvedRouterOptions, RouterCounters, RouterRequest } from "./types.js";

/** Receives a waiting job that no caller waits for any more. */
export type AbandonedHandler = (job: Job) => void;

export class JobTable {
    readonly running = new Set<Job>();
    private readonly duplicates: DuplicateTable<Job>;
    /** Jobs with more than one caller, whose deadlines can differ. */
    private readonly shared = new Set<Job>();
    private bodies = 0;

    constructor(
        private readonly options: ResolvedRouterOptions,
        private readonly counters: RouterCounters,
        private readonly onAbandoned: AbandonedHandler,
    ) {
        this.duplicates = new DuplicateTable({
            retentionMs: options.answerRetentionMs,
            maxBytes: options.maxAnswerBytes,
        });
    }

    /** Bytes of the bodies of all unsettled jobs. */
    get bodyBytes(): number {
        return this.bodies;
    }

    get lowWater(): number {
        return this.duplicates.lowWater;
    }

    find(key: RequestKey): UsedKey<Job> | undefined {
        return this.duplicates.find(key);
    }

    /** Accepts a request under a key that was not used yet. */
    create(request: RouterRequest, key: RequestKey, sequence: number, fingerprint: string, now: number): Job {
        const job = new Job(key, request, now);
        this.duplicates.start({ key, sequence, team: request.team, fingerprint, work: job });
        this.bodies += request.body.byteLength;
        return job;
    }

    /** Adds a caller to a job; the promise gives the result of the job. */
    join(job: Job, request: RouterRequest): Promise<RequestResult> {
        return new Promise(resolve => {
            const { signal, deadline } = request;
            const onAbort = signal === undefined ? undefined : () => this.cancel(job, waiter);
            const waiter: JobWaiter = { resolve, deadline, signal, onAbort };
            job.waiters.push(waiter);
            if (job.waiters.length > 1) {
                this.shared.add(job);
            }
            if (signal?.aborted === true) {
                this.cancel(job, waiter);
            }
            else if (onAbort !== undefined) {
                signal?.addEventListener("abort", onAbort, { once: true });
            }
        });
    }

    startAttempt(job: Job, attempt: AttemptId): void {
        job.state = "running";
        job.attempt = attempt;
        this.running.add(job);
    }

    finishAttempt(job: Job): void {
        job.state = "waiting";
        job.attempt = undefined;
        this.running.delete(job);
    }

    /** Ends a job and gives its result to all its callers. A key whose work did not run can be used again. */
    settle(job: Job, result: RequestResult, now: number): void {
        if (job.state === "settled") {
            return;
        }
        job.state = "settled";
        this.running.delete(job);
        this.shared.delete(job);
        this.bodies -= job.request.body.byteLength;
        if (result.err && result.val.verdict === "notRun") {
            this.duplicates.release(job.key);
        }
        else {
            this.duplicates.complete(job.key, result, now);
        }
        const waiters = job.waiters;
        job.waiters = [];
        waiters.forEach(waiter => resolveWaiter(waiter, result));
    }

    /** Ends the wait of callers that joined a job with an earlier deadline than the job's own. */
    expireWaiters(now: number): void {
        for (const job of this.shared) {
            for (const waiter of job.waiters.filter(other => other.deadline <= now && other.deadline < job.deadline)) {
                const message = `the request with key "${job.key}" had no result at this caller's deadline`;
                this.removeWaiter(job, waiter, "deadline-exceeded", message);
            }
        }
    }

    evict(now: number): void {
        this.duplicates.evict(now);
    }

    private cancel(job: Job, waiter: JobWaiter): void {
        this.counters.cancelled++;
        this.removeWaiter(job, waiter, "cancelled", `the caller of the request with key "${job.key}" went away`);
    }

    /** Takes one caller out of a job. A waiting job without callers gives up its place in the queue. */
    private removeWaiter(job: Job, waiter: JobWaiter, code: string, message: string): void {
        if (job.state === "settled") {
            return;
        }
        job.waiters = job.waiters.filter(other => other !== waiter);
        const isAbandoned = job.waiters.length === 0 && job.state === "waiting";
        const verdict = isAbandoned ? job.verdict : "mayHaveRun";
        const failure: RequestFailure = { ...createFailure(code, message, verdict), requestKey: job.key };
        resolveWaiter(waiter, Err(failure));
        if (isAbandoned) {
            this.onAbandoned(job);
            this.settle(job, Err(failure), this.options.clock.getNow());
        }
    }
}

function resolveWaiter(waiter: JobWaiter, result: RequestResult): void {
    if (waiter.onAbort !== undefined) {
        waiter.signal?.removeEventListener("abort", waiter.onAbort);
    }
    waiter.resolve(result);
}
