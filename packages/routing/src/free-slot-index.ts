/**
 * Executors by their number of free slots, so that the choice of one does not scan the fleet.
 */
import type { ExecutorRow } from "./executor-row.js";

export class FreeSlotIndex {
    /** By number of free slots; each set is in the order in which its executors came to that number. */
    private readonly buckets: Set<ExecutorRow>[] = [];
    private readonly positions = new Map<ExecutorRow, number>();

    /** Moves an executor to the place of its present number of free slots. */
    update(row: ExecutorRow): void {
        const free = Math.max(0, row.freeSlots);
        const earlier = this.positions.get(row);
        if (earlier === free) {
            return;
        }
        if (earlier !== undefined) {
            this.buckets[earlier]!.delete(row);
        }
        while (this.buckets.length <= free) {
            this.buckets.push(new Set());
        }
        this.buckets[free]!.add(row);
        this.positions.set(row, free);
    }

    remove(row: ExecutorRow): void {
        const earlier = this.positions.get(row);
        if (earlier !== undefined) {
            this.buckets[earlier]!.delete(row);
            this.positions.delete(row);
        }
    }

    /** Returns the first executor that `accept` takes, from most to fewest free slots; those without any are left out. */
    find(accept: (row: ExecutorRow) => boolean): ExecutorRow | undefined {
        for (let free = this.buckets.length - 1; free > 0; free--) {
            for (const row of this.buckets[free]!) {
                if (accept(row)) {
                    return row;
                }
            }
        }
        return undefined;
    }
}
