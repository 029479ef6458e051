/**
 * Calls to the owner of a shard, wherever it is.
 *
 * The owner changes without notice. A host that is not the owner answers `not-owner` with the verdict `notRun` and names
 * the owner it knows; the client then tries that host and the other hosts of the zone. It never repeats a call that may
 * have run.
 */
import { createFailure, Err, getShardZone, SystemClock } from "@waxwingroute/core";
import type { Clock, Failure, HostId, Result, ShardId } from "@waxwingroute/core";
import { listZoneHosts } from "@waxwingroute/settings";
import type { Settings } from "@waxwingroute/settings";
import type { UnaryMethod } from "@waxwingroute/transport";
import type { SchedulerCaller } from "./scheduler-clients.js";

/** Wait before the hosts of a zone are tried again, in milliseconds. */
const retryDelayMs = 100;

/** Codes of failures after which another host may own the shard. */
const tryOtherHostCodes: ReadonlySet<string> = new Set(["not-owner", "peer-unreachable", "unknown-host"]);

export interface ShardClientOptions {
    readonly settings: Settings;
    readonly clients: SchedulerCaller;
    /** Default: the clock of the machine. */
    readonly clock?: Clock;
}

/**
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

    /** Returns the host that answered last as the owner of a shard. */
    getLastOwner(shard: ShardId): HostId | undefined {
        return this.lastOwners.get(shard);
    }

    /**
     * Calls a method of the shard's owner and waits up to `timeoutMs` for its answer, and up to `ownerWaitMs` for an owner to
     * appear. Fails with `no-owner` and the verdict `notRun` if no host of the zone owns the shard in that time.
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
                if (result.ok || !tryOtherHostCodes.has(result.val.code)) {
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

    private listCandidates(shard: ShardId): readonly HostId[] {
        const hosts = listZoneHosts(this.options.settings, getShardZone(shard)).map(place => place.host);
        const owner = this.lastOwners.get(shard);
        return owner === undefined ? hosts : [owner, ...hosts.filter(host => host !== owner)];
    }
}
