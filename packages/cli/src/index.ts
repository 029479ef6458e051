/** The operators' command line. */
export { exitCodes } from "./program-io.js";
export type { ProgramIo } from "./program-io.js";
export { runProgram } from "./run-program.js";
