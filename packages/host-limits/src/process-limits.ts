/** Reads what this process uses, and the limits that the operating system sets for it. */
import { readdirSync } from "node:fs";
import type { MemoryUsage } from "./memory-budget.js";

/** The part of Node's diagnostic report that is read; its type in Node's declarations is `string`. */
interface DiagnosticReport {
    readonly userLimits?: { readonly open_files?: { readonly soft?: number | "unlimited"; }; };
}

/**
 * Returns the maximum number of open descriptors, or `undefined` if it is unlimited or the system does not tell. Asks the
 * system by `getrlimit`, which /proc/self/limits does not answer on a platform that sets the limit itself.
 */
export function readMaxDescriptors(): number | undefined {
    const report = process.report?.getReport() as unknown as DiagnosticReport | undefined;
    const soft = report?.userLimits?.open_files?.soft;
    return typeof soft === "number" ? soft : undefined;
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
