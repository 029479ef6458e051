import { expect } from "earl";
import { describe, it } from "node:test";
import type { TestContext } from "node:test";
import { SimulatedCell } from "./testing/simulated-cell.js";
import { defaultOwnershipTimings } from "./types.js";

const timings = { ...defaultOwnershipTimings, pairBoundMs: 60_000 };

/** Host a owns the shard and b is its successor. */
function createSettledCell(): SimulatedCell {
    const cell = new SimulatedCell({ seed: 7, timings, rates: [1, 1.01, 1] });
    cell.queue.runUntil(6_000);
    expect(cell.listPlacing()).toEqual(["a"]);
    expect(cell.record?.record.successor as string).toEqual("b");
    return cell;
}

/** Runs for a time and returns for how long nobody could place, in ms, and who can place at the end. */
function measureGap(cell: SimulatedCell, durationMs: number): { readonly gapMs: number; readonly placing: string; } {
    const end = cell.queue.now + durationMs;
    let gapMs = 0;
    while (cell.queue.now < end) {
        cell.queue.runUntil(cell.queue.now + 5);
        gapMs += cell.listPlacing().length === 0 ? 5 : 0;
    }
    expect(cell.violations).toEqual([]);
    return { gapMs, placing: cell.listPlacing().join() };
}

function checkGap(t: TestContext, cell: SimulatedCell, placing: string, leastMs: number, mostMs: number): void {
    const measured = measureGap(cell, 20_000);
    t.diagnostic(`result: nobody may place for ${measured.gapMs} ms`);
    expect(measured.placing).toEqual(placing);
    expect(measured.gapMs >= leastMs && measured.gapMs <= mostMs).toEqual(true);
}

// Each test is a row of the table in section 2.1 of the design and guards its columns "who may place" and "gap".
describe("who may place", () => {
    describe("with the store up", () => {
        it("is the owner without a gap when the successor dies", t => {
            const cell = createSettledCell();
            cell.stopHost(cell.getHost("b"));
            checkGap(t, cell, "a", 0, 0);
            expect(cell.record?.record.successor as string).toEqual("c");
        });

        for (const fault of ["dies", "pauses"]) {
            it(`is the successor after 3 to 5 s when the owner ${fault}`, t => {
                const cell = createSettledCell();
                cell.getHost("a").pausedUntil = fault === "pauses" ? 15_000 : 0;
                if (fault === "dies") {
                    cell.stopHost(cell.getHost("a"));
                }
                // The owner's clock allows placing for up to 3 s of this time.
                checkGap(t, cell, "b", fault === "dies" ? 3_000 : 1_000, 5_000);
            });
        }

        it("is nobody when owner and successor die, until the successor's restarted process gives a release", t => {
            const cell = createSettledCell();
            cell.stopHost(cell.getHost("a"));
            cell.stopHost(cell.getHost("b"));
            expect(measureGap(cell, 40_000).placing).toEqual("");
            cell.startHost(cell.getHost("b"));
            checkGap(t, cell, "c", 3_000, 6_000);
        });

        it("is a third host after the pair bound when owner and successor die", () => {
            const cell = createSettledCell();
            cell.stopHost(cell.getHost("a"));
            cell.stopHost(cell.getHost("b"));
            expect(measureGap(cell, 60_000).placing).toEqual("");
            expect(measureGap(cell, 5_000).placing).toEqual("c");
        });

        it("is a third host after force-release when owner and successor die", t => {
            const cell = createSettledCell();
            cell.stopHost(cell.getHost("a"));
            cell.stopHost(cell.getHost("b"));
            measureGap(cell, 10_000);
            cell.processEvent(cell.getHost("c"), 1, { kind: "forceRelease" });
            checkGap(t, cell, "c", 1_000, 2_500);
        });

        it("is the new owner at most 2 s after a graceful handover", t => {
            const cell = createSettledCell();
            cell.processEvent(cell.getHost("a"), 1, { kind: "handOver" });
            checkGap(t, cell, "b", 1_000, 2_000);
        });

        it("is nobody but the owner when the answer to a handover is lost", () => {
            const cell = createSettledCell();
            cell.setStore(false, "a");
            cell.processEvent(cell.getHost("a"), 1, { kind: "handOver" });
            expect(cell.listPlacing()).toEqual([]);
            expect(measureGap(cell, 10_000).placing).toEqual("b");
        });
    });

    describe("with the store down", () => {
        it("is the owner by consents, with a gap below 1 s", t => {
            const cell = createSettledCell();
            cell.setStore(false);
            checkGap(t, cell, "a", 0, 1_000);
            cell.setStore(true);
            checkGap(t, cell, "a", 0, 0);
            expect(cell.getHost("a").state?.owner?.basis as string).toEqual("store");
        });

        it("is the armed successor 2 to 4 s after the owner dies", t => {
            const cell = createSettledCell();
            cell.setStore(false);
            measureGap(cell, 5_000);
            cell.stopHost(cell.getHost("a"));
            checkGap(t, cell, "b", 2_000, 4_000);
            // The successor records its takeover when the store returns.
            cell.setStore(true);
            measureGap(cell, 5_000);
            expect(cell.record?.record.owner as string).toEqual("b");
        });

        it("is nobody when the owner dies before arming, until the store returns", () => {
            const cell = createSettledCell();
            cell.setStore(false);
            cell.stopHost(cell.getHost("a"));
            expect(measureGap(cell, 30_000).placing).toEqual("");
            cell.setStore(true);
            expect(measureGap(cell, 5_000).placing).toEqual("b");
        });

        it("is nobody after the consent when the successor dies, also with the store back, until it restarts", () => {
            const cell = createSettledCell();
            cell.setStore(false);
            measureGap(cell, 5_000);
            cell.stopHost(cell.getHost("b"));
            expect(measureGap(cell, 5_000).placing).toEqual("");
            cell.setStore(true);
            expect(measureGap(cell, 20_000).placing).toEqual("");
            cell.startHost(cell.getHost("b"));
            expect(measureGap(cell, 3_000).placing).toEqual("a");
        });

        it("is nobody when both die, until the store and a process return", () => {
            const cell = createSettledCell();
            cell.setStore(false);
            cell.stopHost(cell.getHost("a"));
            cell.stopHost(cell.getHost("b"));
            expect(measureGap(cell, 20_000).placing).toEqual("");
            cell.startHost(cell.getHost("b"));
            cell.setStore(true);
            expect(measureGap(cell, 8_000).placing).toEqual("c");
        });

        it("stays the owner when only a third host reaches the store", t => {
            const cell = createSettledCell();
            cell.setStore(false, "a", "b");
            checkGap(t, cell, "a", 0, 1_000);
            expect(cell.record?.record.epoch).toEqual(1);
        });
    });
});
