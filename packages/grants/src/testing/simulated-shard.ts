/**
 * A shard with work of one team, for tests of grants.
 */
import { SeededRandom, toId } from "@waxwingroute/core";
import type { ManualClock, ShardId, TeamId } from "@waxwingroute/core";
import type { MemoryStore } from "@waxwingroute/journal/testing";
import { buildGrantVector, fitsGrant } from "../grant-vector.js";
import type { GrantVector } from "../grant-vector.js";
import { GrantsDriver } from "../grants-driver.js";
import type { TeamUsage } from "../plan.js";

export const team = toId<TeamId>("cutting");
/** Returns a vector with the same amount in each field. */
export const makeUniformVector = (amount: number): GrantVector => buildGrantVector(() => amount);

/** A shard that starts whatever its grant allows. The test sets its waiting work and ends its running work. */
export class SimulatedShard {
    running = 0;
    demand = 0;
    driver: GrantsDriver;

    constructor(
        readonly name: ShardId,
        readonly store: MemoryStore,
        readonly clock: ManualClock,
        seed: number,
        epoch = 1,
    ) {
        this.driver = new GrantsDriver({
            shard: name,
            epoch,
            store,
            clock,
            random: new SeededRandom(seed),
            // Longer than a simulated run: with the share that follows this wait, a start can exceed the lowered limit.
            loweredLimitWaitMs: 60_000,
            listUsage: () => new Map([[team, this.describeUsage()]]),
        });
    }

    describeUsage(): TeamUsage {
        return {
            used: makeUniformVector(this.running),
            demand: makeUniformVector(this.demand),
            largestWaiting: makeUniformVector(this.demand > 0 ? 1 : 0),
        };
    }

    /** Starts as many waiting tasks as the grant fits and returns their number. */
    startTasks(): number {
        const grant = this.driver.getGrant(team);
        let started = 0;
        while (this.demand > 0 && fitsGrant(makeUniformVector(this.running + 1), grant)) {
            this.running++;
            this.demand--;
            started++;
        }
        return started;
    }
}
