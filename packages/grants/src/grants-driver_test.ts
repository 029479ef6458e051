import { ManualClock, toId } from "@waxwingroute/core";
import type { ShardId } from "@waxwingroute/core";
import { MemoryStore } from "@waxwingroute/journal/testing";
import { expect } from "earl";
import { describe, it } from "node:test";
import { zeroGrant } from "./grant-vector.js";
import { reclaimGrants } from "./reclaim.js";
import { InterleavingSimulation } from "./testing/interleaving-simulation.js";
import { makeUniformVector, SimulatedShard, team } from "./testing/simulated-shard.js";

describe("several shards over one bucket", () => {
    // Guards against a team that runs more than its limit because of lost answers, races or a lowered limit.
    it("never start work above the limit", async t => {
        const faults: string[] = [];
        let starts = 0;
        for (let seed = 1; seed <= 40; seed++) {
            const run = new InterleavingSimulation(seed);
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
            driver.setLimits(new Map([[team, { limit: makeUniformVector(100), revision: 1 }]]));
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

    // Guards against writes that conflict again and again, and against holders that never notice who wants more.
    it("gives a part to each of 12 shards that ask at the same time", async () => {
        const clock = new ManualClock();
        const store = new MemoryStore();
        store.waitBeforeResponse = () => clock.wait(5);
        const shards = Array.from(
            { length: 12 },
            (_, index) => new SimulatedShard(toId<ShardId>(`zone-${index}/0`), store, clock, index),
        );
        for (const shard of shards) {
            shard.demand = 50;
            shard.driver.setLimits(new Map([[team, { limit: makeUniformVector(240), revision: 1 }]]));
            void shard.driver.open();
        }
        await clock.advance(20_000);
        const grants = shards.map(({ driver }) => driver.getGrant(team).slots);
        expect(Math.min(...grants) > 0).toEqual(true);
        expect(grants.reduce((sum, grant) => sum + grant, 0) <= 240).toEqual(true);
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
