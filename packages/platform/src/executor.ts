/**
 * An executor as the system sees it: a server with a fixed number of slots that answers requests.
 */
import type { AttemptId, ExecutorId, Failure, QueueId, RequestKey, Result, TeamId, ZoneId } from "@waxwingroute/core";

/** Identity and address of an executor from settings or the host list. */
export interface ExecutorAddress {
    readonly executor: ExecutorId;
    readonly zone: ZoneId;
    /** `http://<ip>:<port>` */
    readonly url: string;
    /** Requests it can run at one time. */
    readonly slots: number;
    /** Connections it accepts. */
    readonly connections: number;
    /** Queues it serves; empty for all. */
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
    /** Milliseconds left until the caller's deadline. */
    readonly timeoutMs: number;
    readonly epoch: number;
}

/** A whole answer. */
export interface ExecutorAnswer {
    readonly attempt: AttemptId;
    /** HTTP status of the executor's answer, 200 to 599. */
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** What an executor says of itself. */
export interface ExecutorReport {
    readonly executor: ExecutorId;
    readonly slots: number;
    readonly isDraining: boolean;
    readonly running: readonly AttemptId[];
}

/** Access to one executor. */
export abstract class Executor {
    /**
     * Runs one request and returns its whole answer, whatever its status. Failures: `executor-unreachable` (`notRun`, the
     * connection was never made), `executor-refused` (`notRun`, the executor said that it did not start), `executor-lost`
     * (`mayHaveRun`: the connection ended, the time ran out, or the answer was cut short), `executor-invalid-request` (`notRun`:
     * the content type or an id holds a character that HTTP does not allow in a header).
     */
    abstract execute(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>>;
    abstract list(): Promise<Result<ExecutorReport, Failure>>;
}
