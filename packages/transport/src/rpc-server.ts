/**
 * Serves the methods of services to the other processes of the system.
 */
import { Server, ServerCredentials, status } from "@grpc/grpc-js";
import type {
    sendUnaryData,
    ServerUnaryCall,
    ServerWritableStream,
    ServiceDefinition,
    UntypedHandleCall,
    UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { createFailure } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { createServer } from "node:net";
import { decodeMessage, encodeMessage } from "./codec.js";
import type { StreamMethod, UnaryMethod, WireReply } from "./service.js";
import { StreamBacklog } from "./stream-backlog.js";

/** The server's side of a stream of messages. */
export interface StreamWriter<Response> {
    /** `false` once the stream is closed, for example because the client cancelled it or disconnected. */
    readonly isOpen: boolean;
    /** Sends a message; does nothing if the stream is closed. */
    send(message: Response): void;
    /** Ends the stream after the messages already sent. */
    end(): void;
    /** Calls `callback` when the stream closes. */
    onClose(callback: () => void): void;
}

/** The handlers of a service, by method name. */
export type ServiceHandlers<Methods> = {
    readonly [Name in keyof Methods]: Methods[Name] extends UnaryMethod<infer Request, infer Response>
        ? (request: Request) => Promise<Result<Response, Failure>>
        : Methods[Name] extends StreamMethod<infer Request, infer Response>
            ? (request: Request, writer: StreamWriter<Response>) => void
        : never;
};

/** Accepts services; `RpcServer` serves them over gRPC, tests in process. */
export interface ServiceRegistry {
    addService<Methods extends object>(methods: Methods, handlers: ServiceHandlers<Methods>): void;
}

/** Options of an `RpcServer`. */
export interface RpcServerOptions {
    /** `<ip>:<port>`; port 0 picks a free one. */
    readonly address: string;
    /** Maximum size of a message in bytes, in both directions; default 8 MiB. */
    readonly maxMessageBytes?: number;
    /**
     * Maximum size of the messages that wait for the readers of all streams, in bytes; default 64 MiB. Beyond it, the
     * stream whose reader is furthest behind is ended.
     */
    readonly maxWaitingBytes?: number;
}

/** A call that a shutdown has answered in place of its handler. */
export interface CutCall {
    readonly method: string;
    readonly ageMs: number;
}

/** A call whose handler has not answered yet. */
interface OpenCall {
    readonly method: string;
    readonly arrivedAt: number;
    readonly answer: (reply: WireReply) => void;
}

/** Time in which the last answers of a shutdown are sent, ms. */
const flushMs = 200;
const defaultMaxWaitingBytes = 64 * 1024 * 1024;

/**
 * The gRPC server of a process.
 *
 * @example
 * ```ts
 * const server = new RpcServer({ address: "127.0.0.1:0" });
 * server.addService({ describeShards: schedulerService.describeShards }, {
 *     describeShards: async () => Ok({ host: "north-1", revision: 7, shards: [] }),
 * });
 * const port = await server.listen();
 * ```
 */
export class RpcServer implements ServiceRegistry {
    private readonly services: {
        readonly definition: ServiceDefinition;
        readonly handlers: UntypedServiceImplementation;
    }[] = [];
    private server: Server;
    private hasFailed = false;
    private readonly backlog: StreamBacklog;
    /** Calls whose handlers have not answered yet, with the times of their arrival. Streams are left out. */
    private readonly openCalls = new Map<object, OpenCall>();
    private isStopping = false;
    private onIdle: () => void = () => undefined;

    constructor(private readonly options: RpcServerOptions) {
        this.backlog = new StreamBacklog(options.maxWaitingBytes ?? defaultMaxWaitingBytes);
        this.server = this.createServer();
    }

    /** Adds a service. Must be called before `listen`. */
    addService<Methods extends object>(
        methods: Methods,
        handlers: ServiceHandlers<Methods>,
    ): void {
        const definition: Record<string, ServiceDefinition[string]> = {};
        const implementation: Record<string, UntypedHandleCall> = {};
        type AnyMethod = UnaryMethod<unknown, unknown> | StreamMethod<unknown, unknown>;
        for (const [name, method] of Object.entries(methods) as [string, AnyMethod][]) {
            definition[name] = {
                path: method.path,
                requestStream: false,
                responseStream: method.kind === "stream",
                requestSerialize: (message: unknown) => encodeMessage(message),
                requestDeserialize: (bytes: Buffer) => decodeMessage(method.request, bytes),
                // Messages of a stream are encoded before they wait, so that their size is known.
                responseSerialize: method.kind === "stream"
                    ? (bytes: Buffer) => bytes
                    : (message: unknown) => encodeMessage(message),
                responseDeserialize: (bytes: Buffer) => bytes,
            };
            const handler = handlers[name as keyof Methods] as (
                request: unknown,
                writer?: StreamWriter<unknown>,
            ) => unknown;
            implementation[name] = method.kind === "unary"
                ? this.createUnaryHandler(
                    method.path,
                    handler as (request: unknown) => Promise<Result<unknown, Failure>>,
                )
                : createStreamHandler(handler, this.backlog);
        }
        this.services.push({ definition, handlers: implementation });
        this.server.addService(definition, implementation);
    }

    /** Bytes of the messages that wait for the readers of streams. */
    get waitingBytes(): number {
        return this.backlog.waitingBytes;
    }

    /** Number of calls whose handlers have not answered yet, streams left out. */
    get openCallCount(): number {
        return this.openCalls.size;
    }

    /**
     * Starts to listen and returns the port. Rejects if the address cannot be bound, with the `code` of the system's error
     * if there is one; then it may be called again.
     */
    async listen(): Promise<number> {
        if (this.hasFailed) {
            // The library writes a line to standard error for each failure.
            await checkAddress(this.options.address);
        }
        return new Promise((resolve, reject) => {
            this.server.bindAsync(this.options.address, ServerCredentials.createInsecure(), (error, port) => {
                if (error === null) {
                    resolve(port);
                    return;
                }
                this.hasFailed = true;
                // The library remembers a failed address, and would fail at once when it is asked to bind it again.
                this.server.forceShutdown();
                this.server = this.createServer();
                const code = /\bE[A-Z]{4,}\b/.exec(error.message)?.[0];
                reject(
                    Object.assign(new Error(`cannot listen on ${this.options.address}: ${error.message}`), { code }),
                );
            });
        });
    }

    private createServer(): Server {
        const maxMessageBytes = this.options.maxMessageBytes ?? 8 * 1024 * 1024;
        const server = new Server({
            "grpc.max_receive_message_length": maxMessageBytes,
            "grpc.max_send_message_length": maxMessageBytes,
        });
        this.services.forEach(({ definition, handlers }) => server.addService(definition, handlers));
        return server;
    }

    /**
     * Refuses new calls, waits up to `boundMs` for the handlers of those in progress, and then answers the rest, so that
     * their callers need not wait for a time-out. Returns those. Streams end with the connections.
     */
    async shutdown(boundMs: number): Promise<CutCall[]> {
        this.isStopping = true;
        await this.waitUntilIdle(boundMs);
        const now = performance.now();
        const open = [...this.openCalls.values()];
        open.forEach(({ answer }) => answer({ failure: createStoppingFailure("peer-lost", "mayHaveRun") }));
        await new Promise<void>(resolve => {
            const timer = setTimeout(() => {
                this.server.forceShutdown();
                resolve();
            }, flushMs);
            this.server.tryShutdown(() => {
                clearTimeout(timer);
                resolve();
            });
        });
        return open.map(({ method, arrivedAt }) => ({ method, ageMs: now - arrivedAt }));
    }

    private waitUntilIdle(boundMs: number): Promise<void> {
        return this.openCalls.size === 0 ? Promise.resolve() : new Promise(resolve => {
            const timer = setTimeout(resolve, boundMs);
            this.onIdle = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    private createUnaryHandler(
        method: string,
        handler: (request: unknown) => Promise<Result<unknown, Failure>>,
    ): UntypedHandleCall {
        return (call: ServerUnaryCall<unknown, unknown>, callback: sendUnaryData<WireReply>) => {
            if (this.isStopping) {
                callback(null, { failure: createStoppingFailure("peer-unreachable", "notRun") });
                return;
            }
            const answer = (reply: WireReply) => {
                if (this.openCalls.delete(call)) {
                    callback(null, reply);
                }
                if (this.openCalls.size === 0) {
                    this.onIdle();
                }
            };
            this.openCalls.set(call, { method, arrivedAt: performance.now(), answer });
            handler(call.request).then(
                result => answer(result.ok ? { value: result.val } : { failure: result.val }),
                (error: unknown) => {
                    const failure = createFailure("internal", `handler failed: ${String(error)}`, "mayHaveRun");
                    answer({ failure });
                },
            );
        };
    }
}

/** Codes are those of a connection that could not be opened, and of one that was lost: callers treat them alike. */
function createStoppingFailure(code: string, verdict: "notRun" | "mayHaveRun"): Failure {
    return createFailure(code, "the host is stopping", verdict);
}

/** Binds an address and frees it at once. Rejects with the system's error if it cannot be bound. */
function checkAddress(address: string): Promise<void> {
    const separator = address.lastIndexOf(":");
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), () => {
            server.close(() => resolve());
        });
    });
}

