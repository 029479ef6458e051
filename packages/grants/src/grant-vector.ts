/**
 * The amounts in which team limits and grants are counted: resources and executor slots.
 */

/** All fields are integers of at least 0. */
export interface GrantVector {
    /** Thousandths of a processor core. */
    readonly cpuMillis: number;
    /** Mebibytes of memory. */
    readonly memoryMb: number;
    /** Whole accelerators. */
    readonly accelerators: number;
    /** Executor slots. */
    readonly slots: number;
}

export const grantFields = ["cpuMillis", "memoryMb", "accelerators", "slots"] as const;

export type GrantField = typeof grantFields[number];

export const zeroGrant: GrantVector = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };

/** Returns a vector with the computed amount of each field. */
export function buildGrantVector(compute: (field: GrantField) => number): GrantVector {
    return {
        cpuMillis: compute("cpuMillis"),
        memoryMb: compute("memoryMb"),
        accelerators: compute("accelerators"),
        slots: compute("slots"),
    };
}

/** Returns the sum of each field. */
export function sumGrants(vectors: readonly GrantVector[]): GrantVector {
    return buildGrantVector(field => vectors.reduce((sum, vector) => sum + vector[field], 0));
}

/** Returns the smaller amount of each field. */
export function intersectGrants(first: GrantVector, second: GrantVector): GrantVector {
    return buildGrantVector(field => Math.min(first[field], second[field]));
}

/** Returns whether `needed` is at most `available` in every field. */
export function fitsGrant(needed: GrantVector, available: GrantVector): boolean {
    return grantFields.every(field => needed[field] <= available[field]);
}
