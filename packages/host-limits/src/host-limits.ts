/** The limits of a host, and the share of each part of the program. */
import { DescriptorBudget } from "./descriptor-budget.js";
import { countDescriptors, readMaxDescriptors } from "./process-limits.js";

/** Settings of `HostLimits`. */
export interface HostLimitsOptions {
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

    constructor(options: HostLimitsOptions) {
        this.descriptors = new DescriptorBudget({
            maxDescriptors: options.maxDescriptors,
            processMaxDescriptors: options.processMaxDescriptors ?? readMaxDescriptors(),
        });
    }

    /** Returns the values of the gauges of the process. A value that the system does not tell is left out. */
    listGauges(): Readonly<Record<string, number>> {
        const descriptors = countDescriptors();
        return {
            descriptors_limit: this.descriptors.maxDescriptors,
            ...descriptors === undefined ? {} : { descriptors },
        };
    }
}
