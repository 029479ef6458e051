/**
 * The interfaces between the entry server and the rest of the system, and the options of the server.
 */
import type { Clock, Failure, QueueId, RequestKey, Result, ShardId, TeamId, Verdict } from "@waxwingroute/core";
import type { Answer, RequestFailure } from "@waxwingroute/routing";

/** A caller's request as it is forwarded to the owner of a shard. */
export interface EntryRequest {
    readonly team: TeamId;
    readonly queue: QueueId;
    /** The request key, if the caller sent one. */
    readonly requestKey: RequestKey | undefined;
    readonly isIdempotent: boolean;
    /** Milliseconds left until the caller's deadline; above 0. */
    readonly timeoutMs: number;
    readonly contentType: string;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Forwards requests to the owners of the shards. */
export abstract class ShardGateway {
    /**
     * Sends a request to the owner of `shard`, or to any owner that serves requests if `shard` is `undefined`. If no
     * owner can be reached, the verdict is `notRun` if the request has no request key and nothing was sent, otherwise
     * `mayHaveRun`.
     */
    abstract execute(
        shard: ShardId | undefined,
        request: EntryRequest,
        body: Uint8Array,
    ): Promise<Result<Answer, RequestFailure>>;
    /** Asks any owner that serves requests for a request key. */
    abstract issueRequestKey(): Promise<Result<RequestKey, Failure>>;
}

/** A caller that may use a queue or obtain a request key. */
export interface AuthorizedCaller {
    /** Team whose limits the request counts against. */
    readonly team: TeamId;
    /** Deadline in milliseconds of requests that set none; 1 to 600,000. */
    readonly defaultDeadlineMs: number;
}

/** A refusal and its HTTP status: 401, 403, 404 or 503. */
export interface AccessFailure extends Failure {
    readonly status: number;
}

/** Decides which callers may use which queues. */
export abstract class AccessControl {
    /**
     * Checks whether a caller may use a queue. `apiKey` is `undefined` if the caller presented none; open queues accept
     * that. `queue` is `undefined` when the caller asks only for a request key; any valid API key allows that.
     */
    abstract authorize(apiKey: string | undefined, queue: QueueId | undefined): Result<AuthorizedCaller, AccessFailure>;
}

/** How a request ended, for the log and the metrics. */
export interface EntryRequestOutcome {
    /** HTTP status; 0 if the caller disconnected before its response was written. */
    readonly status: number;
    readonly code: string | undefined;
    readonly verdict: Verdict;
    readonly team: TeamId | undefined;
    readonly queue: QueueId | undefined;
    readonly requestKey: RequestKey | undefined;
    /** Milliseconds from the end of the request header to the start of the response. */
    readonly elapsedMs: number;
}

/** Options of an `EntryServer`. */
export interface EntryServerOptions {
    readonly clock: Clock;
    readonly gateway: ShardGateway;
    readonly accessControl: AccessControl;
    /** Address to listen on. Default `127.0.0.1`. */
    readonly address?: string;
    /** Port to listen on; 0 selects any free one. Default 0. */
    readonly port?: number;
    /** Maximum size of a request body in bytes. Default 1,048,576 (1 MB). */
    readonly maxBodyBytes?: number;
    /**
     * Maximum total size of the bodies of all requests and answers in progress, in bytes. Default 67,108,864 (64 MB).
     */
    readonly maxTotalBodyBytes?: number;
    /** Maximum size of a request header in bytes. Default 16,384. */
    readonly maxHeaderBytes?: number;
    /** Maximum number of open connections; further ones are closed. Default 2,000. */
    readonly maxConnections?: number;
    /**
     * Maximum number of requests in progress; further ones are refused. Default 1,000, about four times the slots of a
     * zone with 33 executors. With 4,000, waiting requests keep the process so busy that owners cannot answer within
     * the deadline.
     */
    readonly maxRequests?: number;
    /** Delay of the event loop above which new requests are refused, in milliseconds. Default 50. */
    readonly maxEventLoopDelayMs?: number;
    /** Time for a request header to arrive, in milliseconds. Default 10,000. */
    readonly headerTimeoutMs?: number;
    /** Time for a request body to arrive after its header, in milliseconds. Default 15,000. */
    readonly bodyTimeoutMs?: number;
    /** Time for a caller to read its response, in milliseconds; then its connection is closed. Default 30,000. */
    readonly responseTimeoutMs?: number;
    /** Time for which an idle connection stays open, in milliseconds. Default 60,000. */
    readonly keepAliveTimeoutMs?: number;
    /** Time after the deadline for the owner's answer to arrive, in milliseconds. Default 1,000. */
    readonly answerGraceMs?: number;
    /** Called synchronously when a request ends; must return quickly. Default: nothing. */
    readonly onRequestEnd?: (outcome: EntryRequestOutcome) => void;
}

/** Options in which each default is filled in. */
export type ResolvedEntryServerOptions = Required<EntryServerOptions>;

/** Fills in the defaults of all options that are not set. */
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
