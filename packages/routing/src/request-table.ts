/**
 * The accepted requests: their callers, their keys and their results.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { AttemptId, RequestKey } from "@waxwingroute/core";
import { DuplicateTable } from "./duplicate-table.js";
import type { UsedKey } from "./duplicate-table.js";
import { PendingRequest } from "./pending-request.js";
import type { RequestWaiter } from "./pending-request.js";
import type { RequestFailure, RequestResult, ResolvedRouterOptions, RouterCounters, RouterRequest } from "./types.js";

/** Called for a waiting request that no caller waits for any more. */
export type AbandonedHandler = (pending: PendingRequest) => void;

/** The accepted requests, and the keys that were used. */
export class RequestTable {
    readonly running = new Set<PendingRequest>();
    private readonly duplicates: DuplicateTable<PendingRequest>;
    /** Requests with more than one caller, whose deadlines can differ. */
    private readonly sharedRequests = new Set<PendingRequest>();
    private pendingBodyBytes = 0;

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

    /** Bytes of the bodies of all unsettled requests. */
    get bodyBytes(): number {
        return this.pendingBodyBytes;
    }

    get lowWaterMark(): number {
        return this.duplicates.lowWaterMark;
    }

    find(key: RequestKey): UsedKey<PendingRequest> | undefined {
        return this.duplicates.find(key);
    }

    /** Accepts a request under a key that was not used yet. */
    create(
        request: RouterRequest,
        key: RequestKey,
        sequence: number,
        fingerprint: string,
        now: number,
    ): PendingRequest {
        const pending = new PendingRequest(key, request, now);
        this.duplicates.start({ key, sequence, team: request.team, fingerprint, work: pending });
        this.pendingBodyBytes += request.body.byteLength;
        return pending;
    }

    /** Adds a caller to a request; the promise resolves to the result of the request. */
    join(pending: PendingRequest, request: RouterRequest): Promise<RequestResult> {
        return new Promise(resolve => {
            const { signal, deadline } = request;
            const onAbort = signal === undefined ? undefined : () => this.cancel(pending, waiter);
            const waiter: RequestWaiter = { resolve, deadline, signal, onAbort };
            pending.waiters.push(waiter);
            if (pending.waiters.length > 1) {
                this.sharedRequests.add(pending);
            }
            if (signal?.aborted === true) {
                this.cancel(pending, waiter);
            }
            else if (onAbort !== undefined) {
                signal?.addEventListener("abort", onAbort, { once: true });
            }
        });
    }

    startAttempt(pending: PendingRequest, attempt: AttemptId): void {
        pending.state = "running";
        pending.attempt = attempt;
        this.running.add(pending);
    }

    finishAttempt(pending: PendingRequest): void {
        pending.state = "waiting";
        pending.attempt = undefined;
        this.running.delete(pending);
    }

    /**
     * Ends a request and gives its result to all its callers. The key of a request that did not run can be used again.
     */
    settle(pending: PendingRequest, result: RequestResult, now: number): void {
        if (pending.state === "settled") {
            return;
        }
        pending.state = "settled";
        this.running.delete(pending);
        this.sharedRequests.delete(pending);
        this.pendingBodyBytes -= pending.request.body.byteLength;
        if (result.err && result.val.verdict === "notRun") {
            this.duplicates.release(pending.key);
        }
        else {
            this.duplicates.complete(pending.key, result, now);
        }
        const waiters = pending.waiters;
        pending.waiters = [];
        waiters.forEach(waiter => resolveWaiter(waiter, result));
    }

    /** Ends the wait of callers that joined a request with an earlier deadline than its own, once that has passed. */
    expireWaiters(now: number): void {
        for (const pending of this.sharedRequests) {
            for (
                const waiter of pending.waiters.filter(other =>
                    other.deadline <= now && other.deadline < pending.deadline
                )
            ) {
                const message = `the request with key "${pending.key}" had no result by this caller's deadline`;
                this.removeWaiter(pending, waiter, "deadline-exceeded", message);
            }
        }
    }

    evict(now: number): void {
        this.duplicates.evict(now);
    }

    private cancel(pending: PendingRequest, waiter: RequestWaiter): void {
        this.counters.cancelled++;
        this.removeWaiter(pending, waiter, "cancelled", `the caller aborted the request with key "${pending.key}"`);
    }

    /** Removes one caller from a request. A waiting request without callers is abandoned and leaves its queue. */
    private removeWaiter(pending: PendingRequest, waiter: RequestWaiter, code: string, message: string): void {
        if (pending.state === "settled") {
            return;
        }
        pending.waiters = pending.waiters.filter(other => other !== waiter);
        const isAbandoned = pending.waiters.length === 0 && pending.state === "waiting";
        const verdict = isAbandoned ? pending.verdict : "mayHaveRun";
        const failure: RequestFailure = { ...createFailure(code, message, verdict), requestKey: pending.key };
        resolveWaiter(waiter, Err(failure));
        if (isAbandoned) {
            this.onAbandoned(pending);
            this.settle(pending, Err(failure), this.options.clock.getNow());
        }
    }
}

function resolveWaiter(waiter: RequestWaiter, result: RequestResult): void {
    if (waiter.onAbort !== undefined) {
        waiter.signal?.removeEventListener("abort", waiter.onAbort);
    }
    waiter.resolve(result);
}
