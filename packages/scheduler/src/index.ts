/** The scheduler of an entry host, as the program and tests run it. */
export { SchedulerProgram } from "./scheduler-program.js";
export type { SchedulerProgramOptions } from "./scheduler-program.js";
export type { EndpointClientFactory } from "./shard-context.js";
