/**
 * Calls between in-process schedulers: the same services and messages as over gRPC, without sockets.
 *
 * A call takes a random time each way, is lost while the link is cut, and waits while the callee is paused. Messages are
 * encoded and decoded, so that nothing that gRPC would drop gets through.
 */
import type { SchedulerCaller } from "@waxwingroute/cluster";
import { createFailure, Err } from "@waxwingroute/core";
import type { Clock, Failure, HostId, RandomSource, Result } from "@waxwingroute/core";
import type { ProcessGate } from "@waxwingroute/scheduler/testing";
import { decodeMessage, encodeMessage } from "@waxwingroute/transport";
import type { ServiceHandlers, ServiceRegistry, StreamMethod, UnaryMethod } from "@waxwingroute/transport";

type Handler = (request: unknown) => Promise<Result<unknown, Failure>>;
type AnyMethod = UnaryMethod<unknown, unknown> | StreamMethod<unknown, unknown>;

/** The served methods of one process, by path. */
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

export interface InProcessNetworkOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Shortest and longest one-way delay, in milliseconds. */
    readonly delayMs: readonly [shortest: number, longest: number];
}

/** Servers by host, and the cuts between hosts. */
export class InProcessNetwork {
    private readonly servers = new Map<HostId, InProcessServer>();
    private readonly cutLinks = new Set<string>();

    constructor(private readonly options: InProcessNetworkOptions) {}

    setServer(host: HostId, server: InProcessServer | undefined): void {
        if (server === undefined) {
            this.servers.delete(host);
        }
        else {
            this.servers.set(host, server);
        }
    }

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

    /** Returns access to all hosts for a process on `host` whose life is `gate`. */
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
                () => resolve(Err(createFailure("peer-timeout", `${to} did not answer in time`, "mayHaveRun"))),
            );
            const reply = (result: Result<Response, Failure>) => {
                timer.cancel();
                resolve(result);
            };
            clock.schedule(this.chooseDelay(), () => {
                if (this.isCut(from, to)) {
                    // No connection can be made, which the real client notices after its connect timeout.
                    clock.schedule(
                        Math.min(timeoutMs, 1_000),
                        () => reply(Err(createFailure("peer-unreachable", `no connection to ${to}`, "notRun"))),
                    );
                    return;
                }
                const server = this.servers.get(to);
                const handler = server?.handlers.get(method.path);
                if (server === undefined || handler === undefined) {
                    reply(Err(createFailure("peer-unreachable", `no connection to ${to}`, "notRun")));
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
