/**
 * Reaches the store directly, or through another host of the cell while the store does not serve this one.
 *
 * After a failure other hosts are tried first, and the direct way is probed in the background, so that no request waits for
 * its time-out again. One write without an answer does not count, since a store that serves this host can lose answers.
 *
 * A write without an answer is not sent again by another way: the caller decides, since it may have been carried out.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import { ownershipPrefix } from "./store-keys.js";
import type { StoreReply, StoreRequest } from "./store.js";
import { LeaseStore, storeFailures } from "./store.js";

export interface FallbackStoreOptions {
    readonly direct: LeaseStore;
    /** The store as other hosts reach it, in the order in which they are tried. */
    readonly listPeers: () => readonly LeaseStore[];
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Called after each call by the direct way. */
    readonly onCall?: (operation: StoreRequest["kind"], isAnswered: boolean, tookMs: number) => void;
    /** Time between probes of the direct way, ms. Default 300. */
    readonly probeMs?: number;
}

/** Most other hosts that one request tries. */
const maxPeersTried = 3;
/** Writes in a row without an answer after which other hosts are tried first. */
const lostWritesBeforeAvoided = 2;
/** Bound of a probe, ms: longer than an exchange with a store that is slow but serves this host. */
const probeTimeoutMs = 600;

export class FallbackStore extends LeaseStore {
    private isAvoided = false;
    private turn = 0;
    /** Writes without an answer since the store last answered this host. */
    private lostWrites = 0;
    private lastAnswerAt = -Infinity;

    constructor(private readonly options: FallbackStoreOptions) {
        super();
    }

    /** Milliseconds since a call was last answered by any way. */
    get silenceMs(): number {
        return this.options.clock.getNow() - this.lastAnswerAt;
    }

    /** Whether other hosts may use this host as their way to the store. */
    get isDirectlyReachable(): boolean {
        return !this.isAvoided;
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        let last: Result<StoreReply<Request>, Failure> | undefined;
        for (const way of this.listWays()) {
            last = await this.callBy(way, request, timeoutMs);
            if (last.ok || !isStoreLost(last.val)) {
                this.lastAnswerAt = this.options.clock.getNow();
                return last;
            }
            if (way !== this.options.direct) {
                // The next request begins with another host.
                this.turn += 1;
            }
            if (!canRepeat(request, last.val)) {
                return last;
            }
        }
        return last!;
    }

    /** Returns the ways in the order in which they are tried: the host that answered last stays the first of the others. */
    private listWays(): LeaseStore[] {
        const peers = this.options.listPeers();
        const first = peers.length === 0 ? 0 : this.turn % peers.length;
        const others = [...peers.slice(first), ...peers.slice(0, first)].slice(0, maxPeersTried);
        return this.isAvoided ? [...others, this.options.direct] : [this.options.direct, ...others];
    }

    private async callBy<Request extends StoreRequest>(
        way: LeaseStore,
        request: Request,
        timeoutMs: number | undefined,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        if (way !== this.options.direct) {
            return way.call(request, timeoutMs);
        }
        const startedAt = this.options.clock.getNow();
        const result = await way.call(request, timeoutMs);
        const isAnswered = result.ok || !isStoreLost(result.val);
        this.options.onCall?.(request.kind, isAnswered, this.options.clock.getNow() - startedAt);
        const isLostWrite = !isAnswered && request.kind === "commit" && result.val.verdict !== "notRun";
        this.lostWrites = isLostWrite ? this.lostWrites + 1 : isAnswered ? 0 : this.lostWrites;
        if (!isAnswered && !this.isAvoided && (!isLostWrite || this.lostWrites >= lostWritesBeforeAvoided)) {
            this.isAvoided = true;
            this.options.logger.write("warn", "store does not serve this host", {
                operation: request.kind,
                code: result.val.code,
                reason: result.val.message,
            });
            void this.probe();
        }
        return result;
    }

    /** Tries the direct way until the store answers. */
    private async probe(): Promise<void> {
        const { clock, direct, logger } = this.options;
        const startedAt = clock.getNow();
        while (this.isAvoided) {
            await clock.wait(this.options.probeMs ?? 300);
            const probed = await direct.call({ kind: "list", prefix: ownershipPrefix }, probeTimeoutMs);
            if (probed.ok) {
                this.isAvoided = false;
                this.lastAnswerAt = clock.getNow();
                logger.write("info", "store reached again", { afterMs: Math.round(clock.getNow() - startedAt) });
            }
        }
    }
}

/** Returns whether the request may be sent by another way after this failure. */
function canRepeat(request: StoreRequest, failure: Failure): boolean {
    return failure.verdict === "notRun" || request.kind !== "commit";
}

/** Returns whether the failure says nothing about the request itself. */
function isStoreLost(failure: Failure): boolean {
    return failure.code !== storeFailures.compacted && failure.code !== storeFailures.leaseEnded;
}
