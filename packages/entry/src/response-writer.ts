/**
 * Writes responses. Each has a Content-Length, so that a truncated response never looks complete, and is written in one
 * call.
 */
import type { RequestKey, Verdict } from "@waxwingroute/core";
import type { Answer } from "@waxwingroute/routing";
import { validateHeaderValue } from "node:http";
import type { ServerResponse } from "node:http";
import { createHttpFailure, encodeFailure } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";

/** A response as it was written. */
export interface WrittenResponse {
    readonly status: number;
    readonly code: string | undefined;
    readonly verdict: Verdict;
    readonly requestKey: RequestKey | undefined;
    readonly bodyBytes: number;
}

// HTTP allows no body with these statuses, so an answer with a body would reach its caller without it.
const statusesWithoutBody = new Set([204, 205, 304]);

/** Writes the answer of an executor, or a failure if the answer cannot be sent over HTTP. */
export function writeAnswer(response: ServerResponse, answer: Answer): WrittenResponse {
    const { status, body, requestKey } = answer;
    const hasBody = !statusesWithoutBody.has(status);
    if (!Number.isInteger(status) || status < 200 || status > 599 || !hasBody && body.byteLength > 0) {
        const message =
            `the executor answered with status ${status} and ${body.byteLength} bytes, which HTTP does not allow`;
        return writeFailure(response, { ...createHttpFailure(502, "bad-answer", message, "ran"), requestKey });
    }
    response.statusCode = status;
    if (hasBody) {
        response.setHeader(
            "Content-Type",
            isHeaderValue(answer.contentType) ? answer.contentType : "application/octet-stream",
        );
        response.setHeader("Content-Length", body.byteLength);
    }
    setVerdictHeaders(response, "ran", requestKey);
    response.end(body);
    return { status, code: undefined, verdict: "ran", requestKey, bodyBytes: body.byteLength };
}

/** Writes a failure as JSON. */
export function writeFailure(response: ServerResponse, failure: HttpFailure): WrittenResponse {
    const { status, code, verdict, requestKey, retryAfterMs } = failure;
    const body = encodeFailure(failure);
    response.statusCode = status;
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", body.byteLength);
    setVerdictHeaders(response, verdict, requestKey);
    if (retryAfterMs !== undefined) {
        response.setHeader("Retry-After", Math.ceil(retryAfterMs / 1000));
    }
    if (status === 401) {
        response.setHeader("WWW-Authenticate", "Bearer");
    }
    if (status === 405) {
        response.setHeader("Allow", "POST");
    }
    response.end(body);
    return { status, code, verdict, requestKey, bodyBytes: body.byteLength };
}

/** Writes a request key that was issued. */
export function writeIssuedKey(response: ServerResponse, requestKey: RequestKey): WrittenResponse {
    const body = Buffer.from(JSON.stringify({ requestKey }));
    response.statusCode = 201;
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", body.byteLength);
    // No request has used the key yet.
    setVerdictHeaders(response, "notRun", requestKey);
    response.end(body);
    return { status: 201, code: undefined, verdict: "notRun", requestKey, bodyBytes: body.byteLength };
}

/** Encodes a complete HTTP response for a connection on which no request could be parsed. */
export function encodeRawFailure(failure: HttpFailure): Buffer {
    const body = encodeFailure(failure);
    const reasonPhrases: Record<number, string> = {
        400: "Bad Request",
        405: "Method Not Allowed",
        408: "Request Timeout",
    };
    const head = [
        `HTTP/1.1 ${failure.status} ${reasonPhrases[failure.status] ?? "Request Header Fields Too Large"}`,
        "Content-Type: application/json",
        `Content-Length: ${body.byteLength}`,
        `Waxwing-Verdict: ${failure.verdict}`,
        "Connection: close",
    ];
    return Buffer.concat([Buffer.from(`${head.join("\r\n")}\r\n\r\n`), body]);
}

function setVerdictHeaders(response: ServerResponse, verdict: Verdict, requestKey: RequestKey | undefined): void {
    response.setHeader("Waxwing-Verdict", verdict);
    if (requestKey !== undefined) {
        response.setHeader("Waxwing-Request-Key", requestKey);
    }
}

function isHeaderValue(value: string): boolean {
    try {
        validateHeaderValue("Content-Type", value);
        return value.length <= 1024;
    }
    catch {
        return false;
    }
}
