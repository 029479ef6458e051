/**
 * Reads the headers, query and JSON body of requests, each within a bound.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { formatValue, maxResourceBytes, maxRevision } from "@waxwingroute/resources";
import type { IncomingMessage } from "node:http";

/** Maximum number of headers of one request. */
const maxHeaderCount = 64;
/**
 * Bytes of a body above its bound that are read and discarded, so that the client receives the response instead of a
 * reset.
 */
const maxDrainedBytes = 4 * 1024 * 1024;
/** A version in `If-Match`: digits, with or without the quotes of an entity tag. */
const versionPattern = /^(?:"(\d{1,16})"|(\d{1,16}))$/;

/** Checks the number of headers; Node bounds their size. Failure: `too-many-headers`. */
export function checkHeaders(request: IncomingMessage): Result<void, Failure> {
    const count = request.rawHeaders.length / 2;
    return count <= maxHeaderCount
        ? Ok(undefined)
        : Err(
            createFailure(
                "too-many-headers",
                `the request has ${count} headers: send at most ${maxHeaderCount}`,
                "notRun",
            ),
        );
}

/** Returns the token of the `Authorization: Bearer` header; `undefined` if there is none. */
export function findBearerToken(request: IncomingMessage): string | undefined {
    return /^Bearer ([\x21-\x7e]+)$/i.exec(request.headers.authorization ?? "")?.[1];
}

/** Returns the version of `If-Match`; `undefined` if the header is absent. Failure: `invalid-version`. */
export function parseIfMatch(request: IncomingMessage): Result<number | undefined, Failure> {
    const text = request.headers["if-match"];
    if (text === undefined) {
        return Ok(undefined);
    }
    const digits = versionPattern.exec(text.trim());
    const version = Number(digits?.[1] ?? digits?.[2] ?? NaN);
    if (!Number.isSafeInteger(version)) {
        const message = `If-Match is ${
            formatValue(text)
        }: use the version of the resource, an integer up to ${maxRevision}`;
        return Err(createFailure("invalid-version", message, "notRun"));
    }
    return Ok(version);
}

/** Checks that a query has only the named parameters, each at most once. Failure: `invalid-query`. */
export function parseQuery<Name extends string>(
    query: URLSearchParams,
    names: readonly Name[],
): Result<Partial<Record<Name, string>>, Failure> {
    const values: Partial<Record<Name, string>> = {};
    for (const [name, value] of query) {
        const known = names.find(other => other === name);
        if (known === undefined || values[known] !== undefined) {
            const message = `query parameter ${formatValue(name)} is unknown or repeated: use ${
                names.join(", ") || "none"
            }`;
            return Err(createFailure("invalid-query", message, "notRun"));
        }
        values[known] = value;
    }
    return Ok(values);
}

/** Parses an integer parameter. Failure: `invalid-query`. */
export function parseInteger(name: string, text: string, minimum: number, maximum: number): Result<number, Failure> {
    const value = /^\d{1,16}$/.test(text) ? Number(text) : NaN;
    if (!(value >= minimum && value <= maximum)) {
        const message = `query parameter ${name} is ${formatValue(text)}: use an integer from ${minimum} to ${maximum}`;
        return Err(createFailure("invalid-query", message, "notRun"));
    }
    return Ok(value);
}

/**
 * Reads a JSON body. An empty body is `undefined`. Failures (`notRun`): `unsupported-media-type`, `body-too-large`,
 * `invalid-json`, `connection-lost`.
 */
export async function readJsonBody(request: IncomingMessage): Promise<Result<unknown, Failure>> {
    const bytes = await readBytes(request);
    if (!bytes.ok || bytes.val.length === 0) {
        return bytes.map(() => undefined);
    }
    // Guards against cross-site requests: a browser sends this type to another origin only after a preflight request.
    if (!/^application\/json\s*(?:;|$)/i.test(request.headers["content-type"] ?? "")) {
        const message = `Content-Type is ${formatValue(request.headers["content-type"])}: use application/json`;
        return Err(createFailure("unsupported-media-type", message, "notRun"));
    }
    try {
        return Ok(JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(bytes.val)) as unknown);
    }
    catch (error) {
        const message = `the body is not JSON in UTF-8: ${error instanceof Error ? error.message : String(error)}`;
        return Err(createFailure("invalid-json", message, "notRun"));
    }
}

/**
 * Reads and discards the rest of a body, up to a bound, so that the client receives the response instead of a reset.
 */
export async function drainBody(request: IncomingMessage): Promise<void> {
    await readBytes(request);
}

async function readBytes(request: IncomingMessage): Promise<Result<Buffer, Failure>> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        // Leaving the loop must not destroy the connection, because the response still has to be sent on it.
        for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length <= maxResourceBytes) {
                chunks.push(chunk);
            }
            if (length > maxResourceBytes + maxDrainedBytes) {
                break;
            }
        }
    }
    catch {
        return Err(createFailure("connection-lost", "the connection ended before the whole body arrived", "notRun"));
    }
    return length <= maxResourceBytes
        ? Ok(Buffer.concat(chunks))
        : Err(
            createFailure(
                "body-too-large",
                `the body is larger than ${maxResourceBytes} bytes: make it smaller`,
                "notRun",
            ),
        );
}
