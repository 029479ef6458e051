/** The callers' HTTP server of an entry host. */
export { EntryServer } from "./entry-server.js";
export type { EntryCounters } from "./entry-server.js";
export { AccessControl, ShardGateway } from "./types.js";
export type { Access, AccessFailure, EntryRequest, EntryResult, EntryServerOptions } from "./types.js";
