/**
 * A bounded log of the newest changes, from which peers get deltas and watches resume.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { StoreChange } from "@waxwingroute/platform";

/** Changes in revision order, complete above `start`. */
export class ChangeLog {
    private changes: StoreChange[] = [];
    private compactedRevision = 0;

    /** @param keptLength Most changes kept. */
    constructor(private readonly keptLength: number) {}

    /** Revision above which the log is complete. */
    get startRevision(): number {
        return this.compactedRevision;
    }

    /** Appends a change whose revision is above all others. */
    append(change: StoreChange): void {
        this.changes.push(change);
        // Trims in batches, so that appending stays cheap on average.
        if (this.changes.length >= 2 * this.keptLength) {
            const removed = this.changes.splice(0, this.changes.length - this.keptLength);
            this.compactedRevision = removed.at(-1)?.revision ?? this.compactedRevision;
        }
    }

    /** Forgets all changes; the log is complete above `revision` from now on. */
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
