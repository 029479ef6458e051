/**
 * Entry point of `waxwing-node`. It listens to the signals before the rest of the program is loaded, since a signal
 * without a listener ends the process.
 */
import { ProcessSignals } from "@waxwingroute/telemetry/process-signals";

const signals = new ProcessSignals();
void import("./node-program.js").then(({ runNode }) => runNode(signals));
