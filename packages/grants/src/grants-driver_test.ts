import { ManualClock, toId } from "@waxwingroute/core";
import type { ShardId } from "@waxwingroute/core";
import { MemoryStore } from "@waxwingroute/journal/testing";
import { expect } from "earl";
import { describe, it } from "node:test";
import { zeroGrant } from "./grant-vector.js";
import { reclaimGrants } from "./reclaim.js";
import { InterleavingSimulation } from "./testing/interleaving-simulation.js";
import { makeUniformVector, SimulatedShard, team } from "./testing/simulated-shard.js";

describe("GrantsDriver with several shards on one bucket", () => {
    // Guards against a team that runs more than its limit because of lost responses, races or a lowered limit.
    it("never starts work above the limit of the team", async t => {
        const violations: string[] = [];
        let startCount = 0;
        for (let seed = 1; seed <= 40; seed++) {
            const simulation = new InterleavingSimulation(seed);
            await simulation.run();
            violations.push(...simulation.violations.slice(0, 1));
            startCount += simulation.startCount;
        }
        t.diagnostic(`result: 40 runs, ${startCount} starts, ${violations.length} runs with a violation`);
        expect(violations.join("\n")).toEqual("");
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

    // Guards against a store that is overloaded by a write for each change of work, or by writes that change nothing.
    it("writes a bucket at most once every 2 s, and not at all while nothing changes", async () => {
        const { clock, store, shards: [a] } = await createShards();
        a.demand = 100;
        await clock.advance(10_000);
        const { writeCount } = store;
        expect(writeCount <= 6).toEqual(true);
        expect(a.driver.getGrant(team).slots).toEqual(100);
        await clock.advance(20_000);
        expect(store.writeCount).toEqual(writeCount);
    });

    // Guards against writes that conflict without end, and against shards that never notice that others want more.
    it("grants a part of the limit to each of 12 shards that request it at the same time", async () => {
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

    // Guards against a shard that stops its work, or starts more of it, because it cannot reach the store.
    it("keeps its grant without raising it while the store does not respond", async () => {
        const { clock, store, shards: [a] } = await createShards();
        a.demand = 20;
        await clock.advance(10_000);
        store.chooseFault = () => "lostCall";
        a.demand = 60;
        await clock.advance(20_000);
        expect(a.driver.getGrant(team).slots).toEqual(20);
    });

    // Guards against two owners of one shard that both start work on the same grant.
    it("allows nothing after a later owner of its shard has written", async () => {
        const { clock, store, shards: [a] } = await createShards();
        a.demand = 20;
        await clock.advance(10_000);
        const successor = new SimulatedShard(a.name, store, clock, 9, 2);
        expect((await successor.driver.open()).ok).toEqual(true);
        expect(successor.driver.getGrant(team).slots).toEqual(20);
        a.demand = 0;
        await clock.advance(20_000);
        expect(a.driver.getGrant(team)).toEqual(zeroGrant);
        successor.driver.close();
    });

    // Guards against grants of a shard that may still run work, but are given to other shards.
    it("leaves the grants of a closed shard to others only after reclaimGrants", async () => {
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
