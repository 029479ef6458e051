/**
 * Calls between in-process schedulers: the same services and messages as over gRPC, without sockets.
 *
 * A call has a random delay each way, is lost while the link is cut, and waits while the callee is paused. Messages are
 * encoded and decoded, so that data that gRPC would drop is dropped here too.
 */
import type { SchedulerCaller } from "@waxwingroute/cluster";
import { createFailure, Err } from "@waxwingroute/core";
import type { Clock, Failure, HostId, RandomSource, Result } from "@waxwingroute/core";
import type { ProcessGate } from "@waxwingroute/scheduler/testing";
import { decodeMessage, encodeMessage } from "@waxwingroute/transport";
import type { ServiceHandlers, ServiceRegistry, StreamMethod, UnaryMethod } from "@waxwingroute/transport";

type Handler = (request: unknown) => Promise<Result<unknown, Failure>>;
type AnyMethod = UnaryMethod<unknown, unknown> | StreamMethod<unknown, unknown>;

/** The unary methods that one process serves, by path. */
export class InProcessServer implements ServiceRegistry {
    readonly handlers = new Map<string, Handler>();

    constructor(readonly gate: ProcessGate) {}

    addService<Methods extends object>(methods: Methods, handlers: ServiceHandlers<Methods>): void {
        for (const [name, method] of Object.entries(methods) as [string, AnyMethod][]) {
            if (method.kind === "unary") {
                this.handlers.set(method.path, handlers[name as keyof Methods] as Handler);
            }
        }
    }
}

/** Options of `InProcessNetwork`. */
export interface InProcessNetworkOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Shortest and longest one-way delay, in milliseconds. */
    readonly delayMs: readonly [shortest: number, longest: number];
}

/** The servers of all hosts, and the links between hosts that are cut. */
export class InProcessNetwork {
    private readonly servers = new Map<HostId, InProcessServer>();
    private readonly cutLinks = new Set<string>();

    constructor(private readonly options: InProcessNetworkOptions) {}

    /** Sets the server of a host; `undefined` removes it, and calls to it fail. */
    setServer(host: HostId, server: InProcessServer | undefined): void {
        if (server === undefined) {
            this.servers.delete(host);
        }
        else {
            this.servers.set(host, server);
        }
    }

    /** Opens or cuts the link between two hosts in both directions. */
    setLink(from: HostId, to: HostId, isOpen: boolean): void {
        for (const link of [`${from} ${to}`, `${to} ${from}`]) {
            if (isOpen) {
                this.cutLinks.delete(link);
            }
            else {
                this.cutLinks.add(link);
            }
        }
    }

    /** Creates the client with which a process on `host` calls other hosts; `gate` pauses and ends the process. */
    createClients(host: HostId, gate: ProcessGate): SchedulerCaller {
        return {
            call: (to, method, request, timeoutMs) => gate.forward(this.call(host, to, method, request, timeoutMs)),
        };
    }

    private call<Request, Response>(
        from: HostId,
        to: HostId,
        method: UnaryMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
    ): Promise<Result<Response, Failure>> {
        const { clock } = this.options;
        return new Promise(resolve => {
            const timer = clock.schedule(
                timeoutMs,
                () => resolve(Err(createFailure("peer-timeout", `host "${to}" did not answer in time`, "mayHaveRun"))),
            );
            const reply = (result: Result<Response, Failure>) => {
                timer.cancel();
                resolve(result);
            };
            clock.schedule(this.chooseDelay(), () => {
                if (this.isCut(from, to)) {
                    // No connection can be made; the real client reports this after its connect timeout.
                    clock.schedule(
                        Math.min(timeoutMs, 1_000),
                        () => reply(Err(createFailure("peer-unreachable", `no connection to host "${to}"`, "notRun"))),
                    );
                    return;
                }
                const server = this.servers.get(to);
                const handler = server?.handlers.get(method.path);
                if (server === undefined || handler === undefined) {
                    reply(Err(createFailure("peer-unreachable", `no connection to host "${to}"`, "notRun")));
                    return;
                }
                const message = decodeMessage(method.request, encodeMessage(request));
                server.gate.run(() => {
                    void server.gate.forward(handler(message)).then(result => {
                        clock.schedule(this.chooseDelay(), () => {
                            if (!this.isCut(from, to)) {
                                reply(result.map(value => decodeMessage(method.response, encodeMessage(value))));
                            }
                        });
                    });
                });
            });
        });
    }

    private chooseDelay(): number {
        const { random, delayMs: [shortest, longest] } = this.options;
        return shortest + random.getFloat() * (longest - shortest);
    }

    private isCut(from: HostId, to: HostId): boolean {
        return this.cutLinks.has(`${from} ${to}`);
    }
}
