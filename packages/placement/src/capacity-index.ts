/**
 * Index of workers by class of free capacity.
 *
 * A class is a range of free accelerators, processors and memory. Bit sets mark the classes that contain workers, so
 * the cost of a search depends on the number of classes and not on the number of workers.
 */

const levelCount = 32;
const acceleratorLevelCount = 16;
// Amounts below 64 millis or mebibytes share level 0; with two levels per power of two, 31 levels reach 2^21.
const smallestAmount = 64;
const levelOffset = 11;
// Bounds the cost of a search through workers of the lowest class that may fit; higher classes need no check.
const maxRejectedRows = 96;

/** Returns the level of an amount: larger amounts never have a smaller level. */
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

/** Returns the mask of all bits from `level` up. */
function makeMaskFrom(level: number): number {
    return level >= 32 ? 0 : -1 << level;
}

/** The workers that may get new tasks, by free capacity. Workers are table rows. */
export class CapacityIndex {
    /** Workers that the last search looked at and that did not fit. */
    rejectedCount = 0;
    private readonly buckets: (number[] | undefined)[] = new Array<number[] | undefined>(
        acceleratorLevelCount * levelCount * levelCount,
    );
    private readonly cursors = new Uint32Array(acceleratorLevelCount * levelCount * levelCount);
    private readonly memoryMasks = new Int32Array(acceleratorLevelCount * levelCount);
    private readonly cpuMasks = new Int32Array(acceleratorLevelCount);
    private rowBuckets = new Int32Array(64).fill(-1);
    private rowPositions = new Int32Array(64);
    private cpu = new Int32Array(64);
    private memory = new Int32Array(64);
    private accelerators = new Int32Array(64);

    /** Sets the free capacity of a worker; a worker with a negative amount is left out of the index. */
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

    /** Takes a worker out of the index. */
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
            const line = bucket >> 5;
            this.memoryMasks[line] = (this.memoryMasks[line] as number) & ~(1 << (bucket & 31));
            if (this.memoryMasks[line] === 0) {
                const level = line >> 5;
                this.cpuMasks[level] = (this.cpuMasks[level] as number) & ~(1 << (line & 31));
            }
        }
    }

    hasRow(row: number): boolean {
        return row < this.rowBuckets.length && (this.rowBuckets[row] as number) >= 0;
    }

    /** Returns whether an indexed worker has at least this much free. */
    fitsRow(row: number, cpu: number, memory: number, accelerators: number): boolean {
        return this.hasRow(row) && this.hasFree(row, cpu, memory, accelerators);
    }

    /** Returns a worker in the lowest class that fits, or -1. */
    findBestFit(cpu: number, memory: number, accelerators: number): number {
        this.rejectedCount = 0;
        const cpuLevel = computeLevel(cpu);
        const memoryMask = makeMaskFrom(computeLevel(memory));
        const firstLevel = Math.min(acceleratorLevelCount - 1, accelerators);
        for (let level = firstLevel; level < acceleratorLevelCount; level++) {
            let cpuMask = (this.cpuMasks[level] as number) & makeMaskFrom(cpuLevel);
            while (cpuMask !== 0) {
                const line = level * levelCount + getLowestBit(cpuMask);
                cpuMask &= cpuMask - 1;
                let mask = (this.memoryMasks[line] as number) & memoryMask;
                while (mask !== 0) {
                    const row = this.findInBucket(line * levelCount + getLowestBit(mask), cpu, memory, accelerators);
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
     * Looks through a class from a moving start, so that repeated searches reach every worker although each is bounded.
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
                // Past the bound, one worker of each further class is still checked: it fits in all but the lowest ones.
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
        const line = bucket >> 5;
        this.memoryMasks[line] = (this.memoryMasks[line] as number) | 1 << (bucket & 31);
        this.cpuMasks[line >> 5] = (this.cpuMasks[line >> 5] as number) | 1 << (line & 31);
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

/** Returns a longer copy of a column; new cells are 0. */
export function extendColumn(column: Int32Array, size: number): Int32Array<ArrayBuffer> {
    const extended = new Int32Array(size);
    extended.set(column);
    return extended;
}
