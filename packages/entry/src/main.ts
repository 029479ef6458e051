#!/usr/bin/env node
/**
 * Entry point of `waxwing-entry`. It listens to the signals before the rest of the program is loaded, since a signal
 * without a listener ends the process.
 */
import { ProcessSignals } from "@waxwingroute/telemetry/process-signals";

const signals = new ProcessSignals();
const { runEntry } = await import("./run-entry.js");
runEntry(signals);
