/**
 * An HTTP server before one stand-in. It passes every call through the fault gate, and shows the faults as a network
 * does: refused connections, calls without an answer, connections that end early.
 */
import type { Clock } from "@waxwingroute/core";
import { SystemRandom } from "@waxwingroute/core";
import { wire } from "@waxwingroute/platform";
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { FaultGate } from "./fault-gate.js";

/** One call as a handler sees it. */
export interface FrontRequest {
    readonly method: string;
    /** Path without query. */
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** Milliseconds from the send, by the sender's wall clock, to now; 0 if the sender did not say. */
    readonly elapsedMs: number;
}

/** The answer of a handler. */
export interface FrontReply {
    readonly status: number;
    readonly headers: OutgoingHttpHeaders;
    readonly body: Buffer;
    /** Whether its loss is a lost write. Default false. */
    readonly isWrite?: boolean;
    /** How the answer leaves. Default `whole`; `none` ends the connection. */
    readonly delivery?: "whole" | "cut" | "twice" | "none";
}

/** Options of `HttpFront`. */
export interface HttpFrontOptions {
    readonly clock: Clock;
    readonly gate: FaultGate;
    /** IP address to listen on. */
    readonly host: string;
    /** Port to listen on; 0 for any free port below those of outgoing connections. */
    readonly port: number;
    readonly handle: (request: FrontRequest) => FrontReply | Promise<FrontReply>;
    /** Called with the number of open connections each time that one opens. */
    readonly onConnection?: (count: number) => void;
}

/** Largest request body, in bytes. */
const maxBodyBytes = 67_108_864;

/**
 * Ports to choose from, below the range that Linux gives to outgoing connections: while a stand-in is down, a client could
 * otherwise take its port, or connect to itself.
 */
const firstFreePort = 20_000;
const freePortCount = 12_000;
const maxListenAttempts = 100;

/** Serves one stand-in. */
export class HttpFront {
    private readonly server = createServer((request, response) => {
        this.serve(request, response).catch(() => response.destroy());
    });
    private port: number;
    private isClosed = false;
    private transition: Promise<void> = Promise.resolve();

    constructor(private readonly options: HttpFrontOptions) {
        this.port = options.port;
        // Above the idle time of the adapters, so that the client is the side that closes idle connections.
        this.server.keepAliveTimeout = 30_000;
        let connections = 0;
        this.server.on("connection", socket => {
            connections++;
            socket.once("close", () => {
                connections--;
            });
            options.onConnection?.(connections);
        });
        options.gate.onDownChange(isDown => {
            this.transition = this.transition.then(() => this.isClosed ? undefined : this.applyDown(isDown));
        });
    }

    /** Base URL; valid after `listen`. */
    get url(): string {
        return `http://${this.options.host}:${this.port}`;
    }

    /** Begins to listen. Rejects if the port is taken. */
    async listen(): Promise<void> {
        if (this.port !== 0) {
            return this.listenOn(this.port);
        }
        const random = new SystemRandom();
        for (let attempt = 1; this.port === 0; attempt++) {
            const port = firstFreePort + random.getInteger(freePortCount);
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
        await this.transition;
        await this.stopListening();
    }

    /** Resolves when the listening state follows the last change of the gate. */
    async settle(): Promise<void> {
        await this.transition;
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
        const { gate, clock, handle } = this.options;
        const body = await readBody(incoming);
        const source = readHeader(incoming.headers, wire.headerNames.source);
        const admission = await gate.acceptCall(source);
        if (admission === "drop") {
            return; // The caller sees no answer, as when packets are lost.
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
            ? createError(413, "too-large", `the body is larger than ${maxBodyBytes} bytes`)
            : await handle({ method, path: url.pathname, query: url.searchParams, headers, body, elapsedMs });
        if (gate.takeAnswerLoss(source, reply.isWrite ?? false) || reply.delivery === "none") {
            response.destroy();
            return;
        }
        sendReply(response, reply);
    }
}

/** Creates an answer with a JSON body. */
export function createJson(status: number, content: unknown, isWrite = false): FrontReply {
    const body = Buffer.from(JSON.stringify(content));
    return { status, headers: { "content-type": "application/json" }, body, isWrite };
}

/** Creates an error answer. The verdict is `notRun`: the call was not understood or not accepted. */
export function createError(status: number, code: string, message: string): FrontReply {
    return createJson(status, { error: { code, message, verdict: "notRun" } });
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

function sendReply(response: ServerResponse, reply: FrontReply): void {
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
