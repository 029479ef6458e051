/**
 * The HTTP resource interface for operators (docs/design.md, section 5).
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { Failure } from "@waxwingroute/core";
import type { ConfigurationReplica } from "@waxwingroute/relay";
import type { ResourceRepository } from "@waxwingroute/resources";
import { createServer, STATUS_CODES } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { match } from "ts-pattern";
import { Authorizer } from "./authorizer.js";
import { JobHandlers } from "./job-handlers.js";
import { createErrorReply, sendReply } from "./replies.js";
import type { Reply } from "./replies.js";
import { drainBody } from "./request-reader.js";
import { RequestRouter, splitUrl } from "./request-router.js";
import { ResourceHandlers } from "./resource-handlers.js";
import { allowedMethods, parseRoute } from "./routes.js";
import type { ClusterGateway, JobGateway } from "./types.js";
import { WatchSessions } from "./watch-sessions.js";

/** Options of an `OperatorServer`. */
export interface OperatorServerOptions {
    readonly repository: ResourceRepository;
    readonly replica: ConfigurationReplica;
    readonly jobs: JobGateway;
    readonly cluster: ClusterGateway;
    /** Address to listen on. Default `127.0.0.1`. */
    readonly address?: string;
    /** Port to listen on; 0 selects any free one. Default 0. */
    readonly port?: number;
    /** SHA-256 of the operator token, 64 hexadecimal digits. Default: writes need no token. */
    readonly operatorTokenHash?: string;
    /**
     * Age of the last confirmation of the configuration above which keys cannot be checked, in milliseconds. Default
     * 30,000.
     */
    readonly keyStalenessMs?: number;
    /** Whether job requests are refused or served while keys cannot be checked. Default `refuse`. */
    readonly whenStale?: "refuse" | "serve";
    /** Maximum number of open connections. Default 512. */
    readonly maxConnections?: number;
    /** Maximum number of open watches. Default 256. */
    readonly maxWatches?: number;
    /** Interval between progress lines of a watch, in milliseconds. Default 10,000. */
    readonly progressIntervalMs?: number;
    /** Bytes buffered for a slow client above which its watch ends. Default 1 MB. */
    readonly maxBufferedBytes?: number;
    /** Time for a client to send a whole request, in milliseconds. Default 30,000. */
    readonly requestTimeoutMs?: number;
    /** Time that requests in progress have to finish at shutdown, in milliseconds. Default 5,000. */
    readonly shutdownTimeoutMs?: number;
    /** Called once for each write with its outcome, for the audit log. Default: nothing. */
    readonly onWrite?: (write: OperatorWrite) => void;
    /** Called with unexpected errors of this program; the client receives `internal-error`. Default: nothing. */
    readonly onError?: (error: unknown) => void;
}

/** A write as the audit log records it, without bodies and tokens. */
export interface OperatorWrite {
    readonly method: string;
    /** The first 256 characters of the path and query. */
    readonly path: string;
    /** Address of the client. */
    readonly client: string | undefined;
    readonly status: number;
    readonly failure: Failure | undefined;
}

/**
 * Serves the resource interface over HTTP.
 *
 * @example
 * ```ts
 * const server = new OperatorServer({ repository, replica, jobs, cluster, port: 7400 });
 * await server.start();
 * process.once("SIGTERM", () => void server.shutdown());
 * ```
 */
export class OperatorServer {
    private readonly server: Server;
    private readonly router: RequestRouter;
    private readonly watchSessions: WatchSessions;
    private isStopping = false;

    constructor(private readonly options: OperatorServerOptions) {
        const { repository, replica, jobs, cluster, operatorTokenHash } = options;
        const { keyStalenessMs = 30_000, whenStale = "refuse", requestTimeoutMs = 30_000 } = options;
        const authorizer = new Authorizer({ replica, operatorTokenHash, keyStalenessMs, whenStale });
        this.watchSessions = new WatchSessions({
            replica,
            jobs,
            maxWatches: options.maxWatches ?? 256,
            progressIntervalMs: options.progressIntervalMs ?? 10_000,
            maxBufferedBytes: options.maxBufferedBytes ?? 1024 * 1024,
        });
        this.router = new RequestRouter({
            authorizer,
            resourceHandlers: new ResourceHandlers(repository, replica),
            jobHandlers: new JobHandlers(jobs, cluster, authorizer),
            watchSessions: this.watchSessions,
        });
        const headersTimeout = Math.min(10_000, requestTimeoutMs);
        // Node checks for late requests every 30 s by default, which would delay shorter timeouts.
        const connectionsCheckingInterval = Math.min(5_000, requestTimeoutMs);
        const timeouts = { requestTimeout: requestTimeoutMs, headersTimeout, connectionsCheckingInterval };
        this.server = createServer(timeouts, (request, response) => {
            void this.handleRequest(request, response);
        });
        this.server.maxConnections = options.maxConnections ?? 512;
        // 0 removes Node's bound, above which it ignores headers silently; `checkHeaders` refuses such requests
        // instead.
        this.server.maxHeadersCount = 0;
        this.server.on("clientError", replyToInvalidRequest);
    }

