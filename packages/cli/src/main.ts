#!/usr/bin/env node
/** Entry point of the `waxwing` program. */
import { createProcessIo } from "./program-io.js";
import { runProgram } from "./run-program.js";

// If a reader such as `head` closes the pipe, the program ends without an error.
process.stdout.on("error", () => process.exit(0));
process.exitCode = await runProgram(process.argv.slice(2), createProcessIo());
