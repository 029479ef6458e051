/**
 * One HTTP client for all adapters. It reports exactly whether a failed call may have reached the server.
 */
import type { Clock, Result } from "@waxwingroute/core";
import { Err, Ok, SystemClock } from "@waxwingroute/core";
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders } from "node:http";
import { Agent, request as createRequest } from "node:http";
import { headerNames } from "./wire.js";

/** A finished call, for metering. */
export interface CompletedHttpCall {
    /** `store`, `worker`, `executor` or `host-list`. */
    readonly service: string;
    /** Method of the adapter, for example `readRange`. */
    readonly operation: string;
    /** Bytes of the request body. */
    readonly bytesSent: number;
    /** Bytes of the response body that arrived. */
    readonly bytesReceived: number;
    readonly durationMs: number;
    /** Whether a whole response arrived, whatever its status. */
    readonly isAnswered: boolean;
}

/** Options of every HTTP adapter. */
export interface HttpClientOptions {
    /** Base URL of the service, for example `http://127.0.0.1:7000`; a path in it is kept. */
    readonly url: string;
    /** Milliseconds after which a call is aborted. Default 1,000; a watch adds the time that it may wait. */
    readonly timeoutMs?: number;
    /** Zone or host that sends, told to the service with each call. Default: not told. */
    readonly source?: string;
    /** Most connections open at one time. Default 64. */
    readonly maxConnections?: number;
    /**
     * Milliseconds after which an idle connection is closed. Default 4,000: below the 5,000 ms after which Node.js servers
     * close it, since a request that meets that close has an unknown outcome.
     */
    readonly idleTimeoutMs?: number;
    /** Largest response body, in bytes. Default 67,108,864 (64 MB). */
    readonly maxResponseBytes?: number;
    /** Whether calls carry the headers of `wire` that tell the sender and the time. Default true. */
    readonly sendsPlatformHeaders?: boolean;
    /** Called after each call. */
    readonly onCall?: (call: CompletedHttpCall) => void;
    /** Clock for time-outs and durations. Default: the machine's. */
    readonly clock?: Clock;
}

/** One call. */
export interface HttpRequest {
    readonly operation: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    /** Path below the base URL, with query. */
    readonly path: string;
    readonly headers?: OutgoingHttpHeaders;
    readonly body?: Uint8Array | string;
    /** Milliseconds; overrides the time-out of the options. */
    readonly timeoutMs?: number;
}

/** A whole response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** A call without a whole response. */
export interface TransportFailure {
    readonly kind: "invalidRequest" | "unreachable" | "timedOut" | "cutShort" | "tooLarge";
    /** `false` only if no byte of the request left this process. */
    readonly wasSent: boolean;
    readonly message: string;
}

/** Sends calls to one service over kept-alive connections. */
export class HttpClient {
    private readonly clock: Clock;
    private readonly agent: Agent;
    private readonly base: URL;

    constructor(private readonly service: string, private readonly options: HttpClientOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.base = new URL(options.url);
        if (this.base.protocol !== "http:") {
            throw new Error(`URL of the ${service} must begin with "http://", not "${options.url}"`);
        }
        this.agent = new Agent({
            keepAlive: true,
            maxSockets: options.maxConnections ?? 64,
            timeout: options.idleTimeoutMs ?? 4_000,
            scheduling: "lifo",
        });
    }

    /** Milliseconds after which a call without its own time-out is aborted. */
    get timeoutMs(): number {
        return this.options.timeoutMs ?? 1_000;
    }

    /** Closes all connections. Calls in flight fail. */
    close(): void {
        this.agent.destroy();
    }

    /** Sends one request and reads the whole response. */
    async send(request: HttpRequest): Promise<Result<HttpResponse, TransportFailure>> {
        const startedAt = this.clock.getNow();
        const body = request.body === undefined ? undefined : Buffer.from(request.body);
        const exchange = new Exchange(this.options.maxResponseBytes ?? 67_108_864);
        const timeoutMs = request.timeoutMs ?? this.timeoutMs;
        const timer = this.clock.schedule(timeoutMs, () => exchange.expire(timeoutMs));
        const result = await exchange.run(() => this.createOutgoing(request, body), body);
        timer.cancel();
        this.options.onCall?.({
            service: this.service,
            operation: request.operation,
            bytesSent: body?.length ?? 0,
            bytesReceived: exchange.bytesReceived,
            durationMs: this.clock.getNow() - startedAt,
            isAnswered: result.ok,
        });
        return result;
    }