    /** Number of open watches. */
    get watchCount(): number {
        return this.watchSessions.size;
    }

    /** Starts to listen. Resolves with the port; rejects if the address cannot be bound. */
    async start(): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port ?? 0, this.options.address ?? "127.0.0.1", resolve);
        });
        return (this.server.address() as AddressInfo).port;
    }

    /**
     * Ends all watches, refuses new requests, waits a bounded time for those in progress, and closes all connections.
     */
    async shutdown(): Promise<void> {
        this.isStopping = true;
        const closed = new Promise<void>(resolve => {
            this.server.close(() => resolve());
        });
        this.watchSessions.close();
        this.server.closeIdleConnections();
        const timer = setTimeout(() => this.server.closeAllConnections(), this.options.shutdownTimeoutMs ?? 5_000);
        await closed;
        clearTimeout(timer);
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        if (this.isStopping) {
            response.setHeader("Connection", "close");
        }
        let failure: Failure | undefined;
        try {
            const stopping = createFailure(
                "server-stopping",
                "the server is stopping: use another one",
                "notRun",
                1_000,
            );
            const result = this.isStopping ? Err(stopping) : await this.router.process(request, response);
            failure = result.ok ? undefined : result.val;
            if (!result.ok && !request.complete) {
                await drainBody(request);
            }
            const reply = result.ok ? result.val : this.createFailureReply(result.val, request, response);
            if (reply !== undefined) {
                sendReply(response, reply);
            }
        }
        catch (error) {
            failure = this.handleInternalError(error, response);
        }
        if (request.method !== "GET") {
            const path = (request.url ?? "").slice(0, 256);
            const { method = "", socket } = request;
            this.options.onWrite?.({
                method,
                path,
                client: socket.remoteAddress,
                status: response.statusCode,
                failure,
            });
        }
    }

    private handleInternalError(error: unknown, response: ServerResponse): Failure {
        this.options.onError?.(error);
        const failure = createFailure("internal-error", "the server failed: see its log", "mayHaveRun");
        if (response.headersSent) {
            response.destroy();
        }
        else {
            sendReply(response, createErrorReply(failure));
        }
        return failure;
    }

    private createFailureReply(failure: Failure, request: IncomingMessage, response: ServerResponse): Reply {
        if (!request.complete) {
            // Node would parse the rest of the body as the next request.
            response.setHeader("Connection", "close");
        }
        const path = parseRoute(splitUrl(request).path);
        const isMethodRefused = failure.code === "method-not-allowed" && path.ok;
        return createErrorReply(failure, isMethodRefused ? { Allow: allowedMethods[path.val.type].join(", ") } : {});
    }
}

/** Responds on a connection on which no request could be parsed; Node creates no response object for it. */
function replyToInvalidRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const [code, message] = match(error.code)
        .with("HPE_HEADER_OVERFLOW", () => ["too-many-headers", "the headers are over 16 KB: send fewer"] as const)
        .with(
            "ERR_HTTP_REQUEST_TIMEOUT",
            () => ["request-timeout", "the request did not arrive in time: send it again"] as const,
        )
        .otherwise(() => ["invalid-request", "the bytes are not an HTTP request"] as const);
    const reply = createErrorReply(createFailure(code, message, "notRun"));
    const text = `${JSON.stringify(reply.body)}\n`;
    const status = `${reply.status} ${STATUS_CODES[reply.status]}`;
    const headers = `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(text)}\r\nConnection: close`;
    socket.end(`HTTP/1.1 ${status}\r\n${headers}\r\nWaxwing-Verdict: notRun\r\n\r\n${text}`);
}
