#!/usr/bin/env node
/**
 * Entry point of `waxwing-operator`. It listens to the signals before the rest of the program is loaded, since a signal
 * without a listener ends the process.
 */
import { ProcessSignals } from "@waxwingroute/telemetry/process-signals";

const signals = new ProcessSignals();
const { runOperator } = await import("./run-operator.js");
runOperator(signals);
