/** The scheduler of an entry host, for the program and for tests. */
export { SchedulerProgram } from "./scheduler-program.js";
export type { SchedulerProgramOptions } from "./scheduler-program.js";
export type { EndpointClientFactory } from "./shard-context.js";
