/**
 * The HTTP server that accepts requests from callers.
 */
import { ByteBudget } from "@waxwingroute/host-limits";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { match } from "ts-pattern";
import { EventLoopDelayMonitor } from "./event-loop-delay-monitor.js";
import { HttpExchange } from "./http-exchange.js";
import { createHttpFailure } from "./http-failure.js";
import type { HttpFailure } from "./http-failure.js";
import { encodeRawFailure, writeFailure } from "./response-writer.js";
import { resolveEntryServerOptions } from "./types.js";
import type { EntryServerOptions, ResolvedEntryServerOptions } from "./types.js";

/** Counts of an entry server, as its status shows them. */
export interface EntryServerStatus {
    /** Requests in progress. */
    readonly running: number;
    /** Bytes of the bodies in memory. */
    readonly bodyBytes: number;
    /** Connections that were closed because too many were open. */
    readonly droppedConnections: number;
    /** Connections on which a request could not be parsed or did not arrive in time. */
    readonly badConnections: number;
}

/**
 * Accepts requests from callers and forwards them to the owners of the shards.
 *
 * @example
 * ```ts
 * const server = new EntryServer({ clock: new SystemClock(), gateway, accessControl, port: 8080 });
 * await server.start();
 * process.once("SIGTERM", () => void server.stop(10_000));
 * ```
 */
export class EntryServer {
    private readonly options: ResolvedEntryServerOptions;
    private readonly bodyBudget: ByteBudget;
    private readonly server: Server;
    private readonly runningExchanges = new Set<HttpExchange>();
    /** Requests without a finished response, by connection. */
    private readonly openExchanges = new WeakMap<Duplex, Set<HttpExchange>>();
    private readonly eventLoopDelay: EventLoopDelayMonitor;
    private droppedConnections = 0;
    private badConnections = 0;
    private isStopping = false;

