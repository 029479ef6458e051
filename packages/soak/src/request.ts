/** Sends requests of callers over connections that stay open. */
import { Agent, request as createRequest } from "node:http";

/** One request. */
export interface CallerRequest {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly content?: unknown;
    readonly timeoutMs: number;
    /** Keeps the connection; without it, one is opened for the request. */
    readonly agent?: Agent;
}

/** An answer; `status` is 0 if there was none. */
export interface CallerAnswer {
    readonly status: number;
    readonly content: unknown;
}

const noAnswer: CallerAnswer = { status: 0, content: {} };

/** Returns an agent that keeps one connection to each address. */
export function createAgent(): Agent {
    return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends a request and waits for the whole answer. */
export function sendRequest(options: CallerRequest): Promise<CallerAnswer> {
    const { address, method, path, headers = {}, content, timeoutMs, agent } = options;
    const [host, port] = address.split(":");
    const body = content === undefined ? undefined : JSON.stringify(content);
    return new Promise(resolve => {
        const request = createRequest({
            host,
            port,
            method,
            path,
            agent: agent ?? false,
            headers: body === undefined ? headers : {
                ...headers,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            },
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => resolve(noAnswer));
            response.on("aborted", () => resolve(noAnswer));
            response.on("end", () => {
                clearTimeout(timer);
                resolve({ status: response.statusCode ?? 0, content: parseContent(Buffer.concat(chunks)) });
            });
        });
        const timer = setTimeout(() => request.destroy(), timeoutMs);
        request.on("error", () => {
            clearTimeout(timer);
            resolve(noAnswer);
        });
        request.on("close", () => {
            clearTimeout(timer);
            resolve(noAnswer);
        });
        request.end(body);
    });
}

function parseContent(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return {};
    }
}
