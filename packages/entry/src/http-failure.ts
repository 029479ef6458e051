/**
 * Failures as HTTP responses: their status and body.
 */
import { createFailure } from "@waxwingroute/core";
import type { Failure, Verdict } from "@waxwingroute/core";
import type { RequestFailure } from "@waxwingroute/routing";
import { match } from "ts-pattern";

/** A failure and its HTTP status. */
export interface HttpFailure extends RequestFailure {
    readonly status: number;
}

/** Creates a failure; by default one of a request that was not forwarded to any owner. */
export function createHttpFailure(
    status: number,
    code: string,
    message: string,
    verdict: Verdict = "notRun",
): HttpFailure {
    return { ...createFailure(code, message, verdict), status };
}

/** Returns the HTTP status of a failure that came from the owner of a shard. */
export function toHttpStatus(failure: Failure): number {
    return match(failure)
        .with({ code: "bad-request-key" }, () => 400)
        .with({ code: "request-key-conflict" }, () => 409)
        .with({ code: "queue-full" }, { code: "bodies-full" }, () => 429)
        .with({ code: "deadline-exceeded" }, () => 504)
        .with({ verdict: "notRun" }, () => 503)
        .with({ verdict: "mayHaveRun" }, { verdict: "ran" }, () => 502)
        .exhaustive();
}

/** Encodes the JSON body of the response to a failed request. */
export function encodeFailure({ code, message, verdict }: Failure): Buffer {
    return Buffer.from(JSON.stringify({ error: { code, message, verdict } }));
}
