/**
 * Finds the host that owns a shard and calls it.
 *
 * Ownership can move at any time. A host that is not the owner answers `not-owner` with the verdict `notRun` and a message
 * that names the owner it knows; the client then tries the other hosts of the zone. It never repeats a call that may have
 * run.
 */
import { createFailure, Err, getShardZone, SystemClock } from "@waxwingroute/core";
import type { Clock, Failure, HostId, Result, ShardId } from "@waxwingroute/core";
import { listZoneHosts } from "@waxwingroute/settings";
import type { Settings } from "@waxwingroute/settings";
import type { UnaryMethod } from "@waxwingroute/transport";
import type { SchedulerCaller } from "./scheduler-clients.js";

/** Delay before the hosts of a zone are tried again, in milliseconds. */
const retryDelayMs = 100;

/** Failure codes after which the next host is tried, because the call did not run and another host may own the shard. */
const nextHostCodes: ReadonlySet<string> = new Set(["not-owner", "peer-unreachable", "unknown-host"]);

/** Options of a `ShardClient`. */
export interface ShardClientOptions {
    readonly settings: Settings;
    readonly clients: SchedulerCaller;
    /** Default: the clock of the machine. */
    readonly clock?: Clock;
}

/**
 * Calls the owner of a shard, starting with the host that was the owner last.
 *
 * @example
 * ```ts
 * const result = await client.call(shard, schedulerService.submitJob, request, 2_000);
 * ```
 */
export class ShardClient {
    private readonly lastOwners = new Map<ShardId, HostId>();
    private readonly clock: Clock;

    constructor(private readonly options: ShardClientOptions) {
        this.clock = options.clock ?? new SystemClock();
    }

    /** Returns the host that was the owner of a shard in the last call; `undefined` if none is known. */
    getLastOwner(shard: ShardId): HostId | undefined {
        return this.lastOwners.get(shard);
    }

    /**
     * Calls a method of the shard's owner. Waits up to `timeoutMs` for its response, and up to `ownerWaitMs` until one of the
     * hosts owns the shard. Fails with `no-owner` and the verdict `notRun` if no host of the zone owns it in that time.
     */
    async call<Request, Response>(
        shard: ShardId,
        method: UnaryMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
        ownerWaitMs = timeoutMs,
    ): Promise<Result<Response, Failure>> {
        const startedAt = this.clock.getNow();
        const deadline = startedAt + timeoutMs;
        const ownerDeadline = startedAt + ownerWaitMs;
        let lastFailure = createFailure("no-owner", `no host of the zone owns shard "${shard}"`, "notRun");
        while (this.clock.getNow() < ownerDeadline) {
            for (const host of this.listCandidates(shard)) {
                const remainingMs = deadline - this.clock.getNow();
                if (remainingMs <= 0) {
                    break;
                }
                const result = await this.options.clients.call(host, method, request, remainingMs);
                if (result.ok || !nextHostCodes.has(result.val.code)) {
                    this.lastOwners.set(shard, host);
                    return result;
                }
                this.lastOwners.delete(shard);
                lastFailure = createFailure(
                    "no-owner",
                    `shard "${shard}" has no owner: ${result.val.message}`,
                    "notRun",
                );
            }
            await this.clock.wait(Math.min(retryDelayMs, Math.max(1, ownerDeadline - this.clock.getNow())));
        }
        return Err(lastFailure);
    }

    /** Lists the hosts of the shard's zone, the last known owner first. */
    private listCandidates(shard: ShardId): readonly HostId[] {
        const hosts = listZoneHosts(this.options.settings, getShardZone(shard)).map(location => location.host);
        const owner = this.lastOwners.get(shard);
        return owner === undefined ? hosts : [owner, ...hosts.filter(host => host !== owner)];
    }
}
