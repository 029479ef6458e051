/** Replicates the configuration: one host per zone watches the store, and relays exchange digests and pull updates. */
export { ConfigurationReplica } from "./configuration-replica.js";
export type { ChangeListener, ConfigurationReplicaOptions } from "./configuration-replica.js";
export { RelayDriver } from "./relay-driver.js";
export type { RelayCounters, RelayDriverOptions } from "./relay-driver.js";
export { RelayPeers } from "./types.js";
export type { RelayDelta, RelayDigest, RelayPull, RelaySnapshot, RelayUpdate } from "./types.js";