    constructor(options: EntryServerOptions) {
        this.options = resolveEntryServerOptions(options);
        this.bodyBudget = new ByteBudget(this.options.maxTotalBodyBytes);
        this.eventLoopDelay = new EventLoopDelayMonitor(this.options.clock);
        const { maxHeaderBytes, headerTimeoutMs, bodyTimeoutMs, keepAliveTimeoutMs } = this.options;
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: headerTimeoutMs,
            // The exchange itself ends slow bodies; this timeout covers bodies that it discards.
            requestTimeout: headerTimeoutMs + 2 * bodyTimeoutMs,
            keepAliveTimeout: keepAliveTimeoutMs,
            connectionsCheckingInterval: Math.min(1000, headerTimeoutMs),
            // No route depends on the Host header, and Node's own refusal would lack a verdict.
            requireHostHeader: false,
        });
        // 0 removes the bound: Node would silently ignore fields above it, and the size of the header is bounded
        // already.
        this.server.maxHeadersCount = 0;
        this.server.maxConnections = this.options.maxConnections;
        this.server.on("request", (request, response) => this.handleRequest(request, response, false));
        this.server.on("checkContinue", (request, response) => this.handleRequest(request, response, true));
        this.server.on("checkExpectation", (request, response) => this.handleExpectation(request, response));
        this.server.on("connect", (_request, socket) => this.handleConnect(socket));
        this.server.on("clientError", (error, socket) => this.handleClientError(error, socket));
        this.server.on("drop", () => this.droppedConnections++);
    }

    /** Starts to listen. Resolves with the port; rejects if the address cannot be bound. */
    start(): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.eventLoopDelay.start();
            this.server.listen(this.options.port, this.options.address, () => {
                this.server.off("error", reject);
                resolve((this.server.address() as AddressInfo).port);
            });
        });
    }

    /**
     * Stops gracefully. New requests are refused as `notRun` with `Connection: close`, for at least `minRefusalMs`
     * milliseconds (default 500) if `gracePeriodMs` allows it, so that callers with open connections see a refusal
     * instead of a closed connection. Running requests have `gracePeriodMs` milliseconds to finish; then each fails
     * with the verdict that applies to it.
     */
    async stop(gracePeriodMs: number, minRefusalMs = 500): Promise<void> {
        this.isStopping = true;
        const { clock } = this.options;
        const startedAt = clock.getNow();
        const canClose = () => {
            const elapsed = clock.getNow() - startedAt;
            return elapsed >= gracePeriodMs
                || this.runningExchanges.size === 0 && elapsed >= Math.min(minRefusalMs, gracePeriodMs);
        };
        while (!canClose()) {
            await clock.wait(10);
        }
        const closed = new Promise<void>(resolve => {
            this.server.close(() => resolve());
        });
        for (const exchange of this.runningExchanges) {
            exchange.stop();
        }
        this.server.closeIdleConnections();
        // Responses that were just written get a short time to be sent; slow readers must not delay the stop.
        const timer = clock.schedule(finalWriteTimeoutMs, () => this.server.closeAllConnections());
        await closed;
        timer.cancel();
        this.eventLoopDelay.stop();
    }

    /** Returns the current counts. */
    getStatus(): EntryServerStatus {
        const { droppedConnections, badConnections } = this;
        return {
            running: this.runningExchanges.size,
            bodyBytes: this.bodyBudget.usedBytes,
            droppedConnections,
            badConnections,
        };
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse, needsContinue: boolean): void {
        const exchange = new HttpExchange(this.options, this.bodyBudget, request, response, needsContinue);
        const { socket } = request;
        const open = this.openExchanges.get(socket) ?? new Set();
        this.openExchanges.set(socket, open.add(exchange));
        response.on("close", () => open.delete(exchange));
        const refusal = this.checkAdmission();
        if (refusal === undefined) {
            this.runningExchanges.add(exchange);
            response.on("close", () => this.runningExchanges.delete(exchange));
            void exchange.run();
        }
        else if (this.isStopping) {
            response.shouldKeepAlive = false;
            failAfterBody(request, () => exchange.fail(refusal));
        }
        else {
            exchange.fail(refusal);
        }
    }

    private checkAdmission(): HttpFailure | undefined {
        if (this.isStopping) {
            return createHttpFailure(503, "stopping", "the entry server is stopping: use another entry server");
        }
        if (this.runningExchanges.size >= this.options.maxRequests) {
            return createHttpFailure(
                503,
                "too-many-requests",
                `${this.runningExchanges.size} requests are in progress, the maximum of this entry server`,
            );
        }
        if (this.eventLoopDelay.sustainedDelayMs > this.options.maxEventLoopDelayMs) {
            return createHttpFailure(503, "overloaded", "the entry server is overloaded: its event loop runs late");
        }
        return undefined;
    }

    private handleExpectation(request: IncomingMessage, response: ServerResponse): void {
        request.resume();
        writeFailure(
            response,
            createHttpFailure(417, "unknown-expectation", "only \"Expect: 100-continue\" is supported"),
        );
    }

    private handleConnect(socket: Duplex): void {
        socket.on("error", () => undefined);
        socket.end(encodeRawFailure(createHttpFailure(405, "method-not-allowed", "CONNECT is not supported")));
    }

    private handleClientError(error: Error & { readonly code?: string; }, socket: Duplex): void {
        this.badConnections++;
        const refusal = match(error.code)
            .with(
                "HPE_HEADER_OVERFLOW",
                () =>
                    createHttpFailure(
                        431,
                        "header-too-large",
                        `the header is larger than ${this.options.maxHeaderBytes} bytes`,
                    ),
            )
            .with(
                "ERR_HTTP_REQUEST_TIMEOUT",
                () => createHttpFailure(408, "request-timeout", "the request arrived too slowly"),
            )
            .otherwise(() => createHttpFailure(400, "bad-http", `not a valid HTTP/1.1 request: ${error.message}`));
        const open = [...this.openExchanges.get(socket) ?? []];
        const [only] = open;
        if (!socket.writable) {
            socket.destroy();
        }
        else if (only === undefined) {
            socket.end(encodeRawFailure(refusal), () => socket.destroy());
        }
        // A caller with several requests in progress could mistake this refusal for the response to another of them.
        else if (open.length > 1 || !only.tryRefuse(refusal)) {
            socket.destroy();
        }
    }
}

/**
 * Calls `fail` when the body has arrived, or after a second. Closing a connection with unread bytes resets it, and the
 * caller may lose the refusal.
 */
function failAfterBody(request: IncomingMessage, fail: () => void): void {
    const timer = setTimeout(fail, 1000);
    request.once("end", () => {
        clearTimeout(timer);
        fail();
    });
    request.resume();
}

/**
 * Time for the last responses to be sent during a stop, in milliseconds; a response to a nearby caller needs far less.
 */
const finalWriteTimeoutMs = 200;
