/**
 * Calls the store directly, or through another host of the cell while the store does not serve this one.
 *
 * A read or a list is sent by a further route whenever none has answered for a short time, since its answer may bound the
 * age of what this host believes: the configuration, the owner, which executors are leaving.
 *
 * After a failed direct call other hosts are tried first, and the direct route is probed in the background, so that
 * further requests do not wait for its time-out. A single write without an answer does not count as a failure of the
 * route, since a store that serves this host can lose answers.
 *
 * A write without an answer may have been carried out, so it is not sent again by another route: the caller decides.
 */
import type { Clock, Failure, Result, Timer } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { ownershipPrefix } from "./store-keys.js";
import type { StoreReply, StoreRequest } from "./store.js";
import { LeaseStore, storeFailures } from "./store.js";

/** The routes to the store, and when they are probed. */
export interface FallbackStoreOptions {
    /** The route from this host to the store. */
    readonly direct: LeaseStore;
    /** The routes through other hosts, in the order in which they are tried. */
    readonly listPeers: () => readonly LeaseStore[];
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    /** Called after each direct call. */
    readonly onCall?: (operation: StoreRequest["kind"], isAnswered: boolean, tookMs: number) => void;
    /** Pause between probes of the direct route, ms. Default 300. */
    readonly probeMs?: number;
}

/** Largest number of other hosts through which one request is sent. */
const maxPeersTried = 3;
/** Direct writes in a row without an answer after which other hosts are tried first. */
const unansweredWritesBeforeAvoided = 2;
/**
 * Shortest time after which a read without an answer is sent by a further route too, ms: a round trip across regions. It
 * grows with the timeout, since a large answer would otherwise be received several times at once.
 */
const furtherRouteDelayMs = 300;
const furtherRoutePart = 3 / 7;
/** Time-out of a probe, ms: longer than a call takes to a store that is slow but serves this host. */
const probeTimeoutMs = 600;

/** A store that falls back to the routes of other hosts. */
export class FallbackStore extends LeaseStore {
    /** Whether other hosts are tried before the direct route. */
    private isDirectAvoided = false;
    /** Selects the other host that is tried first; grows with each failure of one. */
    private peerOffset = 0;
    /** Direct writes without an answer since the store last answered this host. */
    private unansweredWrites = 0;
    private lastAnswerAt = -Infinity;

    constructor(private readonly options: FallbackStoreOptions) {
        super();
    }

    /** Milliseconds since a call was last answered by any route. */
    get silenceMs(): number {
        return this.options.clock.getNow() - this.lastAnswerAt;
    }

    /** Whether the store serves this host, so that other hosts may reach the store through it. */
    get isDirectlyReachable(): boolean {
        return !this.isDirectAvoided;
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        return request.kind === "read" || request.kind === "list"
            ? this.callConcurrently(request, timeoutMs)
            : this.callInTurn(request, timeoutMs);
    }

    private async callInTurn<Request extends StoreRequest>(
        request: Request,
        timeoutMs: number | undefined,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        let lastResult: Result<StoreReply<Request>, Failure> | undefined;
        for (const route of this.listRoutes()) {
            lastResult = await this.callRoute(route, request, timeoutMs);
            if (lastResult.ok || isAnswer(lastResult) || !canRepeat(request, lastResult.val)) {
                return lastResult;
            }
        }
        return lastResult!;
    }

