/**
 * An accepted request inside the router, until it has a result.
 */
import type { AttemptId, ExecutorId, QueueId, RequestKey, TeamId, Verdict } from "@waxwingroute/core";
import type { ExecutorRequirements } from "./executor-pool.js";
import type { RequestResult, RouterRequest } from "./types.js";

/** A caller that waits for the result of a request. */
export interface RequestWaiter {
    readonly resolve: (result: RequestResult) => void;
    readonly deadline: number;
    readonly signal: AbortSignal | undefined;
    readonly onAbort: (() => void) | undefined;
}

/** A request, its callers and the state of its attempts. */
export class PendingRequest implements ExecutorRequirements {
    readonly queue: QueueId;
    readonly team: TeamId;
    readonly isIdempotent: boolean;
    readonly deadline: number;
    readonly triedExecutors: ExecutorId[] = [];
    waiters: RequestWaiter[] = [];
    state: "waiting" | "running" | "settled" = "waiting";
    /** The attempt in progress. */
    attempt: AttemptId | undefined;
    /** Whether any of the earlier attempts ran or may have run. */
    verdict: Verdict = "notRun";

    constructor(readonly key: RequestKey, readonly request: RouterRequest, readonly arrivedAt: number) {
        this.queue = request.queue;
        this.team = request.team;
        this.isIdempotent = request.isIdempotent;
        this.deadline = request.deadline;
    }
}
