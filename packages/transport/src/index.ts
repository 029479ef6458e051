/** gRPC clients, servers and service descriptions for calls between the system's processes. */
export { decodeMessage, encodeMessage } from "./codec.js";
export { isConnectionRefused } from "./connection-probe.js";
export { RpcClient } from "./rpc-client.js";
export type { RpcClientOptions, RpcStream, StreamHandlers } from "./rpc-client.js";
export { RpcServer } from "./rpc-server.js";
export type { RpcServerOptions, ServiceHandlers, ServiceRegistry, StreamWriter } from "./rpc-server.js";
export { createStreamMethod, createUnaryMethod, failureSchema } from "./service.js";
export type { StreamMethod, UnaryMethod } from "./service.js";
export { jobEventSchema, jobStatusSchema, schedulerService, shardStatusSchema } from "./services/scheduler-service.js";
export type {
    ExecuteRequest,
    ExecuteResponse,
    JobEvent,
    JobStatus,
    ShardStatus,
} from "./services/scheduler-service.js";
