/** HTTP servers of the stand-ins: JSON in, JSON out, on a free port of the loopback address. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { WireReply } from "./protocol.js";

/** One call that a stand-in received. */
export class JsonCall {
    private constructor(
        readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        readonly body: unknown,
        private readonly silentSockets: WeakSet<Socket>,
    ) {}

    /** Reads the body; a body that is empty or cut counts as an empty object. */
    static async receive(
        request: IncomingMessage,
        response: ServerResponse,
        silentSockets: WeakSet<Socket>,
    ): Promise<JsonCall> {
        const chunks: Buffer[] = [];
        let body: unknown = {};
        try {
            for await (const chunk of request) {
                chunks.push(chunk as Buffer);
            }
            body = JSON.parse(Buffer.concat(chunks).toString("utf8") || "{}");
        }
        catch {
            body = {};
        }
        return new JsonCall(request, response, body, silentSockets);
    }

    get isOpen(): boolean {
        return !this.response.destroyed && !this.response.writableEnded;
    }

    /** Whether nothing passes over its connection any more. */
    get isSilent(): boolean {
        return this.silentSockets.has(this.request.socket);
    }

    reply({ status, content }: WireReply): void {
        if (this.isOpen && !this.isSilent) {
            this.response.writeHead(status, { "content-type": "application/json" });
            this.response.end(JSON.stringify(content));
        }
    }

    /** Ends the connection in place of an answer. */
    resetConnection(): void {
        this.request.socket.destroy();
    }

    /** Calls `listener` once the connection or the answer has ended. */
    onClose(listener: () => void): void {
        this.response.once("close", listener);
    }
}

/** A server with a free port. */
export class JsonServer {
    private readonly sockets = new Set<Socket>();

    private constructor(
        private readonly server: Server,
        readonly port: number,
        private readonly silentSockets: WeakSet<Socket>,
    ) {
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    static open(handle: (call: JsonCall) => void): Promise<JsonServer> {
        const silentSockets = new WeakSet<Socket>();
        const server = createServer((request, response) => {
            response.on("error", () => undefined);
            void JsonCall.receive(request, response, silentSockets).then(call => {
                if (!call.isSilent) {
                    handle(call);
                }
            });
        });
        server.keepAliveTimeout = 0;
        server.requestTimeout = 0;
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, "127.0.0.1", () => {
                resolve(new JsonServer(server, (server.address() as AddressInfo).port, silentSockets));
            });
        });
    }

    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    /** Lets nothing pass over the present connections any more, without ending them. New ones work. */
    dropTraffic(): void {
        this.sockets.forEach(socket => this.silentSockets.add(socket));
    }

    closeConnections(): void {
        this.server.closeAllConnections();
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
