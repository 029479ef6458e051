/**
 * Interface to an executor: a server that runs requests in a fixed number of slots.
 */
import type { AttemptId, ExecutorId, Failure, QueueId, RequestKey, Result, TeamId, ZoneId } from "@waxwingroute/core";

/** Identity, location, address and capacity of an executor, from settings or the host list. */
export interface ExecutorAddress {
    readonly executor: ExecutorId;
    readonly zone: ZoneId;
    /** `http://<ip>:<port>` */
    readonly url: string;
    /** Most requests that it runs at one time. */
    readonly slots: number;
    /** Most connections that it accepts at one time. */
    readonly connections: number;
    /** Queues that it serves; empty for all. */
    readonly queues: readonly QueueId[];
}

/** One attempt at a request. */
export interface ExecutorRequest {
    readonly attempt: AttemptId;
    readonly requestKey: RequestKey;
    readonly queue: QueueId;
    readonly team: TeamId;
    readonly isIdempotent: boolean;
    readonly contentType: string;
    readonly body: Uint8Array;
    /** Remaining time until the caller's deadline, in milliseconds. */
    readonly timeoutMs: number;
    /** Epoch of the shard owner that sends the request. */
    readonly epoch: number;
}

/** Complete response of an executor to one attempt. */
export interface ExecutorAnswer {
    readonly attempt: AttemptId;
    /** HTTP status of the response, 200 to 599. */
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** State of an executor, as the executor reports it. */
export interface ExecutorReport {
    readonly executor: ExecutorId;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Attempts that the executor runs now. */
    readonly running: readonly AttemptId[];
}

/** Client of one executor. */
export abstract class Executor {
    /**
     * Runs one request and returns the complete response, whatever its status. Failure codes:
     *
     * - `executor-unreachable` (`notRun`): no connection was made or became free, so nothing was sent.
     * - `executor-refused` (`notRun`): the executor responded that it did not start the request.
     * - `executor-lost` (`mayHaveRun`): the connection ended, the call timed out, or the response was truncated.
     * - `executor-invalid-request` (`notRun`): the content type or an id has a character that headers do not allow.
     */
    abstract execute(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>>;
    abstract list(): Promise<Result<ExecutorReport, Failure>>;
}
