/**
 * One HTTP request of a caller, from its header to its response.
 */
import { Err, Ok } from "@waxwingroute/core";
import type { QueueId, RequestKey, Result, TeamId } from "@waxwingroute/core";
import type { ByteBudget } from "@waxwingroute/host-limits";
import type { Answer } from "@waxwingroute/routing";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "./body-reader.js";
import { createHttpFailure, toHttpStatus } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";
import { parseApiKey, parseHeaders, parseRoute } from "./request-parser.js";
import type { RequestHeaders } from "./request-parser.js";
import { writeAnswer, writeFailure, writeIssuedKey } from "./response-writer.js";
import type { WrittenResponse } from "./response-writer.js";
import type { AuthorizedCaller, ResolvedEntryServerOptions } from "./types.js";

/**
 * Time to read the rest of a refused body: a caller that still sends it reads the refusal only on an open connection.
 */
const bodyDrainTimeoutMs = 2000;

/** Handles one request of a caller and writes at most one response to it. */
export class HttpExchange {
    private readonly startedAt: number;
    private readonly controller = new AbortController();
    private team: TeamId | undefined;
    private queue: QueueId | undefined;
    private requestKey: RequestKey | undefined;
    private reservedBytes = 0;
    private hasResponded = false;
    private isForwarded = false;

    constructor(
        private readonly options: ResolvedEntryServerOptions,
        private readonly bodyBudget: ByteBudget,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        private needsContinue: boolean,
    ) {
        this.startedAt = options.clock.getNow();
        // An error of either stream is followed by `close`; without a listener it would end the process.
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        response.on("close", () => this.handleClose());
    }

    /** Handles the request. Never rejects. */
    async run(): Promise<void> {
        try {
            const result = await this.process();
            if (result.err) {
                this.fail(result.val);
            }
        }
        catch (error) {
            // An error after the request was forwarded must not be reported as `notRun`.
            this.failUnfinished("internal-error", `the entry server failed: ${String(error)}`);
        }
    }

    /** Ends the request with a failure if it has no response yet. */
    fail(failure: HttpFailure): void {
        if (this.needsContinue) {
            // The caller may or may not send the body after a refusal, so the start of the next request is ambiguous.
            this.response.shouldKeepAlive = false;
        }
        this.reply(() =>
            writeFailure(this.response, { ...failure, requestKey: failure.requestKey ?? this.requestKey })
        );
        this.controller.abort();
    }

    /** Ends the request because the server is stopping. */
    stop(): void {
        this.failUnfinished("stopping", "the entry server stopped before the request ended");
    }

    /**
     * Ends the request because its body is not valid HTTP; returns false if it was already forwarded or responded to.
     */
    tryRefuse(refusal: HttpFailure): boolean {
        if (this.isForwarded || this.hasResponded) {
            return false;
        }
        this.response.shouldKeepAlive = false;
        this.fail(refusal);
        return true;
    }

    /** Fails with `mayHaveRun` if the request was already forwarded, otherwise with `notRun`. */
    private failUnfinished(code: string, message: string): void {
        this.fail(
            this.isForwarded
                ? createHttpFailure(502, code, message, "mayHaveRun")
                : createHttpFailure(503, code, message),
        );
    }

    /** Handles the request up to its response, or returns the failure to respond with. */
    private async process(): Promise<Result<void, HttpFailure>> {
        const route = parseRoute(this.request.method ?? "", this.request.url ?? "");
        if (route.err) {
            return route;
        }
        this.queue = route.val.queue;
        const apiKey = parseApiKey(this.request);
        if (apiKey.err) {
            return apiKey;
        }
        const caller = this.options.accessControl.authorize(apiKey.val, this.queue);
        if (caller.err) {
            return caller;
        }
        this.team = caller.val.team;
        return route.val.kind === "execute" ? this.execute(caller.val, route.val.queue) : this.issueKey();
    }

    private async issueKey(): Promise<Result<void, HttpFailure>> {
        const key = await this.options.gateway.issueRequestKey();
        if (key.err) {
            // Issuing a key runs no work, so a failure always means `notRun`.
            return Err({ ...key.val, verdict: "notRun", status: 503 });
        }
        this.reply(() => writeIssuedKey(this.response, key.val));
        return Ok(undefined);
    }

