/**
 * The executors of the roster of earlier owners that have answered this owner, and so refuse the orders of those.
 *
 * Each entry of the roster has the epoch of the owner that added it, and none is removed while an earlier owner may
 * still send orders. So the entries up to the epoch of an owner are the roster on which that owner depends.
 */
import type { Clock, ExecutorId } from "@waxwingroute/core";
import type { RosterEntry } from "./store-keys.js";

/** Tracks when more than half of an earlier owner's executors were lost to it. */
export class FencedExecutors {
    private readonly fencedAt = new Map<ExecutorId, number>();
    private readonly majorityTimes = new Map<number, number>();
    private roster: readonly RosterEntry[] = [];

    constructor(private readonly clock: Clock) {}

    /** Sets the roster that the earlier owners have left. */
    adoptRoster(roster: readonly RosterEntry[]): void {
        this.roster = roster;
    }

    /** Records that the executor has answered this owner, or that the life that earlier owners knew is over. */
    record(executor: ExecutorId): void {
        if (!this.fencedAt.has(executor)) {
            this.fencedAt.set(executor, this.clock.getNow());
        }
    }

    /**
     * Returns the time from which more than half of the executors on which the owner of an epoch depends refuse its
     * orders; `undefined` if they are fewer.
     */
    findMajorityTime(epoch: number): number | undefined {
        const known = this.majorityTimes.get(epoch);
        if (known !== undefined) {
            return known;
        }
        const voters = this.roster.filter(({ addedIn = 0 }) => addedIn <= epoch);
        const times = voters.map(({ executor }) => this.fencedAt.get(executor)).filter(time => time !== undefined);
        const majority = Math.floor(voters.length / 2) + 1;
        if (times.length < majority) {
            return undefined;
        }
        const majorityTime = times.sort((first, second) => first - second)[majority - 1]!;
        this.majorityTimes.set(epoch, majorityTime);
        return majorityTime;
    }
}
