/**
 * Simulates several shards that share one bucket of a faulty store while the limit of their team changes.
 */
import { ManualClock, SeededRandom, toId } from "@waxwingroute/core";
import type { Failure, Result, ShardId } from "@waxwingroute/core";
import { MemoryStore } from "@waxwingroute/journal/testing";
import type { StoreWrite } from "@waxwingroute/platform";
import { getBucketKey, getBucketNumber, parseBucket } from "../bucket.js";
import { sumGrants } from "../grant-vector.js";
import { makeUniformVector, SimulatedShard, team } from "./simulated-shard.js";

const key = getBucketKey(getBucketNumber(team));

/**
 * Checks after each write that the sum of the grants is at most the limit, or no larger than before the write. The base
 * class changes the value before it waits, so that the check sees the effect of this write alone.
 */
class CheckedStore extends MemoryStore {
    readonly violations: string[] = [];

    override write(write: StoreWrite): Promise<Result<number, Failure>> {
        const sumBefore = this.sumTeamGrants().sum;
        const result = super.write(write);
        const { sum, limit } = this.sumTeamGrants();
        if (sum > Math.max(sumBefore, limit)) {
            this.violations.push(`a write raised the grants from ${sumBefore} to ${sum} slots, limit ${limit}`);
        }
        return result;
    }

    private sumTeamGrants(): { readonly sum: number; readonly limit: number; } {
        const value = this.values.get(key)?.value;
        const grants = value === undefined ? undefined : parseBucket(key, value).unwrap().teams[team];
        const sum = sumGrants(Object.values(grants?.shards ?? {}).map(({ granted }) => granted)).slots;
        return { sum, limit: grants?.limit.slots ?? 0 };
    }
}

/** One simulated run; the seed decides all faults, delays, limits and work. */
export class InterleavingSimulation {
    readonly clock = new ManualClock();
    readonly store = new CheckedStore();
    readonly random: SeededRandom;
    readonly shards: SimulatedShard[];
    /** What went against the limit. */
    readonly violations: string[] = [];
    limit = 100;
    limitRevision = 1;
    startCount = 0;

    constructor(readonly seed: number) {
        this.random = new SeededRandom(seed);
        this.shards = ["a/0", "b/0", "c/0"].map((name, index) =>
            new SimulatedShard(toId<ShardId>(name), this.store, this.clock, seed * 10 + index)
        );
        this.store.chooseFault = () => {
            const sample = this.random.getFloat();
            return sample < 0.1 ? "lostAnswer" : sample < 0.2 ? "lostCall" : sample < 0.3 ? "down" : "none";
        };
        // A quarter of the responses can be so late that several other writes take effect before them.
        this.store.waitBeforeResponse = () =>
            this.clock.wait(this.random.getInteger(this.random.getInteger(4) === 0 ? 8_000 : 400));
    }

    async run(): Promise<void> {
        this.shards.forEach(shard => this.publishLimit(shard));
        for (let step = 0; step < 120; step++) {
            for (const shard of this.shards) {
                this.updateWork(shard);
            }
            if (this.random.getInteger(20) === 0) {
                this.limit = this.random.getInteger(150);
                this.limitRevision++;
                this.shards.forEach(shard => this.publishLimit(shard));
            }
            await this.clock.advance(300);
            this.checkStarts();
        }
        this.violations.push(...this.store.violations.map(violation => `seed ${this.seed}: ${violation}`));
        this.shards.forEach(shard => shard.driver.close());
    }

    private publishLimit(shard: SimulatedShard): void {
        shard.driver.setLimits(
            new Map([[team, { limit: makeUniformVector(this.limit), revision: this.limitRevision }]]),
        );
        void shard.driver.open();
    }

    /** Sometimes changes the shard's waiting work, and ends a part of its running work. */
    private updateWork(shard: SimulatedShard): void {
        shard.demand = this.random.getInteger(3) === 0 ? this.random.getInteger(80) : shard.demand;
        shard.running -= this.random.getInteger(shard.running + 1) >> this.random.getInteger(4);
    }

    /** Starts work and checks that no start exceeds the limit, which all shards know at this time. */
    private checkStarts(): void {
        for (const shard of this.shards) {
            const started = shard.startTasks();
            this.startCount += started;
            const totalRunning = this.shards.reduce((count, { running }) => count + running, 0);
            if (started > 0 && totalRunning > this.limit) {
                this.violations.push(
                    `seed ${this.seed}: ${totalRunning} tasks run after a start, limit ${this.limit}`,
                );
            }
        }
    }
}
