/**
 * Calls to another process of the system.
 *
 * A failure before the call was sent has the verdict `notRun`, and so has a method that the server does not know. Any other
 * transport failure is `mayHaveRun`, because gRPC does not tell whether the server handled the call.
 */
import { Client, connectivityState, credentials, Metadata, status } from "@grpc/grpc-js";
import type { ClientReadableStream, ServiceError } from "@grpc/grpc-js";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { match } from "ts-pattern";
import { decodeMessage, encodeMessage } from "./codec.js";
import { wireReplySchema } from "./service.js";
import type { StreamMethod, UnaryMethod } from "./service.js";

/** Options of an `RpcClient`. */
export interface RpcClientOptions {
    /** `<ip>:<port>` of the other process. */
    readonly address: string;
    /** Time to wait for a connection before a call fails as `notRun`, in milliseconds; default 1,000. */
    readonly connectTimeoutMs?: number;
    /** Maximum size of a message in bytes, in both directions; default 8 MiB. */
    readonly maxMessageBytes?: number;
    /** Called with the message sizes of each finished unary call, for metering. Default: calls are not metered. */
    readonly onCall?: (method: string, sentBytes: number, receivedBytes: number) => void;
}

/** An open stream of messages from another process. */
export interface RpcStream {
    cancel(): void;
}

/** Receives the messages and the end of a stream. */
export interface StreamHandlers<Response> {
    onMessage(message: Response): void;
    /**
     * Called once when the stream has ended; `failure` is `undefined` after a normal end. A message for which `onMessage`
     * throws ends the stream.
     */
    onEnd(failure: Failure | undefined): void;
}

/**
 * A connection to one process, opened on its first use and kept open.
 *
 * @example
 * ```ts
 * const client = new RpcClient({ address: "127.0.0.1:7101" });
 * const reply = await client.call(schedulerService.describeShards, {}, 500);
 * ```
 */
export class RpcClient {
    private readonly client: Client;
    private readonly connectTimeoutMs: number;

    constructor(private readonly options: RpcClientOptions) {
        const maxMessageBytes = options.maxMessageBytes ?? 8 * 1024 * 1024;
        this.connectTimeoutMs = options.connectTimeoutMs ?? 1_000;
        this.client = new Client(options.address, credentials.createInsecure(), {
            "grpc.max_receive_message_length": maxMessageBytes,
            "grpc.max_send_message_length": maxMessageBytes,
            "grpc.initial_reconnect_backoff_ms": 100,
            "grpc.max_reconnect_backoff_ms": 1_000,
            "grpc.enable_retries": 0,
            "grpc.keepalive_time_ms": 5_000,
            "grpc.keepalive_timeout_ms": 2_000,
        });
    }

    /** Calls a method and waits up to `timeoutMs` for its reply. A failure that the handler returned is passed on unchanged. */
    async call<Request, Response>(
        method: UnaryMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
    ): Promise<Result<Response, Failure>> {
        const isConnected = await this.awaitConnection(Math.min(timeoutMs, this.connectTimeoutMs));
        if (!isConnected) {
            return Err(createFailure("peer-unreachable", `no connection to ${this.options.address}`, "notRun"));
        }
        const bytes = encodeMessage(request);
        return new Promise(resolve => {
            this.client.makeUnaryRequest(
                method.path,
                (message: Buffer) => message,
                (message: Buffer) => message,
                bytes,
                new Metadata(),
                { deadline: Date.now() + timeoutMs },
                (error: ServiceError | null, reply?: Buffer) => {
                    this.options.onCall?.(method.path, bytes.length, reply?.length ?? 0);
                    resolve(
                        error === null && reply !== undefined
                            ? decodeReply(method, reply)
                            : Err(this.convertError(error)),
                    );
                },
            );
        });
    }

    /** Opens a stream of messages; the returned object cancels it. */
    openStream<Request, Response>(
        method: StreamMethod<Request, Response>,
        request: Request,
        handlers: StreamHandlers<Response>,
    ): RpcStream {
        const stream: ClientReadableStream<Response> = this.client.makeServerStreamRequest(
            method.path,
            (message: Request) => encodeMessage(message),
            (message: Buffer) => decodeMessage(method.response, message),
            request,
            new Metadata(),
            {},
        );
        let hasEnded = false;
        const finish = (failure: Failure | undefined) => {
            if (!hasEnded) {
                hasEnded = true;
                handlers.onEnd(failure);
            }
        };
        stream.on("data", (message: Response) => {
            try {
                handlers.onMessage(message);
            }
            catch (error) {
                // An error that leaves this listener would end the process.
                finish(createFailure("peer-incompatible", `message cannot be processed: ${String(error)}`, "ran"));
                stream.cancel();
            }
        });
        stream.on("error", (error: ServiceError) => finish(this.convertError(error)));
        stream.on("end", () => finish(undefined));
        return { cancel: () => stream.cancel() };
    }

    /** Closes the connection. */
    close(): void {
        this.client.close();
    }

    private awaitConnection(timeoutMs: number): Promise<boolean> {
        if (this.client.getChannel().getConnectivityState(true) === connectivityState.READY) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            this.client.waitForReady(Date.now() + timeoutMs, error => resolve(error === undefined));
        });
    }

    private convertError(error: ServiceError | null): Failure {
        return match(error?.code)
            .with(
                status.DEADLINE_EXCEEDED,
                () => createFailure("peer-timeout", `${this.options.address} did not answer in time`, "mayHaveRun"),
            )
            .with(
                status.UNIMPLEMENTED,
                () => createFailure("peer-incompatible", `${this.options.address} does not know the method`, "notRun"),
            )
            .otherwise(() => {
                const details = error?.details ?? "no reply";
                return createFailure("peer-lost", `call to ${this.options.address} failed: ${details}`, "mayHaveRun");
            });
    }
}

function decodeReply<Request, Response>(
    method: UnaryMethod<Request, Response>,
    bytes: Buffer,
): Result<Response, Failure> {
    try {
        const reply = decodeMessage(wireReplySchema, bytes);
        return "failure" in reply ? Err(reply.failure) : Ok(method.response.parse(reply.value));
    }
    catch (error) {
        return Err(createFailure("peer-incompatible", `the reply cannot be decoded: ${String(error)}`, "mayHaveRun"));
    }
}
