/**
 * Reads request bodies into memory, with a bound for each and for all together.
 */
import { Err, Ok } from "@waxwingroute/core";
import type { Result } from "@waxwingroute/core";
import type { IncomingMessage } from "node:http";
import { createHttpFailure } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";

/** Bounds the memory that all bodies in progress use together. */
export class ByteBudget {
    private used = 0;

    constructor(private readonly limitBytes: number) {}

    get usedBytes(): number {
        return this.used;
    }

    /** Reserves bytes if the limit allows it; returns whether it did. */
    tryReserve(bytes: number): boolean {
        if (this.used + bytes > this.limitBytes) {
            return false;
        }
        this.used += bytes;
        return true;
    }

    /**
     * Reserves bytes that are already in memory, even above the limit; new bodies are then refused until bytes are
     * released.
     */
    reserve(bytes: number): void {
        this.used += bytes;
    }

    release(bytes: number): void {
        this.used -= bytes;
    }
}

/** Bounds on reading the body of one request. */
export interface BodyReadOptions {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** The value of Content-Length, if there is one. */
    readonly contentLength: number | undefined;
    /** Ends the read. A request whose response was sent early emits no event when its connection closes. */
    readonly signal: AbortSignal;
}

/**
 * Collects chunks in one growing buffer, because a list of many small chunks takes far more memory than their bytes.
 * Memory is reserved as bytes arrive, because a caller that announces a long body and sends nothing must not keep
 * others out.
 */
class BodyBuffer {
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;

    constructor(private readonly budget: ByteBudget, private readonly options: BodyReadOptions) {}

    /** Adds a chunk; returns a failure if a limit does not allow it. */
    append(chunk: Buffer): HttpFailure | undefined {
        const neededBytes = this.length + chunk.byteLength;
        if (neededBytes > this.options.maxBytes) {
            return createBodyTooLargeFailure(this.options.maxBytes);
        }
        if (neededBytes > this.buffer.byteLength) {
            const expected = this.options.contentLength ?? this.options.maxBytes;
            const capacity = Math.min(
                Math.max(neededBytes, 2 * this.buffer.byteLength),
                Math.max(neededBytes, expected),
            );
            if (!this.budget.tryReserve(capacity - this.buffer.byteLength)) {
                return createHttpFailure(
                    503,
                    "bodies-full",
                    "the bodies of the requests in progress use all the memory that is reserved for bodies",
                );
            }
            const larger = this.length === 0 ? chunk : Buffer.allocUnsafeSlow(capacity);
            this.buffer.copy(larger, 0, 0, this.length);
            this.buffer = larger;
        }
        if (this.buffer !== chunk) {
            chunk.copy(this.buffer, this.length);
        }
        this.length = neededBytes;
        return undefined;
    }

    /** Returns the body, whose bytes remain reserved, and releases the unused rest of the buffer. */
    finish(): Buffer {
        this.budget.release(this.buffer.byteLength - this.length);
        return this.buffer.subarray(0, this.length);
    }

    release(): void {
        this.budget.release(this.buffer.byteLength);
    }
}

function createBodyTooLargeFailure(maxBytes: number): HttpFailure {
    return createHttpFailure(413, "body-too-large", `the body is larger than ${maxBytes} bytes`);
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
        const body = new BodyBuffer(budget, options);
        const refuse = (failure: HttpFailure) => {
            removeListeners();
            body.release();
            resolve(Err(failure));
        };
        const onData = (chunk: Buffer) => {
            const failure = body.append(chunk);
            if (failure !== undefined) {
                refuse(failure);
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
