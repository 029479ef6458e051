/**
 * Requests to the owners of shards over gRPC.
 *
 * A request without a key goes to a shard of the own zone, and to one of another zone only while the own zone has no owner
 * and the request certainly did not run. A request with a key goes to the shard that the key names and nowhere else.
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

/** Longest wait for an owner in the own zone before other zones are tried, in milliseconds. */
const maxOwnerWaitMs = 1_500;

/**
 * Wait for the owner's answer beyond the deadline, in milliseconds; less than `answerGraceMs` of the entry server. The owner
 * says at the deadline whether the request ran; a call that ends at the same time would lose a "not run".
 */
const answerGraceMs = 500;

export interface RpcShardGatewayOptions {
    readonly settings: Settings;
    readonly zone: ZoneId;
    readonly shardClient: ShardClient;
    readonly clock: Clock;
}

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
            // The key may have been used before, so that an owner that cannot be reached proves nothing.
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
        let last = createFailure("no-owner", "no zone serves requests now: try again", "notRun");
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
            last = result.val;
        }
        return Err(last);
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

    /** Lists the shards of the own zone, in turn, and after them one shard of each other zone. */
    private listCandidateShards(): readonly ShardId[] {
        const { settings, zone } = this.options;
        const all = listShards(settings);
        const own = all.filter(shard => getShardZone(shard) === zone);
        const first = this.rotation++ % Math.max(1, own.length);
        const others = all.filter((shard, index) =>
            getShardZone(shard) !== zone
            && all.findIndex(other => getShardZone(other) === getShardZone(shard)) === index
        );
        return [...own.slice(first), ...own.slice(0, first), ...others];
    }
}
