/** Start-up code shared by the programs. */
export { exitCodes, runDaemon, version } from "./run-daemon.js";
export type { DaemonContext, DaemonOptions, RunningDaemon } from "./run-daemon.js";
