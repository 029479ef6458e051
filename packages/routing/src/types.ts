/**
 * Types shared by the parts of the request router.
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

/** A request of a caller. */
export interface RouterRequest {
    readonly team: TeamId;
    readonly queue: QueueId;
    /** A key from `issueKey`; `undefined` makes the router issue one. */
    readonly requestKey?: RequestKey;
    readonly isIdempotent: boolean;
    /** Milliseconds on the router's clock, absolute. */
    readonly deadline: number;
    readonly body: Uint8Array;
    readonly contentType: string;
    /** Aborted when the caller goes away. */
    readonly signal?: AbortSignal;
}

/** A whole answer of an executor. */
export interface Answer {
    readonly requestKey: RequestKey;
    readonly executor: ExecutorId;
    /** HTTP status, 200 to 599. */
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** A failure with the key under which the caller may ask again. */
export interface RequestFailure extends Failure {
    readonly requestKey?: RequestKey;
}

export type RequestResult = Result<Answer, RequestFailure>;

/** A team as the router needs it. */
export interface RouterTeam {
    readonly team: TeamId;
    /** Relative share of slots while several teams wait; above 0. */
    readonly weight: number;
    /** Slots that the team's grant lets it use in this shard; 0 or more. */
    readonly slots: number;
}

/** An executor as the router needs it. */
export interface RouterExecutor {
    readonly executor: ExecutorId;
    readonly access: Executor;
    /** Requests it can run at one time. */
    readonly slots: number;
    /** Connections it accepts. */
    readonly connections: number;
    /** Queues that it serves; empty for all. */
    readonly queues: readonly QueueId[];
    /** Whether the host list or an operator says that it is leaving. */
    readonly isDraining: boolean;
}

/** What the router did; the owner writes one log line for each. */
export interface RouterDecision {
    readonly kind: "sent" | "answered" | "failed" | "refused" | "retried" | "duplicate" | "ejected" | "returned";
    readonly at: number;
    readonly requestKey?: RequestKey;
    readonly attempt?: AttemptId;
    readonly team?: TeamId;
    readonly queue?: QueueId;
    readonly executor?: ExecutorId;
    /** Code of the failure of a `failed`, `refused` or `retried` request. */
    readonly code?: string;
    readonly verdict?: Verdict;
    /** Milliseconds from arrival to the decision. */
    readonly elapsedMs?: number;
}

/** Numbers since the start of the router. */
export interface RouterCounters {
    requests: number;
    answered: number;
    failed: number;
    refused: number;
    retries: number;
    duplicates: number;
    /** Answers that arrived after their callers had been told of a failure. */
    lateAnswers: number;
    /** Answers that carried the id of another attempt. */
    mismatchedAnswers: number;
    cancelled: number;
    /** Attempts withheld because the right to place had gone after the decision. */
    withheldSends: number;
    ejections: number;
}

/** Options of a router. */
export interface RequestRouterOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly shard: ShardId;
    /** Epoch of this ownership. One router serves exactly one ownership: key numbers start again in each router. */
    readonly epoch: number;
    /** The right to place; called immediately before each send. */
    readonly canSend: () => boolean;
    /** Receives each decision synchronously; must be cheap. Default: none. */
    readonly onDecision?: (decision: RouterDecision) => void;
    /** Requests that may wait per team. Default 1,000. */
    readonly maxWaitingPerTeam?: number;
    /** Returns how many requests of a team may wait in a queue; 0 counts as 1. Default: no bound but that of the team. */
    readonly findQueueLimit?: (queue: QueueId) => number | undefined;
    /** Bytes of the bodies of all requests in the router. Default 67,108,864 (64 MB). */
    readonly maxBodyBytes?: number;
    /** Milliseconds for which the first answer to a key is kept. Default 600,000. */
    readonly answerRetentionMs?: number;
    /** Bytes of kept answers and used keys. Default 67,108,864 (64 MB). */
    readonly maxAnswerBytes?: number;
    /** Milliseconds between two lists of an executor. Default 1,000. */
    readonly listIntervalMs?: number;
    /** Milliseconds for which a request to an executor can be in flight (`startInFlightMs` of the design). Default 1,000. */
    readonly startInFlightMs?: number;
    /** Largest relative difference of two clock rates. Default 0.01. */
    readonly clockRateBound?: number;
    /** Milliseconds of the longest deadline of any request. Default 600,000. */
    readonly maxDeadlineMs?: number;
    /** Milliseconds for which an executor is out of rotation before its first probe. Default 5,000. */
    readonly ejectionMs?: number;
}

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
