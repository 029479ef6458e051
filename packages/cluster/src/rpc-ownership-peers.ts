/**
 * Ownership messages of one shard over gRPC.
 */
import type { Failure, HostId, Result, ShardId } from "@waxwingroute/core";
import { OwnershipPeers } from "@waxwingroute/ownership";
import type {
    ArmAnswer,
    ArmRequest,
    DisarmAnswer,
    DisarmRequest,
    Heartbeat,
    IdentifyAnswer,
    IdentifyRequest,
    ReleaseAnswer,
    ReleaseRequest,
} from "@waxwingroute/ownership";
import { ownershipService } from "./ownership-service.js";
import type { SchedulerCaller } from "./scheduler-clients.js";

export interface RpcOwnershipPeersOptions {
    readonly clients: SchedulerCaller;
    readonly shard: ShardId;
    /** Longest wait for an answer, in milliseconds; default 1,000. */
    readonly timeoutMs?: number;
}

export class RpcOwnershipPeers extends OwnershipPeers {
    private readonly timeoutMs: number;

    constructor(private readonly options: RpcOwnershipPeersOptions) {
        super();
        this.timeoutMs = options.timeoutMs ?? 1_000;
    }

    async sendHeartbeat(to: HostId, message: Heartbeat): Promise<Result<void, Failure>> {
        const { clients, shard } = this.options;
        const result = await clients.call(to, ownershipService.heartbeat, { shard, message }, this.timeoutMs);
        return result.map(() => undefined);
    }

    arm(to: HostId, message: ArmRequest): Promise<Result<ArmAnswer, Failure>> {
        const { clients, shard } = this.options;
        return clients.call(to, ownershipService.arm, { shard, message }, this.timeoutMs);
    }

    disarm(to: HostId, message: DisarmRequest): Promise<Result<DisarmAnswer, Failure>> {
        const { clients, shard } = this.options;
        return clients.call(to, ownershipService.disarm, { shard, message }, this.timeoutMs);
    }

    release(to: HostId, message: ReleaseRequest): Promise<Result<ReleaseAnswer, Failure>> {
        const { clients, shard } = this.options;
        return clients.call(to, ownershipService.release, { shard, message }, this.timeoutMs);
    }

    identify(to: HostId, message: IdentifyRequest): Promise<Result<IdentifyAnswer, Failure>> {
        const { clients, shard } = this.options;
        return clients.call(to, ownershipService.identify, { shard, message }, this.timeoutMs);
    }
}
