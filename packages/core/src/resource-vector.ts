/**
 * Amounts of the resources that workers have and tasks need.
 */

/** An amount of each resource. All fields are integers of at least 0. */
export interface ResourceVector {
    /** Thousandths of a processor core. */
    readonly cpuMillis: number;
    /** Mebibytes of memory. */
    readonly memoryMb: number;
    /** Whole accelerators. */
    readonly accelerators: number;
}

/** The names of the resources, in the order of the columns that store them. */
export const resourceNames = ["cpuMillis", "memoryMb", "accelerators"] as const;

export type ResourceName = typeof resourceNames[number];

export const zeroResources: ResourceVector = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** Returns the sum of two amounts. */
export function addResources(first: ResourceVector, second: ResourceVector): ResourceVector {
    return {
        cpuMillis: first.cpuMillis + second.cpuMillis,
        memoryMb: first.memoryMb + second.memoryMb,
        accelerators: first.accelerators + second.accelerators,
    };
}

/** Returns `first` minus `second`, not below 0 in any resource. */
export function subtractResources(first: ResourceVector, second: ResourceVector): ResourceVector {
    return {
        cpuMillis: Math.max(0, first.cpuMillis - second.cpuMillis),
        memoryMb: Math.max(0, first.memoryMb - second.memoryMb),
        accelerators: Math.max(0, first.accelerators - second.accelerators),
    };
}

/** Returns `vector` times `factor`, rounded down in each resource. */
export function multiplyResources(vector: ResourceVector, factor: number): ResourceVector {
    return {
        cpuMillis: Math.floor(vector.cpuMillis * factor),
        memoryMb: Math.floor(vector.memoryMb * factor),
        accelerators: Math.floor(vector.accelerators * factor),
    };
}

/** Returns whether `needed` is at most `available` in every resource. */
export function fitsWithin(needed: ResourceVector, available: ResourceVector): boolean {
    return needed.cpuMillis <= available.cpuMillis
        && needed.memoryMb <= available.memoryMb
        && needed.accelerators <= available.accelerators;
}

/** Returns the largest fraction of any resource of `total` that `amount` takes. Resources with total 0 are ignored. */
export function computeDominantShare(amount: ResourceVector, total: ResourceVector): number {
    let share = 0;
    for (const name of resourceNames) {
        if (total[name] > 0) {
            share = Math.max(share, amount[name] / total[name]);
        }
    }
    return share;
}
