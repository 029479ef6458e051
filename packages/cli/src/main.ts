#!/usr/bin/env node
/** The `waxwing` program. */
import { createProcessIo } from "./program-io.js";
import { runProgram } from "./run-program.js";

// A reader such as `head` that closes the pipe ends the program without an error.
process.stdout.on("error", () => process.exit(0));
process.exitCode = await runProgram(process.argv.slice(2), createProcessIo());
