/** One cell on a store with leases: ownership, job intake, executor sessions and replication to the hosts. */
export { AdaptiveTimeout } from "./adaptive-timeout.js";
export { Advisor } from "./advisor.js";
export { answerMarginMs, leastServingMs } from "./call-times.js";
export { CellHost } from "./cell-host.js";
export type { CellHostOptions } from "./cell-host.js";
export type { CellConfiguration, QueueConfiguration, TeamConfiguration } from "./configuration.js";
export { gatewayFailures, JobGateway } from "./job-gateway.js";
export type { QueueTarget } from "./job-gateway.js";
export { machineFailures, MachineManager } from "./machine-manager.js";
export type { Machine, MachineId, MachineOrder, MachineState, MaintenanceWave, WaveState } from "./machine-manager.js";
export { PlatformCodec } from "./platform-codec.js";
export { LeaseStore, listAll, storeFailures } from "./store.js";
export type { StoreChange, StoreItem, StoreReplies, StoreReply, StoreRequest, StoreTransaction } from "./store.js";
export { ExecutorConnector, executorFailures, TaskExecutor } from "./task-executor.js";
export type {
    ExecutorEntry,
    ExecutorListing,
    LeaseRenewal,
    ListedEnd,
    StartOrder,
    StopOrder,
    ThrottleOrder,
} from "./task-executor.js";
