/**
 * Replies to requests, and the HTTP status of each failure.
 */
import type { Failure, Verdict } from "@waxwingroute/core";
import type { ServerResponse } from "node:http";
import { match } from "ts-pattern";

/** A reply, which is sent as JSON. */
export interface Reply {
    readonly status: number;
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** HTTP status by failure code. The status of any other code follows from the verdict. */
const statusByCode: Readonly<Record<string, number>> = {
    "invalid-json": 400,
    "invalid-name": 400,
    "invalid-path": 400,
    "invalid-query": 400,
    "invalid-request": 400,
    "invalid-resource": 400,
    "invalid-version": 400,
    "unschedulable": 400,
    "unauthorized": 401,
    "wrong-team": 403,
    "not-found": 404,
    "unknown-kind": 404,
    "unknown-path": 404,
    "method-not-allowed": 405,
    "request-timeout": 408,
    "already-exists": 409,
    "version-conflict": 409,
    "revision-compacted": 410,
    "body-too-large": 413,
    "unsupported-media-type": 415,
    "version-required": 428,
    "over-limit": 429,
    "queue-full": 429,
    "too-many-watches": 429,
    "too-many-headers": 431,
    "internal-error": 500,
    "damaged-value": 500,
    "newer-format": 500,
    "deadline-exceeded": 504,
};

/** Returns the HTTP status of a failure. */
export function toHttpStatus(failure: Failure): number {
    return statusByCode[failure.code] ?? toVerdictStatus(failure.verdict);
}

/** Builds the reply for a failure: `{ error: { code, message, verdict } }`. */
export function createErrorReply(failure: Failure, headers: Readonly<Record<string, string>> = {}): Reply {
    const { code, message, verdict, retryAfterMs } = failure;
    const retryHeaders: Record<string, string> = retryAfterMs === undefined
        ? {}
        : { "Retry-After": String(Math.ceil(retryAfterMs / 1000)) };
    return {
        status: toHttpStatus(failure),
        body: { error: { code, message, verdict } },
        headers: { ...headers, ...retryHeaders, "Waxwing-Verdict": verdict },
    };
}

/** Writes a reply and ends the response. */
export function sendReply(response: ServerResponse, reply: Reply): void {
    const text = `${JSON.stringify(reply.body)}\n`;
    response.writeHead(reply.status, {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(text),
        "Cache-Control": "no-store",
        ...reply.headers,
    });
    response.end(text);
}

function toVerdictStatus(verdict: Verdict): number {
    return match(verdict)
        .with("notRun", () => 503)
        .with("mayHaveRun", "ran", () => 502)
        .exhaustive();
}