function createStreamHandler(
    handler: (request: unknown, writer: StreamWriter<unknown>) => void,
    backlog: StreamBacklog,
): UntypedHandleCall {
    return (call: ServerWritableStream<unknown, Buffer>) => {
        let isOpen = true;
        const stream = {
            abort: () => {
                const details = "the reader of the stream is too far behind";
                call.destroy(Object.assign(new Error(details), { code: status.RESOURCE_EXHAUSTED, details }));
                close();
            },
        };
        const callbacks: (() => void)[] = [];
        const close = () => {
            if (isOpen) {
                isOpen = false;
                backlog.remove(stream);
                callbacks.forEach(callback => callback());
            }
        };
        call.on("cancelled", close);
        call.on("close", close);
        call.on("error", close);
        const writer: StreamWriter<unknown> = {
            get isOpen() {
                return isOpen;
            },
            send: message => {
                if (isOpen) {
                    const bytes = encodeMessage(message);
                    // A short message keeps the whole buffer of its encoder.
                    const size = bytes.buffer.byteLength;
                    call.write(bytes, () => backlog.release(stream, size));
                    backlog.add(stream, size);
                }
            },
            end: () => call.end(),
            onClose: callback => callbacks.push(callback),
        };
        try {
            handler(call.request, writer);
        }
        catch (error) {
            call.destroy(Object.assign(new Error(String(error)), { code: status.INTERNAL }));
        }
    };
}
