/** Parts for tests that run schedulers in process. */
export { HostClock, HostGate } from "./host-gate.js";
