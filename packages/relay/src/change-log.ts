/**
 * A bounded log of the newest changes. Peers get deltas from it, and watches resume from it.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { StoreChange } from "@waxwingroute/platform";

/** Changes in revision order; none above `startRevision` is missing. */
export class ChangeLog {
    private changes: StoreChange[] = [];
    private compactedRevision = 0;

    /** @param keptLength Newest changes that a trim keeps; the log is trimmed when it holds twice as many. */
    constructor(private readonly keptLength: number) {}

    /** Revision above which the log is complete. */
    get startRevision(): number {
        return this.compactedRevision;
    }

    /** Appends a change. Its revision must be above all others in the log. */
    append(change: StoreChange): void {
        this.changes.push(change);
        // Trimming in batches keeps the average cost of an append low.
        if (this.changes.length >= 2 * this.keptLength) {
            const removed = this.changes.splice(0, this.changes.length - this.keptLength);
            this.compactedRevision = removed.at(-1)?.revision ?? this.compactedRevision;
        }
    }

    /** Removes all changes. From now on the log is complete above `revision`. */
    reset(revision: number): void {
        this.changes = [];
        this.compactedRevision = revision;
    }

    /** Lists the changes above `revision`. Failure: `revision-compacted` (`notRun`). */
    list(revision: number): Result<readonly StoreChange[], Failure> {
        if (revision < this.compactedRevision) {
            const message = `revision ${revision} is older than ${this.compactedRevision}, the oldest that is kept: `
                + "list again and continue from the revision of the list";
            return Err(createFailure("revision-compacted", message, "notRun"));
        }
        return Ok(this.changes.slice(this.findIndexAbove(revision)));
    }

    private findIndexAbove(revision: number): number {
        let low = 0;
        let high = this.changes.length;
        while (low < high) {
            const middle = Math.floor((low + high) / 2);
            if ((this.changes[middle]?.revision ?? 0) > revision) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    }
}
