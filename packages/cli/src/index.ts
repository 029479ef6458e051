/** The `waxwing` command line for operators. */
export { exitCodes } from "./program-io.js";
export type { ProgramIo } from "./program-io.js";
export { runProgram } from "./run-program.js";
