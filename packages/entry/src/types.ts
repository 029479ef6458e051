/**
 * The interfaces of the entry server to the rest of the system, and its options.
 */
import type { Clock, Failure, QueueId, RequestKey, Result, ShardId, TeamId, Verdict } from "@waxwingroute/core";
import type { Answer, RequestFailure } from "@waxwingroute/routing";

/** A caller's request as it goes to the owner of a shard. */
export interface EntryRequest {
    readonly team: TeamId;
    readonly queue: QueueId;
    /** The caller's own key, if it sent one. */
    readonly requestKey: RequestKey | undefined;
    readonly isIdempotent: boolean;
    /** Milliseconds left until the caller's deadline; above 0. */
    readonly timeoutMs: number;
    readonly contentType: string;
    /** Aborted when the caller goes away. */
    readonly signal: AbortSignal;
}

/** Access to the owners of the shards. */
export abstract class ShardGateway {
    /**
     * Sends a request to the owner of `shard`, or of any shard of the zone if it is `undefined`. When the owner cannot be
     * reached, the verdict is `notRun` if the request has no key and nothing was sent, otherwise `mayHaveRun`.
     */
    abstract execute(
        shard: ShardId | undefined,
        request: EntryRequest,
        body: Uint8Array,
    ): Promise<Result<Answer, RequestFailure>>;
    /** Asks the owner of any shard of the zone for a request key. */
    abstract issueRequestKey(): Promise<Result<RequestKey, Failure>>;
}

/** What a caller may do. */
export interface AuthorizedCaller {
    readonly team: TeamId;
    /** Milliseconds of the deadline of requests without one of their own; 1 to 600,000. */
    readonly defaultDeadlineMs: number;
}

/** A refusal with the HTTP status that tells it: 401, 403, 404 or 503. */
export interface AccessFailure extends Failure {
    readonly status: number;
}

/** Decides who may use which queue. */
export abstract class AccessControl {
    /**
     * Checks the key of a caller for a queue. `apiKey` is `undefined` if the caller presented none, which open queues allow.
     * `queue` is `undefined` when the caller asks only for a request key; then any valid API key is enough.
     */
    abstract authorize(apiKey: string | undefined, queue: QueueId | undefined): Result<AuthorizedCaller, AccessFailure>;
}

/** How a request ended, for the log. */
export interface EntryRequestOutcome {
    /** HTTP status; 0 if the caller went away before its response. */
    readonly status: number;
    readonly code: string | undefined;
    readonly verdict: Verdict;
    readonly team: TeamId | undefined;
    readonly queue: QueueId | undefined;
    readonly requestKey: RequestKey | undefined;
    /** Milliseconds from the end of the header to the start of the response. */
    readonly elapsedMs: number;
}

/** Options of an entry server. */
export interface EntryServerOptions {
    readonly clock: Clock;
    readonly gateway: ShardGateway;
    readonly accessControl: AccessControl;
    /** Address to listen on. Default `127.0.0.1`. */
    readonly address?: string;
    /** Port to listen on; 0 lets the system choose. Default 0. */
    readonly port?: number;
    /** Largest body of a request in bytes. Default 1,048,576 (1 MB). */
    readonly maxBodyBytes?: number;
    /** Bytes of the bodies of all requests and answers in progress. Default 67,108,864 (64 MB). */
    readonly maxTotalBodyBytes?: number;
    /** Largest header of a request in bytes. Default 16,384. */
    readonly maxHeaderBytes?: number;
    /** Connections at one time; further ones are closed. Default 2,000. */
    readonly maxConnections?: number;
    /**
     * Requests in progress at one time; further ones are refused. Default 1,000, about four times the slots of a zone of 33
     * executors; with 4,000 the process is so busy with waiting requests that owners cannot answer within the deadline.
     */
    readonly maxRequests?: number;
    /** Lateness of this process's timers above which new requests are refused, in milliseconds. Default 50. */
    readonly maxEventLoopDelayMs?: number;
    /** Milliseconds for the header of a request to arrive. Default 10,000. */
    readonly headerTimeoutMs?: number;
    /** Milliseconds for the body of a request to arrive after its header. Default 15,000. */
    readonly bodyTimeoutMs?: number;
    /** Milliseconds for a caller to take its response. Default 30,000. */
    readonly responseTimeoutMs?: number;
    /** Milliseconds for which an idle connection stays open. Default 60,000. */
    readonly keepAliveTimeoutMs?: number;
    /** Milliseconds beyond the deadline for the owner's answer to arrive. Default 1,000. */
    readonly answerGraceMs?: number;
    /** Receives the end of each request synchronously; must be cheap. Default: none. */
    readonly onRequestEnd?: (outcome: EntryRequestOutcome) => void;
}

export type ResolvedEntryServerOptions = Required<EntryServerOptions>;

/** Fills in the defaults. */
export function resolveEntryServerOptions(options: EntryServerOptions): ResolvedEntryServerOptions {
    return {
        address: "127.0.0.1",
        port: 0,
        maxBodyBytes: 1024 * 1024,
        maxTotalBodyBytes: 64 * 1024 * 1024,
        maxHeaderBytes: 16_384,
        maxConnections: 2000,
        maxRequests: 1000,
        maxEventLoopDelayMs: 50,
        headerTimeoutMs: 10_000,
        bodyTimeoutMs: 15_000,
        responseTimeoutMs: 30_000,
        keepAliveTimeoutMs: 60_000,
        answerGraceMs: 1000,
        onRequestEnd: () => undefined,
        ...options,
    };
}
