/**
 * Messages to the other entry hosts of the zone.
 */
import type { Failure, HostId, Result } from "@waxwingroute/core";
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
} from "./messages.js";

/**
 * Sends ownership messages for one shard. An implementation may lose, delay or repeat messages, but an answer must come
 * from the process that is bound to the host's configured address at the time of the request. A failure of any verdict
 * counts as a lost message. Calls should end within one second.
 */
export abstract class OwnershipPeers {
    abstract sendHeartbeat(to: HostId, heartbeat: Heartbeat): Promise<Result<void, Failure>>;
    abstract arm(to: HostId, request: ArmRequest): Promise<Result<ArmAnswer, Failure>>;
    abstract disarm(to: HostId, request: DisarmRequest): Promise<Result<DisarmAnswer, Failure>>;
    abstract release(to: HostId, request: ReleaseRequest): Promise<Result<ReleaseAnswer, Failure>>;
    abstract identify(to: HostId, request: IdentifyRequest): Promise<Result<IdentifyAnswer, Failure>>;
}
