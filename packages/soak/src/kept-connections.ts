/** Connections of callers that stay open between requests, so that each request shows whether its connection was cut. */
import { connect } from "node:net";
import type { Socket } from "node:net";

/** A request to send. */
export interface KeptRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly content?: unknown;
}

/** How a request ended: answered, its connection ended without a whole answer, or the connection was closed before. */
export type KeptOutcome =
    | { readonly kind: "answered"; readonly status: number; readonly content: string; }
    | { readonly kind: "ended"; }
    | { readonly kind: "closedBefore"; };

/** One connection, for one request at a time. */
export class KeptConnection {
    private received = "";
    private isEnded = false;
    private onChange: () => void = () => undefined;

    private constructor(private readonly socket: Socket) {
        const end = () => {
            this.isEnded = true;
            this.onChange();
        };
        socket.setNoDelay(true);
        socket.on("data", chunk => {
            this.received += chunk.toString("latin1");
            this.onChange();
        });
        socket.on("end", end);
        socket.on("close", end);
        socket.on("error", end);
    }

    /** Opens a connection; `undefined` if it is refused. */
    static open(address: string): Promise<KeptConnection | undefined> {
        const [host, port] = address.split(":");
        return new Promise(resolve => {
            const socket = connect({ host, port: Number(port) });
            const fail = () => resolve(undefined);
            socket.once("error", fail);
            socket.once("connect", () => {
                socket.off("error", fail);
                resolve(new KeptConnection(socket));
            });
        });
    }

    /** Sends a request and waits for its whole answer or the end of the connection. */
    exchange({ method, path, headers, content }: KeptRequest): Promise<KeptOutcome> {
        if (this.isEnded) {
            return Promise.resolve({ kind: "closedBefore" });
        }
        const body = content === undefined ? "" : JSON.stringify(content);
        const allHeaders = { ...headers, "content-length": String(Buffer.byteLength(body)) };
        const lines = Object.entries(allHeaders).map(([name, value]) => `${name}: ${value}\r\n`);
        this.received = "";
        this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`);
        return new Promise(resolve => {
            this.onChange = () => {
                const answer = parseAnswer(this.received);
                if (answer !== undefined || this.isEnded) {
                    this.onChange = () => undefined;
                    resolve(answer ?? { kind: "ended" });
                }
            };
        });
    }

    close(): void {
        this.socket.destroy();
    }
}

/** Returns the answer if it is whole. Hosts state the length of each. */
function parseAnswer(text: string): Extract<KeptOutcome, { kind: "answered"; }> | undefined {
    const headersEnd = text.indexOf("\r\n\r\n");
    const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, headersEnd))?.[1];
    const content = text.slice(headersEnd + 4);
    return headersEnd < 0 || length === undefined || content.length < Number(length)
        ? undefined
        : { kind: "answered", status: Number(text.split(" ")[1]), content };
}
