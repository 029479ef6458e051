/**
 * Index of workers by free capacity.
 *
 * Workers are kept in buckets. A bucket covers one range, called a level, of free processors, one of free memory and
 * one of free accelerators. Bit masks mark the buckets that contain workers, so the cost of a search depends on the
 * number of buckets and not on the number of workers.
 */

const levelCount = 32;
const acceleratorLevelCount = 16;
// Amounts below 64 (thousandths of a processor, or MB) share level 0. The other 31, two per power of two, reach 2^21.
const smallestAmount = 64;
const levelOffset = 11;
// Bounds the cost of a search in the lowest buckets that may fit; workers in buckets of higher levels fit anyway.
// Must equal `boundedSearchRejections` of `policies.ts`, which tells from it whether a search was cut short.
const maxRejectedRows = 96;

/** Returns the level of an amount; a larger amount never has a lower level. */
function computeLevel(amount: number): number {
    if (amount < smallestAmount) {
        return 0;
    }
    const exponent = 31 - Math.clz32(amount);
    const half = amount >> exponent - 1 & 1;
    return Math.min(levelCount - 1, 2 * exponent + half - levelOffset);
}

function getLowestBit(mask: number): number {
    return 31 - Math.clz32(mask & -mask);
}

/** Returns a mask with the bits from `level` up. */
function makeMaskFrom(level: number): number {
    return level >= 32 ? 0 : -1 << level;
}

/** The workers that may get new tasks, by free capacity. Workers are given as rows of the worker table. */
export class CapacityIndex {
    /** Number of workers that the last search checked and that had no room. */
    rejectedCount = 0;
    private readonly buckets: (number[] | undefined)[] = new Array<number[] | undefined>(
        acceleratorLevelCount * levelCount * levelCount,
    );
    /** Position in each bucket at which its next search starts. */
    private readonly cursors = new Uint32Array(acceleratorLevelCount * levelCount * levelCount);
    /** Levels of free memory with workers, by accelerator level and processor level. */
    private readonly memoryMasks = new Int32Array(acceleratorLevelCount * levelCount);
    /** Levels of free processors with workers, by accelerator level. */
    private readonly cpuMasks = new Int32Array(acceleratorLevelCount);
    /** Bucket of each row, or -1 for a row that is not in the index. */
    private rowBuckets = new Int32Array(64).fill(-1);
    /** Position of each row in its bucket. */
    private rowPositions = new Int32Array(64);
    /** Free capacity by row. */
    private cpu = new Int32Array(64);
    private memory = new Int32Array(64);
    private accelerators = new Int32Array(64);

    /** Sets the free capacity of a worker. A worker with a negative amount is kept out of the index. */
    update(row: number, cpu: number, memory: number, accelerators: number): void {
        if (row >= this.rowBuckets.length) {
            this.extendColumns(row);
        }
        this.cpu[row] = cpu;
        this.memory[row] = memory;
        this.accelerators[row] = accelerators;
        if (cpu < 0 || memory < 0 || accelerators < 0) {
            this.remove(row);
            return;
        }
        const bucket = (Math.min(acceleratorLevelCount - 1, accelerators) * levelCount + computeLevel(cpu)) * levelCount
            + computeLevel(memory);
        if (this.rowBuckets[row] !== bucket) {
            this.remove(row);
            this.insert(row, bucket);
        }
    }

    /** Removes a worker from the index. */
    remove(row: number): void {
        const bucket = row < this.rowBuckets.length ? this.rowBuckets[row] as number : -1;
        if (bucket < 0) {
            return;
        }
        const rows = this.buckets[bucket] as number[];
        const last = rows.pop() as number;
        if (last !== row) {
            const position = this.rowPositions[row] as number;
            rows[position] = last;
            this.rowPositions[last] = position;
        }
        this.rowBuckets[row] = -1;
        if (rows.length === 0) {
            const maskIndex = bucket >> 5;
            this.memoryMasks[maskIndex] = (this.memoryMasks[maskIndex] as number) & ~(1 << (bucket & 31));
            if (this.memoryMasks[maskIndex] === 0) {
                const acceleratorLevel = maskIndex >> 5;
                this.cpuMasks[acceleratorLevel] = (this.cpuMasks[acceleratorLevel] as number)
                    & ~(1 << (maskIndex & 31));
            }
        }
    }

