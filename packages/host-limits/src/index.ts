/** The limits of the machine a process runs on, divided into a share for each use. */
export { BodyBuffer } from "./body-buffer.js";
export type { BodyBufferOptions, BodyRefusal } from "./body-buffer.js";
export { ByteBudget } from "./byte-budget.js";
export { ConnectionTable } from "./connection-table.js";
export type { ConnectionTableOptions } from "./connection-table.js";
export { DescriptorBudget } from "./descriptor-budget.js";
export type { DescriptorBudgetOptions, DescriptorShares } from "./descriptor-budget.js";
export { HostLimits } from "./host-limits.js";
export type { HostLimitsOptions } from "./host-limits.js";
export { MemoryBudget } from "./memory-budget.js";
export type { CallKind, MemoryBudgetOptions, MemoryUsage } from "./memory-budget.js";
export { countDescriptors, readMaxDescriptors } from "./process-limits.js";
export { RefusalLog } from "./refusal-log.js";
export type { RefusalLogOptions } from "./refusal-log.js";
