/**
 * Reaches the store directly, or through another host of the cell while the store does not serve this one.
 *
 * A write without an answer is not sent again by another way: the caller decides, since it may have been carried out.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
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
    /** Time after a failure before the direct way is tried first again, ms. Default 500. */
    readonly avoidMs?: number;
}

/** Failures in a row after which the direct way is avoided. */
const failuresBeforeAvoid = 2;

export class FallbackStore extends LeaseStore {
    private failures = 0;
    private avoidUntil = 0;
    private turn = 0;
    private lastAnswerAt = -Infinity;

    constructor(private readonly options: FallbackStoreOptions) {
        super();
    }

    /** Milliseconds since a call was last answered by any way. */
    get silenceMs(): number {
        return this.options.clock.getNow() - this.lastAnswerAt;
    }

    /** Whether other hosts may use this host as their way to the store. */
    get isDirect(): boolean {
        return this.failures === 0;
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const peer = this.pickPeer();
        if (peer !== undefined && this.options.clock.getNow() < this.avoidUntil) {
            const result = await peer.call(request, timeoutMs);
            if (result.ok || !isStoreLost(result.val)) {
                this.lastAnswerAt = this.options.clock.getNow();
                return result;
            }
            return this.canRepeat(request, result.val) ? this.callDirect(request, timeoutMs) : result;
        }
        const result = await this.callDirect(request, timeoutMs);
        if (result.ok || !isStoreLost(result.val) || peer === undefined || !this.canRepeat(request, result.val)) {
            return result;
        }
        const second = await peer.call(request, timeoutMs);
        if (second.ok || !isStoreLost(second.val)) {
            this.lastAnswerAt = this.options.clock.getNow();
        }
        return second;
    }

    private canRepeat(request: StoreRequest, failure: Failure): boolean {
        return failure.verdict === "notRun" || request.kind !== "commit";
    }

    private async callDirect<Request extends StoreRequest>(
        request: Request,
        timeoutMs: number | undefined,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const startedAt = this.options.clock.getNow();
        const result = await this.options.direct.call(request, timeoutMs);
        const isAnswered = result.ok || !isStoreLost(result.val);
        this.options.onCall?.(request.kind, isAnswered, this.options.clock.getNow() - startedAt);
        if (isAnswered) {
            if (this.failures >= failuresBeforeAvoid) {
                this.options.logger.write("info", "store reached again", { failures: this.failures });
            }
            this.failures = 0;
            this.lastAnswerAt = this.options.clock.getNow();
        }
        else {
            this.failures += 1;
            if (this.failures === failuresBeforeAvoid) {
                this.options.logger.write("warn", "store does not serve this host", {
                    operation: request.kind,
                    code: result.val.code,
                    reason: result.val.message,
                });
            }
            if (this.failures >= failuresBeforeAvoid) {
                this.avoidUntil = this.options.clock.getNow() + (this.options.avoidMs ?? 500);
            }
        }
        return result;
    }

    private pickPeer(): LeaseStore | undefined {
        const peers = this.options.listPeers();
        this.turn += 1;
        return peers.length === 0 ? undefined : peers[this.turn % peers.length];
    }
}

/** Returns whether the failure says nothing about the request itself. */
function isStoreLost(failure: Failure): boolean {
    return failure.code !== storeFailures.compacted && failure.code !== storeFailures.leaseEnded;
}
