/** The program that accepts requests from callers. */
export { EntryServer } from "./entry-server.js";
export type { EntryServerStatus } from "./entry-server.js";
export { ReplicaAccessControl } from "./replica-access-control.js";
export type { ReplicaAccessControlOptions } from "./replica-access-control.js";
export { RpcShardGateway } from "./rpc-shard-gateway.js";
export type { RpcShardGatewayOptions } from "./rpc-shard-gateway.js";
export { AccessControl, ShardGateway } from "./types.js";
export type {
    AccessFailure,
    AuthorizedCaller,
    EntryRequest,
    EntryRequestOutcome,
    EntryServerOptions,
} from "./types.js";