    hasRow(row: number): boolean {
        return row < this.rowBuckets.length && (this.rowBuckets[row] as number) >= 0;
    }

    /** Returns whether a worker is in the index and has at least this much free. */
    fitsRow(row: number, cpu: number, memory: number, accelerators: number): boolean {
        return this.hasRow(row) && this.hasFree(row, cpu, memory, accelerators);
    }

    /** Returns a worker with enough free capacity from the lowest possible bucket, or -1. */
    findBestFit(cpu: number, memory: number, accelerators: number): number {
        this.rejectedCount = 0;
        const cpuLevel = computeLevel(cpu);
        const memoryMask = makeMaskFrom(computeLevel(memory));
        const firstLevel = Math.min(acceleratorLevelCount - 1, accelerators);
        for (let acceleratorLevel = firstLevel; acceleratorLevel < acceleratorLevelCount; acceleratorLevel++) {
            let cpuMask = (this.cpuMasks[acceleratorLevel] as number) & makeMaskFrom(cpuLevel);
            while (cpuMask !== 0) {
                const maskIndex = acceleratorLevel * levelCount + getLowestBit(cpuMask);
                cpuMask &= cpuMask - 1;
                let mask = (this.memoryMasks[maskIndex] as number) & memoryMask;
                while (mask !== 0) {
                    const row = this.findInBucket(
                        maskIndex * levelCount + getLowestBit(mask),
                        cpu,
                        memory,
                        accelerators,
                    );
                    if (row >= 0) {
                        return row;
                    }
                    mask &= mask - 1;
                }
            }
        }
        return -1;
    }

    /**
     * Searches a bucket from where its last search ended, so that repeated searches reach every worker although each is
     * bounded.
     */
    private findInBucket(bucket: number, cpu: number, memory: number, accelerators: number): number {
        const rows = this.buckets[bucket] as number[];
        const start = (this.cursors[bucket] as number) % rows.length;
        for (let offset = 0; offset < rows.length; offset++) {
            const row = rows[(start + offset) % rows.length] as number;
            if (this.hasFree(row, cpu, memory, accelerators)) {
                this.cursors[bucket] = start + offset;
                return row;
            }
            this.rejectedCount++;
            if (this.rejectedCount >= maxRejectedRows) {
                // Past the bound, one worker of each further bucket is still checked: it fits in all but the lowest.
                this.cursors[bucket] = start + offset + 1;
                return -1;
            }
        }
        return -1;
    }

    private hasFree(row: number, cpu: number, memory: number, accelerators: number): boolean {
        return (this.cpu[row] as number) >= cpu
            && (this.memory[row] as number) >= memory
            && (this.accelerators[row] as number) >= accelerators;
    }

    private insert(row: number, bucket: number): void {
        const rows = this.buckets[bucket] ??= [];
        this.rowPositions[row] = rows.length;
        rows.push(row);
        this.rowBuckets[row] = bucket;
        const maskIndex = bucket >> 5;
        this.memoryMasks[maskIndex] = (this.memoryMasks[maskIndex] as number) | 1 << (bucket & 31);
        this.cpuMasks[maskIndex >> 5] = (this.cpuMasks[maskIndex >> 5] as number) | 1 << (maskIndex & 31);
    }

    private extendColumns(row: number): void {
        const size = Math.max(row + 1, this.rowBuckets.length * 2);
        const bucketOf = new Int32Array(size).fill(-1);
        bucketOf.set(this.rowBuckets);
        this.rowBuckets = bucketOf;
        this.rowPositions = extendColumn(this.rowPositions, size);
        this.cpu = extendColumn(this.cpu, size);
        this.memory = extendColumn(this.memory, size);
        this.accelerators = extendColumn(this.accelerators, size);
    }
}

/** Returns a copy of a column with a larger size; the added elements are 0. */
export function extendColumn(column: Int32Array, size: number): Int32Array<ArrayBuffer> {
    const extended = new Int32Array(size);
    extended.set(column);
    return extended;
}
