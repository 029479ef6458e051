/** In-memory stand-ins for the platform services, with fault injection, for tests and the demo. */
export { applyControl, controlSchema } from "./control.js";
export type { ControlCommand } from "./control.js";
export { isWholeEcho } from "./executor-state.js";
export type { ExecutorBehaviour, ExecutorMode } from "./executor-state.js";
export type { FakeOptions } from "./fake-call.js";
export { FakeExecutor } from "./fake-executor.js";
export type { FakeExecutorOptions } from "./fake-executor.js";
export { FakeHostList } from "./fake-host-list.js";
export type { FakeHostListOptions } from "./fake-host-list.js";
export { FakeStore } from "./fake-store.js";
export type { FakeStoreOptions } from "./fake-store.js";
export { FakeWorker } from "./fake-worker.js";
export type { FakeWorkerOptions } from "./fake-worker.js";
export { FaultInjector } from "./fault-injector.js";
export { Fleet } from "./fleet.js";
export type { FleetOptions } from "./fleet.js";
export type { HostListMode, KnownHostState } from "./host-list-state.js";
export { layoutSchema, parseLayout } from "./layout.js";
export type { Layout, LayoutInput } from "./layout.js";
export { createRecordsReport } from "./records-report.js";
export type { RecordsReport } from "./records-report.js";
export { Records } from "./records.js";
export type {
    ExecutorOverload,
    LateStart,
    Overcommit,
    RepeatedRequest,
    RepeatedStart,
    RequestRun,
    TaskInTwoPlaces,
    TaskRun,
} from "./records.js";
export { applyControlToStandIn, StandIn } from "./stand-in.js";
export type { StandInAddresses } from "./stand-in.js";
export type { StoreCounts } from "./store-state.js";
export { parseDuration } from "./task-command.js";
