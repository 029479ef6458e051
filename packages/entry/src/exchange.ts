/**
 * One request of a caller, from its header to its response.
 */
import { Err, Ok } from "@waxwingroute/core";
import type { QueueId, RequestKey, Result, TeamId } from "@waxwingroute/core";
import type { Answer } from "@waxwingroute/routing";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "./body-reader.js";
import type { ByteBudget } from "./body-reader.js";
import { createRefusal, toStatus } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";
import { parseApiKey, parseHeaders, parseRoute } from "./request-parser.js";
import type { RequestHeaders } from "./request-parser.js";
import { writeAnswer, writeFailure, writeIssuedKey } from "./response-writer.js";
import type { WrittenResponse } from "./response-writer.js";
import type { Access, ResolvedEntryOptions } from "./types.js";

// A caller that still sends a refused body reads the refusal only if the connection stays open for it.
const drainMs = 2000;

export class Exchange {
    private readonly startedAt: number;
    private readonly controller = new AbortController();
    private team: TeamId | undefined;
    private queue: QueueId | undefined;
    private requestKey: RequestKey | undefined;
    private heldBytes = 0;
    private isResponded = false;
    private isSent = false;

    constructor(
        private readonly options: ResolvedEntryOptions,
        private readonly budget: ByteBudget,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        private needsContinue: boolean,
    ) {
        this.startedAt = options.clock.getNow();
        // Errors of either stream end in a close; without a listener they would end the process.
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        response.on("close", () => this.close());
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
            this.failBySent("internal-error", `the entry server failed: ${String(error)}`);
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
        this.failBySent("stopping", "the entry server stopped before the request ended");
    }

    /** Ends the request because its body is not valid HTTP; returns false if the request was sent before. */
    tryRefuse(refusal: HttpFailure): boolean {
        if (this.isSent || this.isResponded) {
            return false;
        }
        this.response.shouldKeepAlive = false;
        this.fail(refusal);
        return true;
    }

    /** Fails with the verdict that depends on whether the request has left this process. */
    private failBySent(code: string, message: string): void {
        this.fail(this.isSent ? createRefusal(502, code, message, "mayHaveRun") : createRefusal(503, code, message));
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
        const access = this.options.access.authenticate(apiKey.val, this.queue);
        if (access.err) {
            return access;
        }
        this.team = access.val.team;
        return route.val.kind === "execute" ? this.execute(access.val, route.val.queue) : this.issueKey();
    }

    private async issueKey(): Promise<Result<void, HttpFailure>> {
        const key = await this.options.gateway.issueKey();
        if (key.err) {
            // A key is not work: without one, nothing ran.
            return Err({ ...key.val, verdict: "notRun", status: 503 });
        }
        this.reply(() => writeIssuedKey(this.response, key.val));
        return Ok(undefined);
    }

    private async execute(access: Access, queue: QueueId): Promise<Result<void, HttpFailure>> {
        const headers = parseHeaders(this.request);
        if (headers.err) {
            return headers;
        }
        this.requestKey = headers.val.requestKey;
        const body = await this.receiveBody(headers.val);
        if (body.err) {
            return body;
        }
        const totalMs = headers.val.deadlineMs ?? access.defaultDeadlineMs;
        const deadlineMs = totalMs - (this.options.clock.getNow() - this.startedAt);
        if (deadlineMs <= 0) {
            return Err(
                createRefusal(504, "deadline-exceeded", `the body took longer than the deadline of ${totalMs} ms`),
            );
        }
        if (this.controller.signal.aborted) {
            return Err(createRefusal(400, "cancelled", "the caller went away before the request was sent"));
        }
        const answer = await this.send(headers.val, access, queue, deadlineMs, body.val);
        if (answer.err) {
            return answer;
        }
        // The answer is in memory already, so its bytes are taken even above the limit, and new bodies wait for them.
        this.budget.take(answer.val.body.byteLength);
        this.heldBytes += answer.val.body.byteLength;
        this.reply(() => writeAnswer(this.response, answer.val));
        return Ok(undefined);
    }

    private async receiveBody(headers: RequestHeaders): Promise<Result<Buffer, HttpFailure>> {
        const { maxBodyBytes, bodyTimeoutMs } = this.options;
        const { contentLength } = headers;
        if (this.needsContinue && (contentLength ?? 0) <= maxBodyBytes) {
            this.needsContinue = false;
            this.response.writeContinue();
        }
        const { signal } = this.controller;
        const limits = { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs, contentLength, signal };
        const body = await readBody(this.request, this.budget, limits);
        if (body.ok) {
            this.heldBytes += body.val.byteLength;
            // The response may have closed in the meantime; then nothing would release the bytes.
            if (this.response.destroyed) {
                this.releaseBytes();
            }
        }
        return body;
    }

    private send(
        headers: RequestHeaders,
        access: Access,
        queue: QueueId,
        deadlineMs: number,
        body: Buffer,
    ): Promise<Result<Answer, HttpFailure>> {
        const { requestKey, isIdempotent, contentType, home } = headers;
        const { gateway, clock, answerGraceMs } = this.options;
        const { signal } = this.controller;
        const request = { team: access.team, queue, requestKey, isIdempotent, deadlineMs, contentType, signal };
        this.isSent = true;
        return new Promise((resolve, reject) => {
            // The owner ends each request by its deadline; this ends the wait for an owner that does not answer.
            const timer = clock.schedule(deadlineMs + answerGraceMs, () => {
                const message = "the owner of the shard did not answer before the deadline";
                resolve(Err(createRefusal(504, "deadline-exceeded", message, "mayHaveRun")));
            });
            gateway.execute(home, request, body).then(result => {
                resolve(result.ok ? result : Err({ ...result.val, status: toStatus(result.val) }));
            }).catch(reject).finally(() => timer.cancel());
        });
    }

    /** Writes the response once. */
    private reply(write: () => WrittenResponse): void {
        if (this.isResponded) {
            return;
        }
        this.isResponded = true;
        const elapsedMs = this.options.clock.getNow() - this.startedAt;
        const { team, queue, requestKey } = this;
        // A closed response emits no further event that would end the timers below.
        if (this.response.destroyed) {
            const verdict = this.isSent ? "mayHaveRun" : "notRun";
            this.options.onResult({ status: 0, code: "cancelled", verdict, requestKey, team, queue, elapsedMs });
            return;
        }
        const written = write();
        const { status, code, verdict } = written;
        this.options.onResult({ status, code, verdict, requestKey: written.requestKey, team, queue, elapsedMs });
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
        const timer = setTimeout(() => socket.destroy(), drainMs);
        const stopTimer = () => clearTimeout(timer);
        // The message itself emits no close event once its response was sent.
        socket.once("close", stopTimer);
        this.request.once("end", () => {
            stopTimer();
            socket.off("close", stopTimer);
        }).resume();
    }

    /** Runs when the response was sent or the connection ended. */
    private close(): void {
        // Each abort records a stack trace; after a response nothing waits for it.
        if (!this.isResponded) {
            this.controller.abort();
        }
        this.releaseBytes();
    }

    private releaseBytes(): void {
        this.budget.release(this.heldBytes);
        this.heldBytes = 0;
    }
}
