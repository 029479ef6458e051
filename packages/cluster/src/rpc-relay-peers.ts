/**
 * Relay messages over gRPC.
 */
import type { Failure, HostId, Result } from "@waxwingroute/core";
import { RelayPeers } from "@waxwingroute/relay";
import type { RelayDigest, RelayPull } from "@waxwingroute/relay";
import { relayService } from "./relay-service.js";
import type { SchedulerCaller } from "./scheduler-clients.js";

/** Longest wait for a relay's answer, in milliseconds. */
const relayTimeoutMs = 1_000;

export class RpcRelayPeers extends RelayPeers {
    constructor(private readonly clients: SchedulerCaller) {
        super();
    }

    digest(host: HostId, own: RelayDigest): Promise<Result<RelayDigest, Failure>> {
        return this.clients.call(host, relayService.digest, own, relayTimeoutMs);
    }

    pull(host: HostId, revision: number | undefined): Promise<Result<RelayPull, Failure>> {
        return this.clients.call(host, relayService.pull, { revision }, relayTimeoutMs);
    }
}
