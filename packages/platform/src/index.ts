/** Abstract interfaces to the platform and their HTTP adapters. */
export { Executor } from "./executor.js";
export type { ExecutorAddress, ExecutorAnswer, ExecutorReport, ExecutorRequest } from "./executor.js";
export { HostList } from "./host-list.js";
export type { HostListing, HostState } from "./host-list.js";
export { HttpClient } from "./http-client.js";
export type {
    CompletedHttpCall,
    HttpClientOptions,
    HttpRequest,
    HttpResponse,
    TransportFailure,
} from "./http-client.js";
export { HttpExecutor } from "./http-executor.js";
export { HttpHostList } from "./http-host-list.js";
export { HttpStore } from "./http-store.js";
export { HttpWorker } from "./http-worker.js";
export { Store } from "./store.js";
export type { StoreChange, StoreEntry, StoreRange, StoreWatchResult, StoreWrite, WritePrecondition } from "./store.js";
export * as wire from "./wire.js";
export { Worker } from "./worker.js";
export type { TaskLeaseRenewal, TaskOutcome, TaskStart, WorkerAddress, WorkerReport, WorkerTask } from "./worker.js";