    private buildOwnHeaders(): OutgoingHttpHeaders {
        if (this.options.sendsPlatformHeaders === false) {
            return {};
        }
        const sentAt = { [headerNames.sentAt]: String(this.clock.getWallTime()) };
        return this.options.source === undefined ? sentAt : { ...sentAt, [headerNames.source]: this.options.source };
    }

    private createOutgoing(request: HttpRequest, body: Buffer | undefined): ClientRequest {
        const basePath = this.base.pathname.replace(/\/$/, "");
        return createRequest({
            agent: this.agent,
            hostname: this.base.hostname,
            port: this.base.port,
            method: request.method,
            path: basePath + request.path,
            headers: {
                ...request.headers,
                ...this.buildOwnHeaders(),
                ...body === undefined ? {} : { "content-length": body.length },
            },
        });
    }
}

/** One request and its response. The first end of several (response, error, time-out) decides the result. */
class Exchange {
    bytesReceived = 0;
    private wasSent = false;
    private outgoing: ClientRequest | undefined;
    private resolve: ((result: Result<HttpResponse, TransportFailure>) => void) | undefined;

    constructor(private readonly maxResponseBytes: number) {}

    run(create: () => ClientRequest, body: Buffer | undefined): Promise<Result<HttpResponse, TransportFailure>> {
        return new Promise(resolve => {
            this.resolve = resolve;
            try {
                this.outgoing = create();
            }
            catch (error) {
                // Node.js throws when a header holds a character that HTTP does not allow.
                this.fail("invalidRequest", error instanceof Error ? error.message : String(error));
                return;
            }
            this.outgoing.on("socket", socket => {
                // Node.js writes nothing before the connection is made, so an earlier failure means "not sent".
                if (socket.connecting) {
                    socket.once("connect", () => {
                        this.wasSent = true;
                    });
                }
                else {
                    this.wasSent = true;
                }
            });
            this.outgoing.on("response", response => this.collect(response));
            this.outgoing.on("error", error => this.fail(this.wasSent ? "cutShort" : "unreachable", error.message));
            this.outgoing.on("close", () => this.fail("cutShort", "the connection ended without a response"));
            this.outgoing.end(body);
        });
    }

    expire(timeoutMs: number): void {
        this.fail("timedOut", `no whole response within ${timeoutMs} ms`);
        this.outgoing?.destroy();
    }

    private collect(response: IncomingMessage): void {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            this.bytesReceived += chunk.length;
            if (this.bytesReceived > this.maxResponseBytes) {
                this.fail("tooLarge", `the response is larger than ${this.maxResponseBytes} bytes`);
                this.outgoing?.destroy();
            }
        });
        response.on("error", error => this.fail("cutShort", `the response was cut short: ${error.message}`));
        response.on("end", () => {
            if (response.complete) {
                const body = Buffer.concat(chunks);
                this.settle(Ok({ status: response.statusCode ?? 0, headers: response.headers, body }));
            }
            else {
                this.fail("cutShort", `the response was cut short after ${this.bytesReceived} bytes`);
            }
        });
        response.on(
            "close",
            () => this.fail("cutShort", `the response was cut short after ${this.bytesReceived} bytes`),
        );
    }

    private fail(kind: TransportFailure["kind"], message: string): void {
        // Every call ends with "close" events; an `Err` records a stack trace, which costs more than the rest of a call.
        if (this.resolve === undefined) {
            return;
        }
        this.settle(Err({ kind, wasSent: this.wasSent, message }));
    }

    private settle(result: Result<HttpResponse, TransportFailure>): void {
        this.resolve?.(result);
        this.resolve = undefined;
    }
}
