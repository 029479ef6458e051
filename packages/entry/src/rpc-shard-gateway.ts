/**
 * Forwards requests to the owners of shards over gRPC.
 *
 * A request without a request key goes to a shard of the local zone. It goes to a shard of another zone only if no
 * shard of the local zone has an owner and the request certainly did not run. A request with a key goes only to the
 * shard that issued the key.
 */
import type { ShardClient } from "@waxwingroute/cluster";
import { createFailure, Err, getShardZone, Ok, toId } from "@waxwingroute/core";
import type { Clock, ExecutorId, Failure, RequestKey, Result, ShardId, ZoneId } from "@waxwingroute/core";
import type { Answer, RequestFailure } from "@waxwingroute/routing";
import { listShards } from "@waxwingroute/settings";
import type { Settings } from "@waxwingroute/settings";
import { schedulerService } from "@waxwingroute/transport";
import { ShardGateway } from "./types.js";
import type { EntryRequest } from "./types.js";

/** Maximum wait for the owner of a shard before the next shard is tried, in milliseconds. */
const maxOwnerWaitMs = 1_500;

/**
 * Time after the deadline for the owner's answer to arrive, in milliseconds; less than `answerGraceMs` of the entry
 * server. At the deadline the owner reports whether the request ran; a call that ends at the same moment could lose a
 * `notRun`.
 */
const answerGraceMs = 500;

/** Options of an `RpcShardGateway`. */
export interface RpcShardGatewayOptions {
    readonly settings: Settings;
    /** The local zone, whose shards are tried first. */
    readonly zone: ZoneId;
    readonly shardClient: ShardClient;
    readonly clock: Clock;
}

/** Forwards requests to shard owners over gRPC. */
export class RpcShardGateway extends ShardGateway {
    private rotation = 0;

    constructor(private readonly options: RpcShardGatewayOptions) {
        super();
    }

    async execute(
        shard: ShardId | undefined,
        request: EntryRequest,
        body: Uint8Array,
    ): Promise<Result<Answer, RequestFailure>> {
        const { clock } = this.options;
        const deadline = clock.getNow() + request.timeoutMs;
        if (shard !== undefined) {
            const result = await this.send(shard, request, body, request.timeoutMs);
            const { requestKey } = request;
            // An earlier attempt with this key may have run, and only the owner, which cannot be reached, knows whether
            // it did.
            return result.mapErr(failure =>
                failure.code === "no-owner" ? { ...failure, verdict: "mayHaveRun", requestKey } : failure
            );
        }
        let lastFailure = createFailure("no-owner", "no zone serves requests now: try again", "notRun");
        for (const candidate of this.listCandidateShards()) {
            const remainingMs = deadline - clock.getNow();
            if (remainingMs <= 0 || request.signal.aborted) {
                break;
            }
            const result = await this.send(candidate, request, body, remainingMs);
            if (result.ok || result.val.code !== "no-owner") {
                return result;
            }
            lastFailure = result.val;
        }
        return Err(lastFailure);
    }

    async issueRequestKey(): Promise<Result<RequestKey, Failure>> {
        let lastFailure = createFailure("no-owner", "no zone serves requests now: try again", "notRun");
        for (const shard of this.listCandidateShards()) {
            const result = await this.options.shardClient.call(
                shard,
                schedulerService.issueKey,
                { shard },
                maxOwnerWaitMs,
            );
            if (result.ok) {
                return Ok(toId<RequestKey>(result.val.requestKey));
            }
            lastFailure = result.val;
        }
        return Err(lastFailure);
    }

    private async send(
        shard: ShardId,
        request: EntryRequest,
        body: Uint8Array,
        timeoutMs: number,
    ): Promise<Result<Answer, RequestFailure>> {
        const { team, queue, requestKey, isIdempotent, contentType } = request;
        const message = { shard, team, queue, requestKey, isIdempotent, contentType, body, timeoutMs };
        const ownerWaitMs = Math.min(timeoutMs, maxOwnerWaitMs);
        const result = await this.options.shardClient.call(
            shard,
            schedulerService.execute,
            message,
            timeoutMs + answerGraceMs,
            ownerWaitMs,
        );
        return result.map(({ executor, status, contentType: type, body: answer, requestKey: key }) => ({
            requestKey: toId<RequestKey>(key),
            executor: toId<ExecutorId>(executor),
            status,
            contentType: type,
            body: answer,
        }));
    }

    /**
     * Lists the shards of the local zone, starting one shard later at each call, and then one shard of each other zone.
     */
    private listCandidateShards(): readonly ShardId[] {
        const { settings, zone } = this.options;
        const allShards = listShards(settings);
        const localShards = allShards.filter(shard => getShardZone(shard) === zone);
        const firstIndex = this.rotation++ % Math.max(1, localShards.length);
        const remoteShards = allShards.filter((shard, index) =>
            getShardZone(shard) !== zone
            && allShards.findIndex(other => getShardZone(other) === getShardZone(shard)) === index
        );
        return [...localShards.slice(firstIndex), ...localShards.slice(0, firstIndex), ...remoteShards];
    }
}
