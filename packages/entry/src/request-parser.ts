/**
 * Parses the request line and the headers of callers. Anything ambiguous is refused: a header that is ignored by
 * mistake could cause a request to run twice, or for another team.
 */
import { Err, isValidName, Ok, toId } from "@waxwingroute/core";
import type { QueueId, RequestKey, Result, ShardId } from "@waxwingroute/core";
import { parseRequestKey } from "@waxwingroute/routing";
import type { IncomingMessage } from "node:http";
import { createHttpFailure } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";

/** What a caller requests: an execution on a queue, or a request key. */
export type Route =
    | { readonly kind: "execute"; readonly queue: QueueId; }
    | { readonly kind: "issueKey"; readonly queue: QueueId | undefined; };

/** The headers of a request to a queue. */
export interface RequestHeaders {
    readonly requestKey: RequestKey | undefined;
    /** The shard that issued the request key; only its owner knows whether the key was used. */
    readonly homeShard: ShardId | undefined;
    readonly isIdempotent: boolean;
    /** `undefined` if the caller sent none; the queue's default then applies. */
    readonly deadlineMs: number | undefined;
    readonly contentType: string;
    /** `undefined` if the length of the body is unknown. */
    readonly contentLength: number | undefined;
}

/** Longest deadline that a caller can set. */
export const maxDeadlineMs = 600_000;

/** Finds the route of a request. Failures: 400, 404, 405, all `notRun`. */
export function parseRoute(method: string, url: string): Result<Route, HttpFailure> {
    const [path, query] = url.split("?", 2) as [string, string | undefined];
    const executeMatch = /^\/v1\/queues\/([^/]*)\/requests$/.exec(path);
    if (executeMatch === null && path !== "/v1/request-keys") {
        return Err(
            createHttpFailure(404, "unknown-path", "no such path; use /v1/queues/{queue}/requests or /v1/request-keys"),
        );
    }
    if (method !== "POST") {
        return Err(createHttpFailure(405, "method-not-allowed", `${path} accepts only POST`));
    }
    const name = executeMatch?.[1] ?? new URLSearchParams(query ?? "").get("queue") ?? undefined;
    if (name !== undefined && !isValidName(name)) {
        const message = "a queue name has 1 to 63 lower-case letters, digits and inner hyphens";
        return Err(createHttpFailure(400, "bad-queue-name", message));
    }
    const queue = name === undefined ? undefined : toId<QueueId>(name);
    return Ok(
        executeMatch !== null && queue !== undefined ? { kind: "execute", queue } : { kind: "issueKey", queue },
    );
}

/** Returns the API key of a request, or `undefined` if it has none. Failures: 400, 401, both `notRun`. */
export function parseApiKey(message: IncomingMessage): Result<string | undefined, HttpFailure> {
    const header = getSingleValue(message, "authorization");
    if (header.err || header.val === undefined) {
        return header;
    }
    const apiKey = /^Bearer +([!-~]{1,512})$/i.exec(header.val)?.[1];
    return apiKey === undefined
        ? Err(createHttpFailure(401, "bad-authorization", "the Authorization header must be \"Bearer <key>\""))
        : Ok(apiKey);
}

/** Parses the headers of a request to a queue. Failures: 400, 415, both `notRun`. */
export function parseHeaders(message: IncomingMessage): Result<RequestHeaders, HttpFailure> {
    const names = [
        "waxwing-request-key",
        "waxwing-idempotent",
        "waxwing-deadline-ms",
        "content-type",
        "content-encoding",
    ];
    const values: (string | undefined)[] = [];
    for (const name of names) {
        const value = getSingleValue(message, name);
        if (value.err) {
            return value;
        }
        values.push(value.val);
    }
    const [requestKey, idempotent = "false", deadline, contentType = "application/octet-stream", encoding] = values;
    const parts = requestKey === undefined ? undefined : parseRequestKey(requestKey);
    if (requestKey !== undefined && parts === undefined) {
        return refuseHeader("bad-request-key", "Waxwing-Request-Key is not a request key of this system");
    }
    if (idempotent !== "true" && idempotent !== "false") {
        return refuseHeader("bad-idempotent", "Waxwing-Idempotent must be \"true\" or \"false\"");
    }
    if (deadline !== undefined && (!/^[1-9][0-9]{0,5}$/.test(deadline) || Number(deadline) > maxDeadlineMs)) {
        return refuseHeader("bad-deadline", `Waxwing-Deadline-Ms must be a whole number from 1 to ${maxDeadlineMs}`);
    }
    if (encoding !== undefined && encoding.toLowerCase() !== "identity") {
        return Err(createHttpFailure(415, "unsupported-encoding", "send the body without Content-Encoding"));
    }
    const length = message.headers["content-length"];
    return Ok({
        requestKey: requestKey === undefined ? undefined : toId<RequestKey>(requestKey),
        homeShard: parts?.shard,
        isIdempotent: idempotent === "true",
        deadlineMs: deadline === undefined ? undefined : Number(deadline),
        contentType,
        contentLength: length === undefined ? undefined : Number(length),
    });
}

function refuseHeader(code: string, message: string): Result<never, HttpFailure> {
    return Err(createHttpFailure(400, code, message));
}

/** Returns the value of a header, which may occur at most once. */
function getSingleValue(message: IncomingMessage, name: string): Result<string | undefined, HttpFailure> {
    const values = message.headersDistinct[name] ?? [];
    return values.length > 1
        ? Err(createHttpFailure(400, "repeated-header", `the header "${name}" occurs ${values.length} times`))
        : Ok(values[0]);
}
