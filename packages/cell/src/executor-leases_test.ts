import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecutorLeases } from "./executor-leases.js";

/** `earlierOrdersEndAt` of the first owner of a cell. */
const noEarlierOrders = -Infinity;

function createLeases(): { readonly clock: ManualClock; readonly leases: ExecutorLeases; } {
    const clock = new ManualClock(1_000);
    const leases = new ExecutorLeases({ clock, maxLeaseMs: 4_500, longestLeaseMs: 6_000 });
    leases.recordClock(50_000);
    leases.extend();
    return { clock, leases };
}

describe("ExecutorLeases", () => {
    it("have expired after the longest lease that was requested", async () => {
        const { clock, leases } = createLeases();
        await clock.advance(4_500);
        expect(leases.hasExpired(noEarlierOrders)).toEqual(false);
        await clock.advance(400);
        expect(leases.hasExpired(noEarlierOrders)).toEqual(true);
    });

    describe("of an executor that may have restarted", () => {
        // Guards against a second run beside the first: a restarted executor takes a lease end of its earlier clock for
        // one that is far ahead, and grants its longest lease.
        it("last as long as the executor can grant", async () => {
            const { clock, leases } = createLeases();
            leases.recordPossibleRestart();
            await clock.advance(6_200);
            expect(leases.hasExpired(noEarlierOrders)).toEqual(false);
            await clock.advance(400);
            expect(leases.hasExpired(noEarlierOrders)).toEqual(true);
        });

        it("last as requested once it has listed its runs and had not restarted", async () => {
            const { clock, leases } = createLeases();
            leases.recordPossibleRestart();
            leases.recordSameIncarnation();
            await clock.advance(4_900);
            expect(leases.hasExpired(noEarlierOrders)).toEqual(true);
        });

        it("last as long as it can grant from its first listing on, also after a second one", async () => {
            const { clock, leases } = createLeases();
            leases.recordClock(20);
            leases.reset();
            leases.extend();
            leases.recordSameIncarnation();
            await clock.advance(6_200);
            expect(leases.hasExpired(noEarlierOrders)).toEqual(false);
            await clock.advance(400);
            expect(leases.hasExpired(noEarlierOrders)).toEqual(true);
        });
    });
});
