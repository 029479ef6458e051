/**
 * HTTP client that all adapters share. For a failed call it reports exactly whether the server may have received it.
 */
import type { Clock, Result } from "@waxwingroute/core";
import { Err, Ok, SystemClock } from "@waxwingroute/core";
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders } from "node:http";
import { Agent, request as createRequest } from "node:http";
import type { Socket } from "node:net";
import { headerNames } from "./wire.js";

/** A call that ended with or without a response, for metering. */
export interface CompletedHttpCall {
    /** `store`, `worker`, `executor` or `host-list`. */
    readonly service: string;
    /** Method of the adapter, for example `readRange`. */
    readonly operation: string;
    /** Bytes of the request body. */
    readonly bytesSent: number;
    /** Bytes received of the response body. */
    readonly bytesReceived: number;
    readonly durationMs: number;
    /** Whether a complete response arrived, whatever its status. */
    readonly isAnswered: boolean;
}

/** Options of every HTTP adapter. */
export interface HttpClientOptions {
    /** Base URL of the service, for example `http://127.0.0.1:7000`. Its path is a prefix of the paths of all calls. */
    readonly url: string;
    /** Time-out of a call, in milliseconds. Default 1,000; a watch adds the time that it may wait. */
    readonly timeoutMs?: number;
    /** Zone or host of the sender, sent with each call as `x-source`. Default: not sent. */
    readonly source?: string;
    /** Most connections that are open at one time. Default 64. */
    readonly maxConnections?: number;
    /**
     * Milliseconds after which an idle connection is closed. Default 4,000, below the 5,000 ms of Node.js servers: the
     * outcome of a request that is sent while the server closes its connection is unknown.
     */
    readonly idleTimeoutMs?: number;
    /** Largest response body, in bytes. Default 67,108,864 (64 MB). */
    readonly maxResponseBytes?: number;
    /** Whether each call carries the platform's headers `x-source` and `x-sent-at`. Default true. */
    readonly sendsPlatformHeaders?: boolean;
    /** Called after each call. */
    readonly onCall?: (call: CompletedHttpCall) => void;
    /** Clock for time-outs, durations and `x-sent-at`. Default: the machine's. */
    readonly clock?: Clock;
}

/** One call. */
export interface HttpRequest {
    /** Method of the adapter, for metering and messages. */
    readonly operation: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    /** Path relative to the base URL, with the query. */
    readonly path: string;
    readonly headers?: OutgoingHttpHeaders;
    /** A function is called before the body is written, with the time at which the connection was made. */
    readonly body?: Uint8Array | string | ((connectedAt: number) => string);
    /** Time-out of this call, in milliseconds. Default: `timeoutMs` of the client's options. */
    readonly timeoutMs?: number;
}

/** A complete response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Why a call has no complete response. */
export interface TransportFailure {
    readonly kind: "invalidRequest" | "unreachable" | "timedOut" | "cutShort" | "tooLarge";
    /** `false` only if no byte of the request left this process. */
    readonly wasSent: boolean;
    /** When the connection was made, by the clock of the client; `undefined` if there was none. */
    readonly connectedAt: number | undefined;
    /** Description of the failure. Callers log it in the field `reason`, so its wording must not change. */
    readonly message: string;
}

/** Sends calls to one service over keep-alive connections. */
export class HttpClient {
    private readonly clock: Clock;
    private readonly agent: Agent;
    private readonly baseUrl: URL;
    /** When each connection was made. */
    private readonly connectionTimes = new WeakMap<Socket, number>();

    constructor(private readonly service: string, private readonly options: HttpClientOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.baseUrl = new URL(options.url);
        if (this.baseUrl.protocol !== "http:") {
            throw new Error(`the URL of the ${service} must begin with "http://", but is "${options.url}"`);
        }
        this.agent = new Agent({
            keepAlive: true,
            maxSockets: options.maxConnections ?? 64,
            timeout: options.idleTimeoutMs ?? 4_000,
            scheduling: "lifo",
        });
    }

    /** Time-out of calls that do not set their own, in milliseconds. */
    get timeoutMs(): number {
        return this.options.timeoutMs ?? 1_000;
    }

    /** Closes all connections. Calls in flight fail. */
    close(): void {
        this.agent.destroy();
    }

    /** Sends one request and reads the complete response. */
    async send(request: HttpRequest): Promise<Result<HttpResponse, TransportFailure>> {
        const startedAt = this.clock.getNow();
        const { body: content } = request;
        const body = content === undefined || typeof content === "function" ? content : Buffer.from(content);
        const timeoutMs = request.timeoutMs ?? this.timeoutMs;
        const exchange = new Exchange(
            this.options.maxResponseBytes ?? 67_108_864,
            socket => this.trackConnection(socket),
            () => this.clock.getNow() >= startedAt + timeoutMs,
        );
        // Timers run before sockets are read. In a process that was busy, an answer may have arrived in time, so it is
        // read before the call is given up.
        const timer = this.clock.schedule(timeoutMs, () => setImmediate(() => exchange.expire(timeoutMs)));
        const result = await exchange.run(() => this.createClientRequest(request, body), body);
        timer.cancel();
        if (!result.ok && result.val.kind === "timedOut" && exchange.isConnectionReused) {
            this.closeIdleConnections();
        }
        this.options.onCall?.({
            service: this.service,
            operation: request.operation,
            bytesSent: exchange.bytesSent,
            bytesReceived: exchange.bytesReceived,
            durationMs: this.clock.getNow() - startedAt,
            isAnswered: result.ok,
        });
        return result;
    }

