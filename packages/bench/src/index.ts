/** Measurements of the placement engine against its goals and against simple baselines. */
export { runControlCost } from "./control-cost.js";
export { runDecisionCost } from "./decision-cost.js";
export { runPacking } from "./packing.js";
export { runRecovery } from "./recovery.js";
export type { BenchReport, Figure, Goal, SectionReport } from "./report.js";
export { runRequestPath } from "./request-path.js";
export { runShareError } from "./share-error.js";
export { runWaitingTime } from "./waiting-time.js";
