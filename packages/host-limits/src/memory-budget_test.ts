import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { MemoryBudget } from "./memory-budget.js";

const megabyte = 1_000_000;

describe("MemoryBudget", () => {
    let clock: ManualClock;
    let residentMb: number;
    let usedMb: number;
    /** Memory that a collection frees, MB. */
    let garbageMb: number;
    let budget: MemoryBudget;

    beforeEach(() => {
        clock = new ManualClock();
        residentMb = 30;
        usedMb = 10;
        garbageMb = 0;
        budget = new MemoryBudget({
            maxBytes: 100 * megabyte,
            clock,
            // 20 MB of code and stacks.
            readUsage: () => ({
                residentBytes: residentMb * megabyte,
                reservedBytes: usedMb * megabyte,
                usedBytes: usedMb * megabyte,
            }),
            collectGarbage: () => {
                residentMb -= garbageMb;
                usedMb -= garbageMb;
                garbageMb = 0;
            },
        });
    });

    describe("allows", () => {
        // Guards against a host that refuses everything when it could still tell callers of their jobs.
        it("refuses submissions before other calls", async () => {
            const decide = async (memoryMb: number) => {
                residentMb = memoryMb;
                usedMb = memoryMb - 20;
                await clock.advance(100);
                return [budget.allows("submission"), budget.allows("other")];
            };
            expect(await decide(79)).toEqual([true, true]);
            expect(await decide(80)).toEqual([false, true]);
            expect(await decide(95)).toEqual([false, false]);
            expect(await decide(50)).toEqual([true, true]);
        });

        // Guards against a host that refuses jobs for good after a burst, since the allocator keeps what was freed.
        it("accepts submissions while the resident memory is high and little of it is in use", async () => {
            residentMb = 85;
            usedMb = 30;
            await clock.advance(100);
            expect(budget.allows("submission")).toEqual(true);
            residentMb = 90;
            await clock.advance(100);
            expect([budget.allows("submission"), budget.allows("other")]).toEqual([false, true]);
        });
    });

    describe("a heap that fills with garbage inside memory that it already has", () => {
        // Guards against a host that refuses jobs, and leaves the load balancer, for garbage that nobody collects.
        it("is collected before submissions are refused for it", async () => {
            residentMb = 82;
            usedMb = 35;
            await clock.advance(100);
            expect([budget.allows("submission"), budget.collections]).toEqual([true, 1]);
            usedMb = 55;
            garbageMb = 20;
            await clock.advance(60_000);
            budget.allows("submission");
            await clock.advance(60_000);
            expect([budget.allows("submission"), budget.collections]).toEqual([true, 2]);
        });
    });

    describe("getResidentBytes", () => {
        // Guards against a process that ends at the platform's limit while V8 sees no need to collect.
        it("collects garbage before anything is refused", async () => {
            residentMb = 85;
            usedMb = 65;
            garbageMb = 40;
            await clock.advance(100);
            expect([budget.allows("submission"), budget.getResidentBytes()]).toEqual([true, 45 * megabyte]);
            expect(budget.collections).toEqual(1);
        });

        // Guards against a host with much memory in use that spends its time on collections.
        it("collects again only when the memory has grown, and at most every two seconds", async () => {
            const measure = async (memoryMb: number, afterMs: number) => {
                residentMb = memoryMb;
                await clock.advance(afterMs);
                budget.getResidentBytes();
                return budget.collections;
            };
            expect(await measure(72, 100)).toEqual(1);
            expect(await measure(76, 5_000)).toEqual(1);
            expect(await measure(78, 100)).toEqual(2);
            expect(await measure(88, 1_900)).toEqual(2);
            expect(await measure(88, 100)).toEqual(3);
        });
    });

    describe("bodies", () => {
        // Guards against bodies that take the memory of the rest of the process.
        it("get an eighth of the memory", () => {
            expect(budget.bodies.tryReserve(12.5 * megabyte)).toEqual(true);
            expect(budget.bodies.tryReserve(1)).toEqual(false);
            budget.bodies.release(1);
            expect(budget.bodies.tryReserve(1)).toEqual(true);
        });
    });
});
