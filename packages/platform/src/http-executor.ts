/**
 * An executor over HTTP. Bodies are raw bytes; what identifies the request is in headers.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { match } from "ts-pattern";
import type { ExecutorAnswer, ExecutorReport, ExecutorRequest } from "./executor.js";
import { Executor } from "./executor.js";
import type { HttpClientOptions, HttpResponse, TransportFailure } from "./http-client.js";
import { HttpClient } from "./http-client.js";
import { JsonClient } from "./json-client.js";
import { executorReportSchema, headerNames, paths } from "./wire.js";

/** Connections that an executor accepts. */
const maxExecutorConnections = 64;

/**
 * An executor over HTTP with at most 64 connections, of which one is kept for `list`.
 *
 * @example
 * ```ts
 * const executor = new HttpExecutor({ url: address.url, source: "glasgow" });
 * const answer = await executor.execute(request);
 * ```
 */
export class HttpExecutor extends Executor {
    private readonly client: HttpClient;
    private readonly listClient: JsonClient;

    constructor(options: HttpClientOptions) {
        super();
        const connections = Math.min(options.maxConnections ?? maxExecutorConnections, maxExecutorConnections);
        const codes = { unreachable: "executor-unreachable", timedOut: "executor-lost", responseLost: "executor-lost" };
        this.client = new HttpClient("executor", { ...options, maxConnections: Math.max(1, connections - 1) });
        // A list must get through when requests hold all other connections.
        this.listClient = new JsonClient("executor", codes, { ...options, maxConnections: 1 });
    }

    /** Closes all connections. */
    close(): void {
        this.client.close();
        this.listClient.close();
    }

    async execute(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>> {
        const sent = await this.client.send({
            operation: "execute",
            method: "POST",
            path: paths.executorExecute,
            headers: {
                "content-type": request.contentType,
                [headerNames.attempt]: request.attempt,
                [headerNames.requestKey]: request.requestKey,
                [headerNames.queue]: request.queue,
                [headerNames.team]: request.team,
                [headerNames.isIdempotent]: String(request.isIdempotent),
                [headerNames.epoch]: String(request.epoch),
                [headerNames.timeoutMs]: String(Math.ceil(request.timeoutMs)),
            },
            body: request.body,
            timeoutMs: request.timeoutMs,
        });
        return sent.ok ? readAnswer(request, sent.val) : Err(toFailure(request, sent.val));
    }

    async list(): Promise<Result<ExecutorReport, Failure>> {
        return this.listClient.send(executorReportSchema, {
            operation: "list",
            method: "GET",
            path: paths.executorList,
        });
    }
}

function readAnswer(request: ExecutorRequest, response: HttpResponse): Result<ExecutorAnswer, Failure> {
    const attempt = response.headers[headerNames.attempt];
    // A connection that carries a second response to an earlier request would otherwise answer this one.
    if (attempt !== request.attempt) {
        const found = attempt === undefined ? "no attempt" : `attempt "${String(attempt)}"`;
        const message = `the response to attempt "${request.attempt}" names ${found}`;
        return Err(createFailure("executor-lost", message, "mayHaveRun"));
    }
    if (response.headers[headerNames.refused] === "true") {
        const message = `the executor did not start attempt "${request.attempt}": status ${response.status}`;
        return Err(createFailure("executor-refused", message, "notRun"));
    }
    if (response.status < 200 || response.status > 599) {
        const message = `the response to attempt "${request.attempt}" has status ${response.status}`;
        return Err(createFailure("executor-lost", message, "mayHaveRun"));
    }
    const contentType = response.headers["content-type"] ?? "application/octet-stream";
    return Ok({ attempt: request.attempt, status: response.status, contentType, body: response.body });
}

function toFailure(request: ExecutorRequest, failure: TransportFailure): Failure {
    const message = `attempt "${request.attempt}" failed: ${failure.message}`;
    return match(failure)
        .with({ kind: "invalidRequest" }, () => createFailure("executor-invalid-request", message, "notRun"))
        .with({ wasSent: false }, () => createFailure("executor-unreachable", message, "notRun"))
        .otherwise(() => createFailure("executor-lost", message, "mayHaveRun"));
}
