/**
 * Executors by their number of free slots, so that the choice of one does not scan the fleet.
 */
import type { ExecutorRow } from "./executor-row.js";

export class FreeSlotIndex {
    /** By number of free slots; each set is in the order in which its executors came to that number. */
    private readonly buckets: Set<ExecutorRow>[] = [];
    private readonly freeSlotsByRow = new Map<ExecutorRow, number>();

    /** Moves an executor to the place of its present number of free slots. */
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

    /** Returns the first executor that `accept` takes, from most to fewest free slots; those without any are left out. */
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
