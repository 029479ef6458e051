/**
 * An HTTP client that sends any bytes and parses whatever it receives.
 */
import { connect } from "node:net";
import type { Socket } from "node:net";

/** A response as it was received, possibly incomplete. */
export interface RawResponse {
    /** 0 if no status line was received. */
    readonly status: number;
    readonly headers: ReadonlyMap<string, string>;
    readonly body: Buffer;
    /** Whether the body has at least the length that Content-Length states. */
    readonly isComplete: boolean;
}

/** Parses the first response in `bytes` that is not `100 Continue`. */
export function parseResponse(bytes: Buffer): RawResponse {
    const end = bytes.indexOf("\r\n\r\n");
    const [statusLine = "", ...lines] = bytes.subarray(0, Math.max(0, end)).toString("latin1").split("\r\n");
    const status = Number(/^HTTP\/1\.1 ([0-9]{3})/.exec(statusLine)?.[1] ?? 0);
    if (status === 100) {
        return parseResponse(bytes.subarray(end + 4));
    }
    const headers = new Map(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const rest = bytes.subarray(end + 4);
    const length = headers.get("content-length");
    const expected = length === undefined ? -1 : Number(length);
    return {
        status,
        headers,
        body: rest.subarray(0, Math.max(0, expected)),
        isComplete: rest.byteLength >= expected && expected >= 0,
    };
}

/** Options of one raw request. */
export interface RawRequestOptions {
    /** Whether to half-close the connection after the bytes. Default false. */
    readonly isHalfClosed?: boolean;
    /** Maximum wait for a complete response, in milliseconds. Default 2,000. */
    readonly timeoutMs?: number;
}

/**
 * Sends bytes on a new connection and resolves with the first response, or with what arrived before the connection
 * closed.
 */
export function sendRaw(port: number, bytes: Buffer | string, options: RawRequestOptions = {}): Promise<RawResponse> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        const socket: Socket = connect(port, "127.0.0.1");
        const finish = () => {
            clearTimeout(timer);
            socket.destroy();
            resolve(parseResponse(Buffer.concat(chunks)));
        };
        const timer = setTimeout(finish, options.timeoutMs ?? 2000);
        socket.on("error", () => undefined).on("close", finish).on("data", chunk => {
            chunks.push(chunk);
            const response = parseResponse(Buffer.concat(chunks));
            if (response.status !== 0 && response.isComplete) {
                finish();
            }
        });
        socket.write(bytes);
        if (options.isHalfClosed === true) {
            socket.end();
        }
    });
}

/** Builds a request to a queue; `headers` replace or add to the usual ones, and `undefined` leaves one out. */
export function buildRequest(body: string, headers: Record<string, string | undefined> = {}, path = "orders"): string {
    const all: Record<string, string | undefined> = {
        "Authorization": "Bearer secret",
        "Content-Type": "text/plain",
        "Content-Length": `${Buffer.byteLength(body)}`,
        ...headers,
    };
    const lines = Object.entries(all).filter(([, value]) => value !== undefined).map(([name, value]) =>
        `${name}: ${value}`
    );
    return `POST /v1/queues/${path}/requests HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
}
