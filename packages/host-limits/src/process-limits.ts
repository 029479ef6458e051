/** Reads what this process uses, and the limits that the operating system sets for it. */
import { readdirSync, readFileSync } from "node:fs";
import type { MemoryUsage } from "./memory-budget.js";

/**
 * Returns the maximum number of open descriptors, or `undefined` if it is unlimited or the system does not tell. Takes
 * below 1 ms; `process.report` tells the same in 6 ms.
 */
export function readMaxDescriptors(file = "/proc/self/limits"): number | undefined {
    try {
        const soft = /^Max open files\s+(\d+)\s/m.exec(readFileSync(file, "utf8"))?.[1];
        return soft === undefined ? undefined : Number(soft);
    }
    catch {
        return undefined;
    }
}

/** Returns the number of open descriptors, or `undefined` if the system does not tell. */
export function countDescriptors(directory = "/proc/self/fd"): number | undefined {
    try {
        // The listing itself holds one.
        return readdirSync(directory).length - 1;
    }
    catch {
        return undefined;
    }
}

/** Returns the memory of this process. */
export function readMemoryUsage(): MemoryUsage {
    const { rss, heapTotal, heapUsed, external } = process.memoryUsage();
    return { residentBytes: rss, reservedBytes: heapTotal + external, usedBytes: heapUsed + external };
}
