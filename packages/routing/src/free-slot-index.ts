/**
 * Executors by their number of free slots, so that choosing one does not scan all of them.
 */
import type { ExecutorRow } from "./executor-row.js";

/** Finds executors with many free slots. */
export class FreeSlotIndex {
    /** By number of free slots; each set is in the order in which its executors reached that number. */
    private readonly buckets: Set<ExecutorRow>[] = [];
    private readonly freeSlotsByRow = new Map<ExecutorRow, number>();

    /** Adds an executor, or moves it to the bucket of its current number of free slots. */
    update(row: ExecutorRow): void {
        const freeSlots = Math.max(0, row.freeSlots);
        const previous = this.freeSlotsByRow.get(row);
        if (previous === freeSlots) {
            return;
        }
        if (previous !== undefined) {
            this.buckets[previous]!.delete(row);
        }
        while (this.buckets.length <= freeSlots) {
            this.buckets.push(new Set());
        }
        this.buckets[freeSlots]!.add(row);
        this.freeSlotsByRow.set(row, freeSlots);
    }

    remove(row: ExecutorRow): void {
        const previous = this.freeSlotsByRow.get(row);
        if (previous !== undefined) {
            this.buckets[previous]!.delete(row);
            this.freeSlotsByRow.delete(row);
        }
    }

    /**
     * Returns the first executor that `accept` accepts, from most to fewest free slots; those without any are skipped.
     */
    find(accept: (row: ExecutorRow) => boolean): ExecutorRow | undefined {
        for (let freeSlots = this.buckets.length - 1; freeSlots > 0; freeSlots--) {
            for (const row of this.buckets[freeSlots]!) {
                if (accept(row)) {
                    return row;
                }
            }
        }
        return undefined;
    }
}
