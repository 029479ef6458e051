/**
 * Types that the modules of the request router share.
 */
import type {
    AttemptId,
    Clock,
    ExecutorId,
    Failure,
    QueueId,
    RandomSource,
    RequestKey,
    Result,
    ShardId,
    TeamId,
    Verdict,
} from "@waxwingroute/core";
import type { Executor } from "@waxwingroute/platform";

/** A caller's request. */
export interface RouterRequest {
    readonly team: TeamId;
    readonly queue: QueueId;
    /** A key from `issueKey`; `undefined` makes the router issue one. */
    readonly requestKey?: RequestKey;
    readonly isIdempotent: boolean;
    /** Absolute time in milliseconds on the router's clock. */
    readonly deadline: number;
    readonly body: Uint8Array;
    readonly contentType: string;
    /** Aborted when the caller no longer waits for the answer. */
    readonly signal?: AbortSignal;
}

/** A complete answer from an executor. */
export interface Answer {
    readonly requestKey: RequestKey;
    readonly executor: ExecutorId;
    /** HTTP status, 200 to 599. */
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** A failure, with the key under which the caller can repeat the request. */
export interface RequestFailure extends Failure {
    readonly requestKey?: RequestKey;
}

/** What the caller of a request gets. */
export type RequestResult = Result<Answer, RequestFailure>;

/** What the router needs to know about a team. */
export interface RouterTeam {
    readonly team: TeamId;
    /** Relative share of the slots while several teams have waiting requests; greater than 0. */
    readonly weight: number;
    /** Slots that the team's grant allows it in this shard; 0 or more. */
    readonly slots: number;
}

/** What the router needs to know about an executor. */
export interface RouterExecutor {
    readonly executor: ExecutorId;
    /** Sends requests to the executor and lists the attempts that it runs. */
    readonly access: Executor;
    /** Requests that it can run concurrently. */
    readonly slots: number;
    /** Connections that it accepts; limits the requests in progress as `slots` does. */
    readonly connections: number;
    /** Queues that it serves; empty for all. */
    readonly queues: readonly QueueId[];
    /** Whether the host list or an operator has announced that it is leaving. */
    readonly isDraining: boolean;
}

/** A decision of the router, or the end of a request; the shard owner logs each one. */
export interface RouterDecision {
    /** `ejected` and `returned` concern an executor's place in the rotation and name no request. */
    readonly kind: "sent" | "answered" | "failed" | "refused" | "retried" | "duplicate" | "ejected" | "returned";
    /** Milliseconds on the router's clock. */
    readonly at: number;
    readonly requestKey?: RequestKey;
    readonly attempt?: AttemptId;
    readonly team?: TeamId;
    readonly queue?: QueueId;
    readonly executor?: ExecutorId;
    /** Failure code of a `failed`, `refused` or `retried` request. */
    readonly code?: string;
    readonly verdict?: Verdict;
    /** Milliseconds from the arrival of the request to the decision. */
    readonly elapsedMs?: number;
}

/** Totals since the router was created. */
export interface RouterCounters {
    requests: number;
    answered: number;
    failed: number;
    refused: number;
    retries: number;
    duplicates: number;
    /** Answers that arrived after their callers had received a failure. */
    lateAnswers: number;
    /** Answers that carried the id of another attempt. */
    mismatchedAnswers: number;
    /** Callers that aborted their requests. */
    cancelled: number;
    /** Sends withheld because the right to place was lost after the executor had been chosen. */
    withheldSends: number;
    ejections: number;
}

/** Options of a request router. */
export interface RequestRouterOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly shard: ShardId;
    /** Epoch of this ownership. A router serves only one epoch, because its key sequence numbers start at 1. */
    readonly epoch: number;
    /** Returns whether the owner still holds the right to place; called immediately before each send. */
    readonly canSend: () => boolean;
    /** Receives each decision synchronously; must be cheap. Default: none. */
    readonly onDecision?: (decision: RouterDecision) => void;
    /** Requests that may wait per team. Default 1,000. */
    readonly maxWaitingPerTeam?: number;
    /**
     * Returns how many requests of a team may wait in a queue; 0 counts as 1. Default: only the limit of the team
     * applies.
     */
    readonly findQueueLimit?: (queue: QueueId) => number | undefined;
    /** Largest total of the bodies of all unfinished requests, in bytes. Default 67,108,864 (64 MB). */
    readonly maxBodyBytes?: number;
    /** Milliseconds for which the first answer to a key is kept. Default 600,000. */
    readonly answerRetentionMs?: number;
    /** Largest total of the kept answers and used keys, in bytes. Default 67,108,864 (64 MB). */
    readonly maxAnswerBytes?: number;
    /** Milliseconds between two listings of an executor. Default 1,000. */
    readonly listIntervalMs?: number;
    /**
     * Milliseconds for which a request to an executor can be in flight, as in the ownership settings. Default 1,000.
     */
    readonly startInFlightMs?: number;
    /** Largest relative difference between the rates of two clocks. Default 0.01. */
    readonly clockRateBound?: number;
    /** Longest time from the arrival of any request to its deadline, in milliseconds. Default 600,000. */
    readonly maxDeadlineMs?: number;
    /** Milliseconds from the first ejection of an executor to its first probe. Default 5,000. */
    readonly ejectionMs?: number;
}

/** The options with all defaults filled in. */
export type ResolvedRouterOptions = Required<RequestRouterOptions>;

/** Fills in the defaults. */
export function resolveRouterOptions(options: RequestRouterOptions): ResolvedRouterOptions {
    return {
        onDecision: () => undefined,
        maxWaitingPerTeam: 1000,
        findQueueLimit: () => undefined,
        maxBodyBytes: 64 * 1024 * 1024,
        answerRetentionMs: 600_000,
        maxAnswerBytes: 64 * 1024 * 1024,
        listIntervalMs: 1000,
        startInFlightMs: 1000,
        clockRateBound: 0.01,
        maxDeadlineMs: 600_000,
        ejectionMs: 5000,
        ...options,
    };
}
