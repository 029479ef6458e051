/**
 * Reads request bodies into memory, with a bound for each and for all together.
 */
import { Err, Ok } from "@waxwingroute/core";
import type { Result } from "@waxwingroute/core";
import { BodyBuffer } from "@waxwingroute/host-limits";
import type { BodyRefusal, ByteBudget } from "@waxwingroute/host-limits";
import type { IncomingMessage } from "node:http";
import { createHttpFailure } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";

/** Bounds on reading the body of one request. */
export interface BodyReadOptions {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** The value of Content-Length, if there is one. */
    readonly contentLength: number | undefined;
    /** Ends the read. A request whose response was sent early emits no event when its connection closes. */
    readonly signal: AbortSignal;
}

function createBodyTooLargeFailure(maxBytes: number): HttpFailure {
    return createHttpFailure(413, "body-too-large", `the body is larger than ${maxBytes} bytes`);
}

function createRefusalFailure(refusal: BodyRefusal, maxBytes: number): HttpFailure {
    return refusal === "tooLarge" ? createBodyTooLargeFailure(maxBytes) : createHttpFailure(
        503,
        "bodies-full",
        "the bodies of the requests in progress use all the memory that is reserved for bodies",
    );
}

/**
 * Reads the whole body of a request. On success the bytes of the body remain reserved, and the code that called this
 * function must release them; on failure nothing remains reserved. Failures: 400, 408, 413, 503, all `notRun`.
 */
export function readBody(
    message: IncomingMessage,
    budget: ByteBudget,
    options: BodyReadOptions,
): Promise<Result<Buffer, HttpFailure>> {
    if ((options.contentLength ?? 0) > options.maxBytes) {
        return Promise.resolve(Err(createBodyTooLargeFailure(options.maxBytes)));
    }
    return new Promise(resolve => {
        const body = new BodyBuffer({ budget, maxBytes: options.maxBytes, statedBytes: options.contentLength });
        const refuse = (failure: HttpFailure) => {
            removeListeners();
            body.release();
            resolve(Err(failure));
        };
        const onData = (chunk: Buffer) => {
            const refusal = body.append(chunk);
            if (refusal !== undefined) {
                refuse(createRefusalFailure(refusal, options.maxBytes));
            }
        };
        const onEnd = () => {
            removeListeners();
            resolve(Ok(body.finish()));
        };
        const onClose = () =>
            refuse(createHttpFailure(400, "body-incomplete", "the connection ended before the body was complete"));
        const onTimeout = () =>
            refuse(createHttpFailure(408, "body-timeout", `the body did not arrive within ${options.timeoutMs} ms`));
        const timer = setTimeout(onTimeout, options.timeoutMs);
        const removeListeners = () => {
            clearTimeout(timer);
            message.off("data", onData).off("end", onEnd).off("close", onClose);
            options.signal.removeEventListener("abort", onClose);
        };
        message.on("data", onData).on("end", onEnd).on("close", onClose);
        options.signal.addEventListener("abort", onClose);
    });
}