    /** Uses the next route when one has failed or has not answered for a while. The first answer is the result. */
    private callConcurrently<Request extends StoreRequest>(
        request: Request,
        timeoutMs: number | undefined,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const routes = this.listRoutes();
        const delayMs = Math.max(furtherRouteDelayMs, (timeoutMs ?? 0) * furtherRoutePart);
        let unansweredCount = 0;
        return new Promise(resolve => {
            let timer: Timer | undefined;
            let isSettled = false;
            const settle = (result: Result<StoreReply<Request>, Failure>) => {
                isSettled = true;
                timer?.cancel();
                resolve(result);
            };
            const startNext = () => {
                timer?.cancel();
                const route = routes.shift();
                if (route === undefined || isSettled) {
                    return;
                }
                unansweredCount += 1;
                timer = this.options.clock.schedule(delayMs, startNext);
                this.options.supervisor.start("store call", { operation: request.kind }, async () => {
                    const result = await this.callRoute(route, request, timeoutMs);
                    unansweredCount -= 1;
                    if (!isAnswer(result)) {
                        startNext();
                    }
                    if (isAnswer(result) || unansweredCount === 0) {
                        settle(result);
                    }
                });
            };
            startNext();
        });
    }

    /** Returns the routes in the order in which they are tried. A host that answers stays the first of the others. */
    private listRoutes(): LeaseStore[] {
        const peers = this.options.listPeers();
        const first = peers.length === 0 ? 0 : this.peerOffset % peers.length;
        const others = [...peers.slice(first), ...peers.slice(0, first)].slice(0, maxPeersTried);
        return this.isDirectAvoided ? [...others, this.options.direct] : [this.options.direct, ...others];
    }

    private async callRoute<Request extends StoreRequest>(
        route: LeaseStore,
        request: Request,
        timeoutMs: number | undefined,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const isDirect = route === this.options.direct;
        const result = await this.options.supervisor.call(
            "store call",
            { operation: request.kind },
            () => isDirect ? this.callDirectly(request, timeoutMs) : route.call(request, timeoutMs),
        );
        if (isAnswer(result)) {
            this.lastAnswerAt = this.options.clock.getNow();
        }
        else if (!isDirect) {
            // The next request starts with another host.
            this.peerOffset += 1;
        }
        return result;
    }

    private async callDirectly<Request extends StoreRequest>(
        request: Request,
        timeoutMs: number | undefined,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const startedAt = this.options.clock.getNow();
        const result = await this.options.direct.call(request, timeoutMs);
        const isAnswered = isAnswer(result);
        this.options.onCall?.(request.kind, isAnswered, this.options.clock.getNow() - startedAt);
        const isUnansweredWrite = !result.ok && !isAnswered && request.kind === "commit"
            && result.val.verdict !== "notRun";
        this.unansweredWrites = isUnansweredWrite ? this.unansweredWrites + 1 : isAnswered ? 0 : this.unansweredWrites;
        if (
            !result.ok && !isAnswered && !this.isDirectAvoided
            && (!isUnansweredWrite || this.unansweredWrites >= unansweredWritesBeforeAvoided)
        ) {
            this.isDirectAvoided = true;
            this.options.logger.write("warn", "store does not serve this host", {
                operation: request.kind,
                code: result.val.code,
                reason: result.val.message,
            });
            this.options.supervisor.start("store probe", {}, () => this.probe());
        }
        return result;
    }

    /** Probes the direct route until the store answers. */
    private async probe(): Promise<void> {
        const { clock, direct, logger } = this.options;
        const startedAt = clock.getNow();
        while (this.isDirectAvoided) {
            await clock.wait(this.options.probeMs ?? 300);
            const probed = await direct.call({ kind: "list", prefix: ownershipPrefix }, probeTimeoutMs);
            if (probed.ok) {
                this.isDirectAvoided = false;
                this.lastAnswerAt = clock.getNow();
                logger.write("info", "store reached again", { afterMs: Math.round(clock.getNow() - startedAt) });
            }
        }
    }
}

/** Returns whether the request may be sent by another route after this failure. */
function canRepeat(request: StoreRequest, failure: Failure): boolean {
    return failure.verdict === "notRun" || request.kind !== "commit";
}

/** Returns whether the store has answered the request, be it with a failure; other failures are those of the route. */
function isAnswer(result: Result<unknown, Failure>): boolean {
    return result.ok || result.val.code === storeFailures.compacted || result.val.code === storeFailures.leaseEnded;
}