    private async execute(caller: AuthorizedCaller, queue: QueueId): Promise<Result<void, HttpFailure>> {
        const headers = parseHeaders(this.request);
        if (headers.err) {
            return headers;
        }
        this.requestKey = headers.val.requestKey;
        const body = await this.readRequestBody(headers.val);
        if (body.err) {
            return body;
        }
        const totalDeadlineMs = headers.val.deadlineMs ?? caller.defaultDeadlineMs;
        const remainingMs = totalDeadlineMs - (this.options.clock.getNow() - this.startedAt);
        if (remainingMs <= 0) {
            return Err(
                createHttpFailure(
                    504,
                    "deadline-exceeded",
                    `the body took longer than the deadline of ${totalDeadlineMs} ms`,
                ),
            );
        }
        if (this.controller.signal.aborted) {
            return Err(createHttpFailure(400, "cancelled", "the caller disconnected before the request was forwarded"));
        }
        const answer = await this.forward(headers.val, caller, queue, remainingMs, body.val);
        if (answer.err) {
            return answer;
        }
        // The answer is already in memory, so its bytes are reserved even above the limit; until they are released, new
        // bodies may be refused.
        this.bodyBudget.reserve(answer.val.body.byteLength);
        this.reservedBytes += answer.val.body.byteLength;
        this.reply(() => writeAnswer(this.response, answer.val));
        return Ok(undefined);
    }

    private async readRequestBody(headers: RequestHeaders): Promise<Result<Buffer, HttpFailure>> {
        const { maxBodyBytes, bodyTimeoutMs } = this.options;
        const { contentLength } = headers;
        if (this.needsContinue && (contentLength ?? 0) <= maxBodyBytes) {
            this.needsContinue = false;
            this.response.writeContinue();
        }
        const { signal } = this.controller;
        const readOptions = { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs, contentLength, signal };
        const body = await readBody(this.request, this.bodyBudget, readOptions);
        if (body.ok) {
            this.reservedBytes += body.val.byteLength;
            // If the response closed while the body arrived, its close handler has already run and cannot release these
            // bytes.
            if (this.response.destroyed) {
                this.releaseBytes();
            }
        }
        return body;
    }

    private forward(
        headers: RequestHeaders,
        caller: AuthorizedCaller,
        queue: QueueId,
        timeoutMs: number,
        body: Buffer,
    ): Promise<Result<Answer, HttpFailure>> {
        const { requestKey, isIdempotent, contentType, homeShard } = headers;
        const { gateway, clock, answerGraceMs } = this.options;
        const { signal } = this.controller;
        const request = { team: caller.team, queue, requestKey, isIdempotent, timeoutMs, contentType, signal };
        this.isForwarded = true;
        return new Promise((resolve, reject) => {
            // The owner ends each request by its deadline; this timer ends the wait for an owner that does not answer.
            const timer = clock.schedule(timeoutMs + answerGraceMs, () => {
                const message = "the owner of the shard did not answer before the deadline";
                resolve(Err(createHttpFailure(504, "deadline-exceeded", message, "mayHaveRun")));
            });
            gateway.execute(homeShard, request, body).then(result => {
                resolve(result.ok ? result : Err({ ...result.val, status: toHttpStatus(result.val) }));
            }).catch(reject).finally(() => timer.cancel());
        });
    }

    /** Writes the response unless one was written before, and reports the outcome. */
    private reply(write: () => WrittenResponse): void {
        if (this.hasResponded) {
            return;
        }
        this.hasResponded = true;
        const elapsedMs = this.options.clock.getNow() - this.startedAt;
        const { team, queue, requestKey } = this;
        // A closed response emits no further event that would clear the timers below.
        if (this.response.destroyed) {
            const verdict = this.isForwarded ? "mayHaveRun" : "notRun";
            this.options.onRequestEnd({ status: 0, code: "cancelled", verdict, requestKey, team, queue, elapsedMs });
            return;
        }
        const written = write();
        const { status, code, verdict } = written;
        this.options.onRequestEnd({ status, code, verdict, requestKey: written.requestKey, team, queue, elapsedMs });
        const { socket } = this.request;
        const timer = setTimeout(() => socket.destroy(), this.options.responseTimeoutMs);
        this.response.on("close", () => clearTimeout(timer));
        this.drainBody();
    }

    /** Reads the rest of a refused body for a bounded time, so that the caller receives the refusal. */
    private drainBody(): void {
        if (this.request.complete || this.request.destroyed) {
            return;
        }
        const { socket } = this.request;
        const timer = setTimeout(() => socket.destroy(), bodyDrainTimeoutMs);
        const clearTimer = () => clearTimeout(timer);
        // The request itself emits no `close` event after its response was sent.
        socket.once("close", clearTimer);
        this.request.once("end", () => {
            clearTimer();
            socket.off("close", clearTimer);
        }).resume();
    }

    /** Called when the response was sent or the connection ended. */
    private handleClose(): void {
        // After a response nothing waits for the signal, so the cost of an abort, which records a stack trace, is
        // saved.
        if (!this.hasResponded) {
            this.controller.abort();
        }
        this.releaseBytes();
    }

    private releaseBytes(): void {
        this.bodyBudget.release(this.reservedBytes);
        this.reservedBytes = 0;
    }
}
