/**
 * Several shards over one bucket of a faulty store, with limits that change.
 */
import { ManualClock, SeededRandom, toId } from "@waxwingroute/core";
import type { Failure, Result, ShardId } from "@waxwingroute/core";
import { MemoryStore } from "@waxwingroute/journal/testing";
import type { StoreWrite } from "@waxwingroute/platform";
import { getBucketKey, getBucketNumber, parseBucket } from "../bucket.js";
import { sumGrants } from "../grant-vector.js";
import { makeUniformVector, SimulatedShard, team } from "./simulated-shard.js";

const key = getBucketKey(getBucketNumber(team));

/** Checks after each write that the sum of the grants is at most the limit, or not above the sum before. */
class CheckedStore extends MemoryStore {
    readonly faults: string[] = [];

    override write(write: StoreWrite): Promise<Result<number, Failure>> {
        const before = this.sumTeam().sum;
        const result = super.write(write);
        const { sum, limit } = this.sumTeam();
        if (sum > Math.max(before, limit)) {
            this.faults.push(`grants of ${sum} after ${before}, limit ${limit}`);
        }
        return result;
    }

    private sumTeam(): { readonly sum: number; readonly limit: number; } {
        const value = this.values.get(key)?.value;
        const row = value === undefined ? undefined : parseBucket(key, value).unwrap().teams[team];
        const sum = sumGrants(Object.values(row?.shards ?? {}).map(({ granted }) => granted)).slots;
        return { sum, limit: row?.limit.slots ?? 0 };
    }
}

export class InterleavingSimulation {
    readonly clock = new ManualClock();
    readonly store = new CheckedStore();
    readonly random: SeededRandom;
    readonly shards: SimulatedShard[];
    readonly faults: string[] = [];
    limit = 100;
    revision = 1;
    starts = 0;

    constructor(readonly seed: number) {
        this.random = new SeededRandom(seed);
        this.shards = ["a/0", "b/0", "c/0"].map((name, index) =>
            new SimulatedShard(toId<ShardId>(name), this.store, this.clock, seed * 10 + index)
        );
        this.store.chooseFault = () => {
            const draw = this.random.getFloat();
            return draw < 0.1 ? "lostAnswer" : draw < 0.2 ? "lostCall" : draw < 0.3 ? "down" : "none";
        };
        // Some answers come after several other writes.
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
                this.revision++;
                this.shards.forEach(shard => this.publishLimit(shard));
            }
            await this.clock.advance(300);
            this.checkStarts();
        }
        this.faults.push(...this.store.faults.map(fault => `seed ${this.seed}: ${fault}`));
        this.shards.forEach(shard => shard.driver.close());
    }

    private publishLimit(shard: SimulatedShard): void {
        shard.driver.setLimits(new Map([[team, { limit: makeUniformVector(this.limit), revision: this.revision }]]));
        void shard.driver.open();
    }

    private updateWork(shard: SimulatedShard): void {
        shard.demand = this.random.getInteger(3) === 0 ? this.random.getInteger(80) : shard.demand;
        shard.running -= this.random.getInteger(shard.running + 1) >> this.random.getInteger(4);
    }

    /** All shards know the limit. */
    private checkStarts(): void {
        for (const shard of this.shards) {
            const started = shard.startTasks();
            this.starts += started;
            const total = this.shards.reduce((count, { running }) => count + running, 0);
            if (started > 0 && total > this.limit) {
                this.faults.push(`seed ${this.seed}: ${total} running after a start, limit ${this.limit}`);
            }
        }
    }
}
