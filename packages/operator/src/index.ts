/** The program that serves the resource interface to operators. */
export { OperatorServer } from "./operator-server.js";
export type { OperatorServerOptions, OperatorWrite } from "./operator-server.js";
export { RpcJobGateway } from "./rpc-job-gateway.js";
export type { RpcJobGatewayOptions } from "./rpc-job-gateway.js";
export { ClusterGateway, JobGateway } from "./types.js";
export type {
    HostRevision,
    JobExplanation,
    JobQuery,
    JobState,
    JobStatus,
    JobWatchOptions,
    WatchLine,
} from "./types.js";