    /** Returns when a connected socket was connected. */
    private trackConnection(socket: Socket): number {
        const connectedAt = this.connectionTimes.get(socket) ?? this.clock.getNow();
        this.connectionTimes.set(socket, connectedAt);
        return connectedAt;
    }

    /**
     * Closes the connections without a call. Connections that were opened together often go silent together, and each
     * would cost another call its whole time-out.
     */
    private closeIdleConnections(): void {
        for (const sockets of Object.values(this.agent.freeSockets)) {
            [...sockets ?? []].forEach(socket => socket.destroy());
        }
    }

    private buildPlatformHeaders(): OutgoingHttpHeaders {
        if (this.options.sendsPlatformHeaders === false) {
            return {};
        }
        const sentAtHeader = { [headerNames.sentAt]: String(this.clock.getWallTime()) };
        return this.options.source === undefined
            ? sentAtHeader
            : { ...sentAtHeader, [headerNames.source]: this.options.source };
    }

    private createClientRequest(request: HttpRequest, body: RequestBody): ClientRequest {
        const basePath = this.baseUrl.pathname.replace(/\/$/, "");
        return createRequest({
            agent: this.agent,
            hostname: this.baseUrl.hostname,
            port: this.baseUrl.port,
            method: request.method,
            path: basePath + request.path,
            headers: {
                ...request.headers,
                ...this.buildPlatformHeaders(),
                ...body instanceof Buffer ? { "content-length": body.length } : {},
            },
        });
    }
}

type RequestBody = Buffer | ((connectedAt: number) => string) | undefined;

/** One request and its response. The first of the response, an error and the time-out decides the result. */
class Exchange {
    bytesReceived = 0;
    bytesSent = 0;
    private connectedAt: number | undefined;
    private clientRequest: ClientRequest | undefined;
    private resolve: ((result: Result<HttpResponse, TransportFailure>) => void) | undefined;

    constructor(
        private readonly maxResponseBytes: number,
        private readonly trackConnection: (socket: Socket) => number,
        private readonly isOver: () => boolean,
    ) {}

    /** Whether the request went over a connection that had served others before. */
    get isConnectionReused(): boolean {
        return this.clientRequest?.reusedSocket === true;
    }

    run(
        createClientRequest: () => ClientRequest,
        body: RequestBody,
    ): Promise<Result<HttpResponse, TransportFailure>> {
        return new Promise(resolve => {
            this.resolve = resolve;
            try {
                this.clientRequest = createClientRequest();
            }
            catch (error) {
                // Node.js throws if a header value has a character that HTTP does not allow.
                this.fail("invalidRequest", error instanceof Error ? error.message : String(error));
                return;
            }
            this.clientRequest.on("socket", socket => {
                // Node.js writes nothing before the connection is made, so after an earlier failure nothing was sent.
                if (socket.connecting) {
                    socket.prependOnceListener("connect", () => this.recordConnection(socket, body));
                }
                else {
                    this.recordConnection(socket, body);
                }
            });
            this.clientRequest.on("response", response => this.readResponse(response));
            this.clientRequest.on(
                "error",
                error => this.fail(this.connectedAt === undefined ? "unreachable" : "cutShort", error.message),
            );
            this.clientRequest.on(
                "close",
                () => this.fail("cutShort", "the connection ended without a response"),
            );
            if (typeof body !== "function") {
                this.bytesSent = body?.length ?? 0;
                this.clientRequest.end(body);
            }
        });
    }

    /** Called before the request is written. In a process that was paused, its time may be over. */
    private recordConnection(socket: Socket, body: RequestBody): void {
        if (this.isOver()) {
            socket.destroy();
            return;
        }
        this.connectedAt = this.trackConnection(socket);
        if (typeof body === "function") {
            const content = Buffer.from(body(this.connectedAt));
            this.bytesSent = content.length;
            this.clientRequest!.setHeader("content-length", content.length);
            this.clientRequest!.end(content);
        }
    }

    expire(timeoutMs: number): void {
        this.fail("timedOut", `no whole response within ${timeoutMs} ms`);
        this.clientRequest?.destroy();
    }

    private readResponse(response: IncomingMessage): void {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            this.bytesReceived += chunk.length;
            if (this.bytesReceived > this.maxResponseBytes) {
                this.fail("tooLarge", `the response is larger than ${this.maxResponseBytes} bytes`);
                this.clientRequest?.destroy();
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
        // "close" events follow every result. An `Err` for each would record a stack trace, which costs more than the
        // rest of the call.
        if (this.resolve === undefined) {
            return;
        }
        const { connectedAt } = this;
        this.settle(Err({ kind, wasSent: connectedAt !== undefined, connectedAt, message }));
    }

    private settle(result: Result<HttpResponse, TransportFailure>): void {
        this.resolve?.(result);
        this.resolve = undefined;
    }
}
