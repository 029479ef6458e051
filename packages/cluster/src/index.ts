/** Connections to the system's other processes. */
export { ownershipService } from "./ownership-service.js";
export { relayService } from "./relay-service.js";
export { RpcOwnershipPeers } from "./rpc-ownership-peers.js";
export type { RpcOwnershipPeersOptions } from "./rpc-ownership-peers.js";
export { RpcRelayPeers } from "./rpc-relay-peers.js";
export { SchedulerClients } from "./scheduler-clients.js";
export type { PeerCall, SchedulerCaller, SchedulerClientsOptions } from "./scheduler-clients.js";
export { ShardClient } from "./shard-client.js";
export type { ShardClientOptions } from "./shard-client.js";
export { createRelay } from "./start-relay.js";
export type { Relay, RelayOptions } from "./start-relay.js";
