/** The program that serves the resource interface to operators. */
export { OperatorServer } from "./operator-server.js";
export type { OperatorServerOptions, OperatorWrite } from "./operator-server.js";
export { ClusterGateway, JobGateway } from "./types.js";
export type { HostRevision, JobExplanation, JobQuery, JobState, JobStatus, JobWatch, WatchLine } from "./types.js";
