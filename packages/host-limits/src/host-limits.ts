/** The limits of a host, and the share of each part of the program. */
import type { Clock } from "@waxwingroute/core";
import { DescriptorBudget } from "./descriptor-budget.js";
import { collectGarbage } from "./garbage-collector.js";
import { MemoryBudget } from "./memory-budget.js";
import { countDescriptors, readMaxDescriptors, readMemoryUsage } from "./process-limits.js";

/** Settings of `HostLimits`. */
export interface HostLimitsOptions {
    readonly clock: Clock;
    /** Memory at which the platform ends the process, bytes. */
    readonly maxMemoryBytes: number;
    /** Maximum number of descriptors that the settings of the host allow. */
    readonly maxDescriptors: number;
    /** Maximum number of descriptors that the operating system allows. Default: read from the system. */
    readonly processMaxDescriptors?: number;
}

/**
 * Knows the limits of the host. Each part of the program that others fill (connections, request bodies) takes its share
 * from here, so that no constant elsewhere decides on a resource of the whole process.
 */
export class HostLimits {
    readonly descriptors: DescriptorBudget;
    readonly memory: MemoryBudget;

    constructor(options: HostLimitsOptions) {
        this.descriptors = new DescriptorBudget({
            maxDescriptors: options.maxDescriptors,
            processMaxDescriptors: options.processMaxDescriptors ?? readMaxDescriptors(),
        });
        this.memory = new MemoryBudget({
            maxBytes: options.maxMemoryBytes,
            clock: options.clock,
            readUsage: readMemoryUsage,
            collectGarbage,
        });
    }

    /** Returns the values of the gauges of the process. A value that the system does not tell is left out. */
    listGauges(): Readonly<Record<string, number>> {
        const descriptors = countDescriptors();
        return {
            resident_bytes: this.memory.getResidentBytes(),
            memory_limit_bytes: this.memory.maxBytes,
            memory_collections: this.memory.collections,
            body_bytes: this.memory.bodies.usedBytes,
            body_bytes_limit: this.memory.bodies.limitBytes,
            descriptors_limit: this.descriptors.maxDescriptors,
            ...descriptors === undefined ? {} : { descriptors },
        };
    }
}
