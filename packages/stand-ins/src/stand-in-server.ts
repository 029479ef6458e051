/**
 * The HTTP server of one stand-in. Callers see its injected faults as network faults: refused connections, calls
 * without an answer, and connections that end early.
 */
import type { Clock } from "@waxwingroute/core";
import { SystemRandom } from "@waxwingroute/core";
import { wire } from "@waxwingroute/platform";
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { FaultInjector } from "./fault-injector.js";

/** A call as it is passed to a handler. */
export interface ServerRequest {
    readonly method: string;
    /** Path without query. */
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** Milliseconds since the sender sent the call, by its wall clock; 0 if the call has no send time. */
    readonly elapsedMs: number;
}

/** The answer of a handler. */
export interface ServerReply {
    readonly status: number;
    readonly headers: OutgoingHttpHeaders;
    readonly body: Buffer;
    /** Whether the call was a write, to which `answersToLose` applies. Default false. */
    readonly isWrite?: boolean;
    /** How the answer is sent. Default `whole`; `cut` sends half of the body, `none` only closes the connection. */
    readonly delivery?: "whole" | "cut" | "twice" | "none";
}

/** Options of `StandInServer`. */
export interface StandInServerOptions {
    readonly clock: Clock;
    readonly faults: FaultInjector;
    /** IP address to listen on. */
    readonly host: string;
    /** Port to listen on; 0 for any free port below the ephemeral range. */
    readonly port: number;
    readonly handle: (request: ServerRequest) => ServerReply | Promise<ServerReply>;
    /** Called with the number of open connections whenever one opens. */
    readonly onConnection?: (count: number) => void;
}

/** Largest request body, in bytes. */
const maxBodyBytes = 67_108_864;

/**
 * Candidate ports, below the ephemeral range of Linux: while a stand-in is down, an outgoing connection could otherwise
 * take its port or connect to itself.
 */
const firstCandidatePort = 20_000;
const candidatePortCount = 12_000;
const maxListenAttempts = 100;

/** Serves one stand-in over HTTP, with injected faults. */
export class StandInServer {
    private readonly server = createServer((request, response) => {
        this.serve(request, response).catch(() => response.destroy());
    });
    private port: number;
    private isClosed = false;
    private listeningChange: Promise<void> = Promise.resolve();

    constructor(private readonly options: StandInServerOptions) {
        this.port = options.port;
        // Longer than the idle timeout of the adapters, so that idle connections are closed by the client.
        this.server.keepAliveTimeout = 30_000;
        let connections = 0;
        this.server.on("connection", socket => {
            connections++;
            socket.once("close", () => {
                connections--;
            });
            options.onConnection?.(connections);
        });
        options.faults.onDownChange(isDown => {
            this.listeningChange = this.listeningChange.then(() => this.isClosed ? undefined : this.applyDown(isDown));
        });
    }

    /** Base URL; valid after `listen`. */
    get url(): string {
        return `http://${this.options.host}:${this.port}`;
    }

    /** Starts listening. Rejects if the port is in use. */
    async listen(): Promise<void> {
        if (this.port !== 0) {
            return this.listenOn(this.port);
        }
        const random = new SystemRandom();
        for (let attempt = 1; this.port === 0; attempt++) {
            const port = firstCandidatePort + random.getInteger(candidatePortCount);
            try {
                await this.listenOn(port);
                this.port = port;
            }
            catch (error) {
                if (attempt === maxListenAttempts) {
                    throw error;
                }
            }
        }
    }

    /** Stops listening and ends all connections. */
    async close(): Promise<void> {
        this.isClosed = true;
        await this.listeningChange;
        await this.stopListening();
    }

    /** Resolves when the server has gone down or up as last requested. */
    async waitUntilApplied(): Promise<void> {
        await this.listeningChange;
    }

    private listenOn(port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, this.options.host, () => {
                this.server.off("error", reject);
                resolve();
            });
        });
    }

    private async applyDown(isDown: boolean): Promise<void> {
        if (isDown) {
            await this.stopListening();
        }
        else if (!this.server.listening) {
            await this.listen();
        }
    }

    private stopListening(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const { faults, clock, handle } = this.options;
        const body = await readBody(incoming);
        const source = readHeader(incoming.headers, wire.headerNames.source);
        const admission = await faults.waitForAdmission(source);
        if (admission === "drop") {
            return; // The caller gets no answer, as when packets are lost.
        }
        if (admission === "refuse") {
            response.destroy();
            return;
        }
        const url = new URL(incoming.url ?? "/", this.url);
        const sentAt = Number(readHeader(incoming.headers, wire.headerNames.sentAt) ?? Number.NaN);
        const elapsedMs = Number.isFinite(sentAt) ? Math.max(0, clock.getWallTime() - sentAt) : 0;
        const { method = "GET", headers } = incoming;
        const reply = body === undefined
            ? createErrorReply(413, "too-large", `the body is larger than ${maxBodyBytes} bytes`)
            : await handle({ method, path: url.pathname, query: url.searchParams, headers, body, elapsedMs });
        if (faults.decideAnswerLoss(source, reply.isWrite ?? false) || reply.delivery === "none") {
            response.destroy();
            return;
        }
        sendReply(response, reply);
    }
}

/** Creates an answer with a JSON body. */
export function createJsonReply(status: number, content: unknown, isWrite = false): ServerReply {
    const body = Buffer.from(JSON.stringify(content));
    return { status, headers: { "content-type": "application/json" }, body, isWrite };
}

/** Creates an error answer with the verdict `notRun`, for a call that is malformed or not accepted. */
export function createErrorReply(status: number, code: string, message: string): ServerReply {
    return createJsonReply(status, { error: { code, message, verdict: "notRun" } });
}

/** Returns the first value of a header, or `undefined`. */
export function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}

async function readBody(incoming: IncomingMessage): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length <= maxBodyBytes) {
            chunks.push(chunk);
        }
    }
    return length > maxBodyBytes ? undefined : Buffer.concat(chunks);
}

function sendReply(response: ServerResponse, reply: ServerReply): void {
    const headers = { ...reply.headers, "content-length": reply.body.length };
    const { socket } = response;
    response.writeHead(reply.status, headers);
    if (reply.delivery === "cut") {
        response.write(reply.body.subarray(0, Math.floor(reply.body.length / 2)), () => response.destroy());
        return;
    }
    response.end(reply.body, () => {
        if (reply.delivery === "twice") {
            const lines = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`).join("");
            socket?.write(Buffer.concat([Buffer.from(`HTTP/1.1 ${reply.status} OK\r\n${lines}\r\n`), reply.body]));
        }
    });
}
