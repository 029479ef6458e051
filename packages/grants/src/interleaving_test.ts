import { ManualClock, SeededRandom, toId } from "@waxwingroute/core";
import type { Failure, Result, ShardId, TeamId } from "@waxwingroute/core";
import { MemoryStore } from "@waxwingroute/journal/testing";
import type { StoreWrite } from "@waxwingroute/platform";
import { expect } from "earl";
import { describe, it } from "node:test";
import { getBucketKey, getBucketNumber, parseBucket } from "./bucket.js";
import { fitsGrant, mapGrant, sumGrants, zeroGrant } from "./grant-vector.js";
import type { GrantVector } from "./grant-vector.js";
import { GrantsDriver } from "./grants-driver.js";
import type { TeamUse } from "./plan.js";
import { reclaimGrants } from "./reclaim.js";

const team = toId<TeamId>("cutting");
const key = getBucketKey(getBucketNumber(team));
const all = (amount: number): GrantVector => mapGrant(() => amount);

/** A shard that starts whatever its grant allows and ends tasks at random. */
class SimulatedShard {
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
            loweredWaitMs: 60_000,
            listUse: () => new Map([[team, this.describeUse()]]),
        });
    }

    describeUse(): TeamUse {
        return { use: all(this.running), demand: all(this.demand), unit: all(this.demand > 0 ? 1 : 0) };
    }

    /** Starts what fits and returns how much that is. */
    startTasks(): number {
        const grant = this.driver.getGrant(team);
        let started = 0;
        while (this.demand > 0 && fitsGrant(all(this.running + 1), grant)) {
            this.running++;
            this.demand--;
            started++;
        }
        return started;
    }
}

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

class Interleaving {
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
        this.store.waitBeforeAnswer = () =>
            this.clock.wait(this.random.getInteger(this.random.getInteger(4) === 0 ? 8_000 : 400));
    }

    async run(): Promise<void> {
        this.shards.forEach(shard => this.publishLimit(shard));
        for (let step = 0; step < 120; step++) {
            for (const shard of this.shards) {
                this.changeWork(shard);
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
        shard.driver.setLimits(new Map([[team, { limit: all(this.limit), revision: this.revision }]]));
        void shard.driver.open();
    }

    private changeWork(shard: SimulatedShard): void {
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

describe("several shards over one bucket", () => {
    // Guards against a team that runs more than its limit because of lost answers, races or a lowered limit.
    it("never start work above the limit", async t => {
        const faults: string[] = [];
        let starts = 0;
        for (let seed = 1; seed <= 40; seed++) {
            const run = new Interleaving(seed);
            await run.run();
            faults.push(...run.faults.slice(0, 1));
            starts += run.starts;
        }
        t.diagnostic(`result: 40 runs, ${starts} starts, ${faults.length} runs with a fault`);
        expect(faults.join("\n")).toEqual("");
    });
});

describe("GrantsDriver", () => {
    async function createShards() {
        const clock = new ManualClock();
        const store = new MemoryStore();
        const shards = ["a/0", "b/0"].map((name, index) =>
            new SimulatedShard(toId<ShardId>(name), store, clock, index + 1)
        ) as [SimulatedShard, SimulatedShard];
        for (const { driver } of shards) {
            driver.setLimits(new Map([[team, { limit: all(100), revision: 1 }]]));
            expect((await driver.open()).ok).toEqual(true);
        }
        return { clock, store, shards };
    }

    it("writes a bucket at most once in 2 s, and not at all while nothing changes", async () => {
        const { clock, store, shards: [a] } = await createShards();
        a.demand = 100;
        await clock.advance(10_000);
        const { writeCount } = store;
        expect(writeCount <= 6).toEqual(true);
        expect(a.driver.getGrant(team).slots).toEqual(100);
        await clock.advance(20_000);
        expect(store.writeCount).toEqual(writeCount);
    });

    it("keeps its grant and gets no more while the store is down", async () => {
        const { clock, store, shards: [a] } = await createShards();
        a.demand = 20;
        await clock.advance(10_000);
        store.chooseFault = () => "lostCall";
        a.demand = 60;
        await clock.advance(20_000);
        expect(a.driver.getGrant(team).slots).toEqual(20);
    });

    it("is fenced by a later owner of its shard", async () => {
        const { clock, store, shards: [a] } = await createShards();
        a.demand = 20;
        await clock.advance(10_000);
        const next = new SimulatedShard(a.name, store, clock, 9, 2);
        expect((await next.driver.open()).ok).toEqual(true);
        expect(next.driver.getGrant(team).slots).toEqual(20);
        a.demand = 0;
        await clock.advance(20_000);
        expect(a.driver.getGrant(team)).toEqual(zeroGrant);
        next.driver.close();
    });

    it("returns the grants of an ended shard only on reclaim", async () => {
        const { clock, store, shards: [a, b] } = await createShards();
        a.demand = 100;
        await clock.advance(20_000);
        a.driver.close();
        b.demand = 50;
        await clock.advance(20_000);
        expect(b.driver.getGrant(team).slots).toEqual(0);
        expect((await reclaimGrants(store, a.name)).unwrap()).toEqual(1);
        await clock.advance(20_000);
        expect(b.driver.getGrant(team).slots).toEqual(50);
    });
});
