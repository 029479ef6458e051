/**
 * Whether most executors still obey this owner, which decides how it goes on without a valid lease.
 *
 * An executor that has answered a successor refuses the orders of this owner by their fencing token, for as long as it
 * lives. So an owner whose lease may have expired sends orders only while more than half of the executors of the stored
 * roster have answered it within `quorumAnswerMs`. A successor that more than half of the same executors have answered
 * knows that this ends within that time; see `FencedExecutors` and docs/platform.md, "How long an owner acts".
 */
import type { Clock, ExecutorId } from "@waxwingroute/core";
import type { ClockReading } from "./lease-clock.js";
import { computeAge } from "./lease-clock.js";

/** Age up to which the answer of an executor counts, from the sending of the request, ms. */
export const quorumAnswerMs = 1_000;

/** The answers of the executors to one owner. */
export class ExecutorQuorum {
    /** When the last answered request to an executor was sent. */
    private readonly answers = new Map<ExecutorId, ClockReading>();
    private rosters: readonly (readonly ExecutorId[])[] | undefined;

    constructor(private readonly clock: Clock) {}

    /** Sets the rosters of which any one can be the stored one, because the answer to a write is outstanding. */
    setStoredRosters(rosters: readonly (readonly ExecutorId[])[]): void {
        this.rosters = rosters;
    }

    /**
     * Records an answer to this owner. The executor must have answered it in the same life while the lease was valid: one
     * that has restarted since may have forgotten the token of a successor.
     */
    recordAnswer(executor: ExecutorId, sentAt: ClockReading): void {
        const last = this.answers.get(executor);
        if (last === undefined || sentAt.now > last.now) {
            this.answers.set(executor, sentAt);
        }
    }

    /** Whether more than half of the executors of the stored roster have answered recently. */
    get isHeld(): boolean {
        return this.rosters?.every(roster => this.hasMajority(roster)) ?? false;
    }

    private hasMajority(roster: readonly ExecutorId[]): boolean {
        let missing = Math.floor(roster.length / 2) + 1;
        for (const executor of roster) {
            const sentAt = this.answers.get(executor);
            if (sentAt !== undefined && computeAge(this.clock, sentAt) < quorumAnswerMs) {
                missing -= 1;
                if (missing === 0) {
                    return true;
                }
            }
        }
        // Without executors in the roster nothing can be started.
        return roster.length === 0;
    }
}
