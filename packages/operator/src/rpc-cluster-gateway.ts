/**
 * Queries and commands to the schedulers of all hosts, over gRPC.
 */
import { relayService } from "@waxwingroute/cluster";
import type { SchedulerClients } from "@waxwingroute/cluster";
import { createFailure, Err, getShardZone, Ok } from "@waxwingroute/core";
import type { Failure, Result, ShardId } from "@waxwingroute/core";
import type { RelayDriver } from "@waxwingroute/relay";
import { listHosts, listZoneHosts } from "@waxwingroute/settings";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import { schedulerService } from "@waxwingroute/transport";
import { ClusterGateway } from "./types.js";
import type { HostRevision } from "./types.js";

/** Maximum wait for the response of a host, in milliseconds. */
const callTimeoutMs = 1_500;

/** Options of an `RpcClusterGateway`. */
export interface RpcClusterGatewayOptions {
    readonly settings: Settings;
    readonly clients: SchedulerClients;
    readonly relay: RelayDriver;
}

/** Access to the schedulers of all hosts over gRPC. */
export class RpcClusterGateway extends ClusterGateway {
    constructor(private readonly options: RpcClusterGatewayOptions) {
        super();
    }

    async listHostRevisions(): Promise<Result<readonly HostRevision[], Failure>> {
        return Ok(await Promise.all(listHosts(this.options.settings).map(location => this.fetchRevision(location))));
    }

    async releaseShard(shard: ShardId, reason: string): Promise<Result<number, Failure>> {
        const { settings, clients } = this.options;
        const hosts = listZoneHosts(settings, getShardZone(shard));
        const results = await Promise.all(
            hosts.map(({ host }) =>
                clients.call(host, schedulerService.forceRelease, { shard, reason }, callTimeoutMs)
            ),
        );
        if (!results.some(result => result.ok)) {
            const [failure] = results.flatMap(result => result.err ? [result.val] : []);
            return Err(failure ?? createFailure("not-found", `shard "${shard}" does not exist`, "notRun"));
        }
        const statuses = await Promise.all(
            hosts.map(({ host }) => clients.call(host, schedulerService.describeShards, {}, callTimeoutMs)),
        );
        const epochs = statuses.flatMap(status =>
            status.ok ? status.val.shards.filter(other => other.shard === shard).map(other => other.epoch) : []
        );
        return Ok(Math.max(0, ...epochs));
    }

    private async fetchRevision({ host, zone }: HostLocation): Promise<HostRevision> {
        const { clients, relay } = this.options;
        const result = await clients.call(host, relayService.digest, relay.buildDigest(), callTimeoutMs);
        return result.ok
            ? { host, zone, revision: result.val.revision, confirmedAgoMs: roundAge(result.val.confirmedAgoMs) }
            : { host, zone, revision: undefined, confirmedAgoMs: undefined, problem: result.val.message };
    }
}

function roundAge(ageMs: number | undefined): number | undefined {
    return ageMs === undefined ? undefined : Math.round(ageMs);
}
