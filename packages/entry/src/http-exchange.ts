/**
 * One request of a caller, from its header to its response.
 */
import { Err, Ok } from "@waxwingroute/core";
import type { QueueId, RequestKey, Result, TeamId } from "@waxwingroute/core";
import type { Answer } from "@waxwingroute/routing";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "./body-reader.js";
import type { ByteBudget } from "./body-reader.js";
import { createHttpFailure, toHttpStatus } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";
import { parseApiKey, parseHeaders, parseRoute } from "./request-parser.js";
import type { RequestHeaders } from "./request-parser.js";
import { writeAnswer, writeFailure, writeIssuedKey } from "./response-writer.js";
import type { WrittenResponse } from "./response-writer.js";
import type { AuthorizedCaller, ResolvedEntryServerOptions } from "./types.js";

// A caller that still sends a refused body reads the refusal only if the connection stays open for it.
const bodyDrainTimeoutMs = 2000;

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
        // Errors of either stream end in a close; without a listener they would end the process.
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
            // The verdict depends on whether the request had left this process.
            this.failUnfinished("internal-error", `the entry server failed: ${String(error)}`);
        }
    }

    /** Ends the request with a failure if it has no response yet. */
    fail(failure: HttpFailure): void {
        if (this.needsContinue) {
            // The caller may or may not send the body after a refusal, so the next request on the connection is unclear.
            this.response.shouldKeepAlive = false;
        }
        this.reply(() =>
            writeFailure(this.response, { ...failure, requestKey: failure.requestKey ?? this.requestKey })
        );
        this.controller.abort();
    }

    /** Ends the request because the server stops. */
    stop(): void {
        this.failUnfinished("stopping", "the entry server stopped before the request ended");
    }

    /** Ends the request because its body is not valid HTTP; returns false if the request was sent before. */
    tryRefuse(refusal: HttpFailure): boolean {
        if (this.isForwarded || this.hasResponded) {
            return false;
        }
        this.response.shouldKeepAlive = false;
        this.fail(refusal);
        return true;
    }

    /** Fails with the verdict that depends on whether the request has left this process. */
    private failUnfinished(code: string, message: string): void {
        this.fail(
            this.isForwarded
                ? createHttpFailure(502, code, message, "mayHaveRun")
                : createHttpFailure(503, code, message),
        );
    }

    /** Handles the request, or returns why it failed. */
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
            // A key is not work: without one, nothing ran.
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
            return Err(createHttpFailure(400, "cancelled", "the caller went away before the request was sent"));
        }
        const answer = await this.forward(headers.val, caller, queue, remainingMs, body.val);
        if (answer.err) {
            return answer;
        }
        // The answer is in memory already, so its bytes are taken even above the limit, and new bodies wait for them.
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
        const limits = { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs, contentLength, signal };
        const body = await readBody(this.request, this.bodyBudget, limits);
        if (body.ok) {
            this.reservedBytes += body.val.byteLength;
            // The response may have closed in the meantime; then nothing would release the bytes.
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
        const request = {
            team: caller.team,
            queue,
            requestKey,
            isIdempotent,
            timeoutMs,
            contentType,
            signal,
        };
        this.isForwarded = true;
        return new Promise((resolve, reject) => {
            // The owner ends each request by its deadline; this ends the wait for an owner that does not answer.
            const timer = clock.schedule(timeoutMs + answerGraceMs, () => {
                const message = "the owner of the shard did not answer before the deadline";
                resolve(Err(createHttpFailure(504, "deadline-exceeded", message, "mayHaveRun")));
            });
            gateway.execute(homeShard, request, body).then(result => {
                resolve(result.ok ? result : Err({ ...result.val, status: toHttpStatus(result.val) }));
            }).catch(reject).finally(() => timer.cancel());
        });
    }

    /** Writes the response once. */
    private reply(write: () => WrittenResponse): void {
        if (this.hasResponded) {
            return;
        }
        this.hasResponded = true;
        const elapsedMs = this.options.clock.getNow() - this.startedAt;
        const { team, queue, requestKey } = this;
        // A closed response emits no further event that would end the timers below.
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

    /** Reads the rest of a refused body for a bounded time, so that the caller gets to read the refusal. */
    private drainBody(): void {
        if (this.request.complete || this.request.destroyed) {
            return;
        }
        const { socket } = this.request;
        const timer = setTimeout(() => socket.destroy(), bodyDrainTimeoutMs);
        const clearTimer = () => clearTimeout(timer);
        // The message itself emits no close event once its response was sent.
        socket.once("close", clearTimer);
        this.request.once("end", () => {
            clearTimer();
            socket.off("close", clearTimer);
        }).resume();
    }

    /** Runs when the response was sent or the connection ended. */
    private handleClose(): void {
        // Each abort records a stack trace; after a response nothing waits for it.
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
