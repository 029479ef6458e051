/**
 * The waiting requests of one team for one queue, earliest deadline first.
 */
import type { QueueId } from "@waxwingroute/core";
import type { PendingRequest } from "./pending-request.js";

/** A sorted array: the limit on waiting requests keeps it short, and a position tells how many requests are ahead. */
export class DeadlineQueue {
    /** Latest deadline first, so that the earliest is taken from the end without moving the others. */
    private readonly requests: PendingRequest[] = [];

    constructor(readonly queue: QueueId) {}

    get size(): number {
        return this.requests.length;
    }

    /** Returns the request that is `position` places behind the first. */
    get(position: number): PendingRequest | undefined {
        return this.requests[this.requests.length - 1 - position];
    }

    /** Returns how many requests are ahead of a new one with this deadline. */
    countAhead(deadline: number): number {
        return this.requests.length - this.findIndex(deadline);
    }

    insert(pending: PendingRequest): void {
        this.requests.splice(this.findIndex(pending.deadline), 0, pending);
    }

    /** Removes a request and returns whether it was there. */
    remove(pending: PendingRequest): boolean {
        if (this.requests[this.requests.length - 1] === pending) {
            this.requests.pop();
            return true;
        }
        const index = this.requests.indexOf(pending);
        if (index >= 0) {
            this.requests.splice(index, 1);
        }
        return index >= 0;
    }

    /** Returns the first index whose deadline is at most `deadline`; equal deadlines keep their order of arrival. */
    private findIndex(deadline: number): number {
        let low = 0;
        let high = this.requests.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.requests[middle]!.deadline > deadline) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
