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
const limitOf = (amount: number, revision = 1) => ({ limit: makeUniformVector(amount), revision });
const work = (use: number, demand: number, unit = 1): TeamUsage => ({
    used: makeUniformVector(use),
    demand: makeUniformVector(demand),
    largestWaiting: makeUniformVector(unit),
});
const getSlots = (row: TeamGrants, shard: ShardId): number => row.shards[shard]?.granted.slots ?? 0;

/** Plans for a shard until nothing changes. */
function settle(row: TeamGrants, shard: ShardId, teamUse: TeamUsage): TeamGrants {
    let next = row;
    for (let turn = 0; turn < 20; turn++) {
        next = planGrants(next, shard, undefined, teamUse);
    }
    return next;
}

describe("planGrants", () => {
    it("asks for what it needs and returns what is not used", () => {
        const first = planGrants(createTeamGrants(limitOf(100)), a, limitOf(100), work(0, 80));
        expect(getSlots(first, a)).toEqual(80);
        expect(getSlots(planGrants(first, a, limitOf(100), work(10, 0)), a)).toEqual(11);
        expect(planGrants(first, a, limitOf(100), work(0, 0)).shards).toEqual({});
    });

    // Guards against a team whose limit two shards hold in parts that are too small for either.
    it("returns idle parts that do not fit one task", () => {
        const held = planGrants(createTeamGrants(limitOf(10)), b, limitOf(10), work(0, 6, 6));
        expect(getSlots(held, b)).toEqual(6);
        expect(getSlots(planGrants(held, a, limitOf(10), work(0, 6, 6)), a)).toEqual(0);
    });

    // Guards against a shard that starves because another one always has work for the whole limit.
    it("leaves an equal part to a shard that wants more", () => {
        const full = settle(createTeamGrants(limitOf(100)), a, work(0, 500));
        expect(getSlots(full, a)).toEqual(100);
        const wanting = planGrants(full, b, limitOf(100), work(0, 500));
        const yielding = planGrants(wanting, a, limitOf(100), work(100, 500));
        expect([getSlots(yielding, a), computeAllowance(yielding, a, undefined).slots]).toEqual([100, 50]);
        const freed = planGrants(yielding, a, limitOf(100), work(50, 500));
        expect(getSlots(settle(freed, b, work(0, 500)), b)).toEqual(50);
    });

    describe("with a lowered limit", () => {
        const shared = planGrants(
            planGrants(createTeamGrants(limitOf(100)), a, limitOf(100), work(60, 0, 1)),
            b,
            limitOf(100),
            work(40, 0, 1),
        );
        const row = settle(settle(shared, a, work(60, 0)), b, work(40, 0));

        it("reduces each shard's part once, in proportion, and keeps room for running work", () => {
            expect([getSlots(row, a), getSlots(row, b)]).toEqual([60, 40]);
            const lowered = limitOf(50, 2);
            expect(computeAllowance(row, a, lowered).slots).toEqual(30);
            expect(computeAllowance(row, a, lowered, true).slots).toEqual(0);
            // The other shard may still run 40, so that this one starts nothing above 10.
            const first = planGrants(row, a, lowered, work(45, 10));
            expect([getSlots(first, a), computeAllowance(first, a, lowered).slots]).toEqual([45, 10]);
            const second = planGrants(first, b, lowered, work(3, 10));
            expect([getSlots(second, b), computeAllowance(second, b, lowered).slots]).toEqual([5, 5]);
            const third = planGrants(second, a, lowered, work(20, 10));
            expect(getSlots(third, a) + getSlots(third, b) <= 50).toEqual(true);
            const last = settle(settle(third, b, work(3, 30)), a, work(20, 30));
            expect([getSlots(last, a) + getSlots(last, b), getSlots(last, b) >= 20]).toEqual([50, true]);
        });

        it("never goes back to an older limit", () => {
            const lowered = planGrants(row, a, limitOf(50, 2), work(0, 0));
            const stale = settle(planGrants(lowered, b, limitOf(100, 1), work(40, 60)), b, work(40, 60));
            expect(stale.limit.slots).toEqual(50);
            expect(getSlots(stale, b) <= 50).toEqual(true);
        });

        it("allows nothing of a limit of zero", () => {
            expect(computeAllowance(row, a, limitOf(0, 2))).toEqual(zeroGrant);
        });
    });
});

describe("buckets", () => {
    it("round-trips, spreads teams and refuses other versions", () => {
        const bucket = {
            ...emptyBucket,
            teams: { cutting: planGrants(createTeamGrants(limitOf(9)), a, limitOf(9), work(1, 1)) },
        };
        expect(parseBucket("grants/00", encodeBucket(bucket)).unwrap()).toEqual(bucket);
        const numbers = Array.from({ length: 200 }, (_, index) => getBucketNumber(toId<TeamId>(`team-${index}`)));
        expect(new Set(numbers).size).toEqual(16);
        const newer = parseBucket("grants/00", `{"version":2,"epochs":{},"teams":{}}`);
        expect(newer.ok ? "" : newer.val.code).toEqual("grants-unreadable");
    });
});
