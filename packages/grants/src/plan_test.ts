import { toId } from "@waxwingroute/core";
import type { ShardId, TeamId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { emptyBucket, encodeBucket, getBucketNumber, parseBucket } from "./bucket.js";
import type { TeamGrants } from "./bucket.js";
import { buildGrantVector, zeroGrant } from "./grant-vector.js";
import type { GrantVector } from "./grant-vector.js";
import { computeAllowance, createTeamGrants, planGrants } from "./plan.js";
import type { TeamUsage } from "./plan.js";

const [a, b] = ["glasgow/0", "dundee/0"].map(name => toId<ShardId>(name)) as [ShardId, ShardId];
const makeUniformVector = (amount: number): GrantVector => buildGrantVector(() => amount);
const makeLimit = (amount: number, revision = 1) => ({ limit: makeUniformVector(amount), revision });
const makeUsage = (used: number, demand: number, largestWaiting = 1): TeamUsage => ({
    used: makeUniformVector(used),
    demand: makeUniformVector(demand),
    largestWaiting: makeUniformVector(largestWaiting),
});
const getSlots = (teamGrants: TeamGrants, shard: ShardId): number => teamGrants.shards[shard]?.granted.slots ?? 0;

/** Plans for a shard 20 times, after which its plan no longer changes. */
function settle(teamGrants: TeamGrants, shard: ShardId, usage: TeamUsage): TeamGrants {
    let next = teamGrants;
    for (let round = 0; round < 20; round++) {
        next = planGrants(next, shard, undefined, usage);
    }
    return next;
}

describe("planGrants", () => {
    it("requests what a shard needs and returns what it does not use", () => {
        const first = planGrants(createTeamGrants(makeLimit(100)), a, makeLimit(100), makeUsage(0, 80));
        expect(getSlots(first, a)).toEqual(80);
        expect(getSlots(planGrants(first, a, makeLimit(100), makeUsage(10, 0)), a)).toEqual(11);
        expect(planGrants(first, a, makeLimit(100), makeUsage(0, 0)).shards).toEqual({});
    });

    // Guards against two shards that hold parts of the limit, each too small for one task, so that nothing starts.
    it("holds no idle grant that does not fit its largest waiting task", () => {
        const held = planGrants(createTeamGrants(makeLimit(10)), b, makeLimit(10), makeUsage(0, 6, 6));
        expect(getSlots(held, b)).toEqual(6);
        expect(getSlots(planGrants(held, a, makeLimit(10), makeUsage(0, 6, 6)), a)).toEqual(0);
    });

    // Guards against a shard that starves because another shard always has work for the whole limit.
    it("yields an equal share to another shard that wants more", () => {
        const holdsAll = settle(createTeamGrants(makeLimit(100)), a, makeUsage(0, 500));
        expect(getSlots(holdsAll, a)).toEqual(100);
        const wanting = planGrants(holdsAll, b, makeLimit(100), makeUsage(0, 500));
        const yielding = planGrants(wanting, a, makeLimit(100), makeUsage(100, 500));
        expect([getSlots(yielding, a), computeAllowance(yielding, a, undefined).slots]).toEqual([100, 50]);
        const freed = planGrants(yielding, a, makeLimit(100), makeUsage(50, 500));
        expect(getSlots(settle(freed, b, makeUsage(0, 500)), b)).toEqual(50);
    });

    describe("with a lowered limit", () => {
        const initial = planGrants(
            planGrants(createTeamGrants(makeLimit(100)), a, makeLimit(100), makeUsage(60, 0, 1)),
            b,
            makeLimit(100),
            makeUsage(40, 0, 1),
        );
        const settled = settle(settle(initial, a, makeUsage(60, 0)), b, makeUsage(40, 0));

        // Guards against starts above a lowered limit while other shards still run work under the old one.
        it("reduces each shard's grant once and in proportion, but not below its running work", () => {
            expect([getSlots(settled, a), getSlots(settled, b)]).toEqual([60, 40]);
            const lowered = makeLimit(50, 2);
            expect(computeAllowance(settled, a, lowered).slots).toEqual(30);
            expect(computeAllowance(settled, a, lowered, true).slots).toEqual(0);
            // The other shard may still run 40 of the limit of 50, so this one starts nothing above 10.
            const first = planGrants(settled, a, lowered, makeUsage(45, 10));
            expect([getSlots(first, a), computeAllowance(first, a, lowered).slots]).toEqual([45, 10]);
            const second = planGrants(first, b, lowered, makeUsage(3, 10));
            expect([getSlots(second, b), computeAllowance(second, b, lowered).slots]).toEqual([5, 5]);
            const third = planGrants(second, a, lowered, makeUsage(20, 10));
            expect(getSlots(third, a) + getSlots(third, b) <= 50).toEqual(true);
            const last = settle(settle(third, b, makeUsage(3, 30)), a, makeUsage(20, 30));
            expect([getSlots(last, a) + getSlots(last, b), getSlots(last, b) >= 20]).toEqual([50, true]);
        });

        // Guards against a shard with an outdated configuration that raises the limit again.
        it("keeps the newer limit when a shard plans with an older one", () => {
            const lowered = planGrants(settled, a, makeLimit(50, 2), makeUsage(0, 0));
            const planned = settle(planGrants(lowered, b, makeLimit(100, 1), makeUsage(40, 60)), b, makeUsage(40, 60));
            expect(planned.limit.slots).toEqual(50);
            expect(getSlots(planned, b) <= 50).toEqual(true);
        });

        it("allows nothing after the limit was lowered to zero", () => {
            expect(computeAllowance(settled, a, makeLimit(0, 2))).toEqual(zeroGrant);
        });
    });
});

describe("stored buckets", () => {
    // Guards against grants that do not survive the store, teams that share few buckets, and misread newer versions.
    it("are parsed as they were encoded, spread teams over all buckets and refuse another version", () => {
        const bucket = {
            ...emptyBucket,
            teams: { cutting: planGrants(createTeamGrants(makeLimit(9)), a, makeLimit(9), makeUsage(1, 1)) },
        };
        expect(parseBucket("grants/00", encodeBucket(bucket)).unwrap()).toEqual(bucket);
        const numbers = Array.from({ length: 200 }, (_, index) => getBucketNumber(toId<TeamId>(`team-${index}`)));
        expect(new Set(numbers).size).toEqual(16);
        const otherVersion = parseBucket("grants/00", `{"version":2,"epochs":{},"teams":{}}`);
        expect(otherVersion.ok ? "" : otherVersion.val.code).toEqual("grants-unreadable");
    });
});
