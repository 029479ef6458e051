/** Parts for tests that run schedulers in process. */
export { ProcessClock, ProcessGate } from "./process-gate.js";
