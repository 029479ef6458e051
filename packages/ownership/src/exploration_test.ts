import { expect } from "earl";
import { describe, it } from "node:test";
import type { TestContext } from "node:test";
import { exploreFaults, resetFaults } from "./testing/random-faults.js";
import { computeLawfulEnd } from "./testing/simulated-cell.js";
import type { CellOptions } from "./testing/simulated-cell.js";
import { defaultOwnershipTimings } from "./types.js";

// A short pair bound, so that its end is reached within a run.
const timings = { ...defaultOwnershipTimings, pairBoundMs: 15_000 };
const runs = Number(process.env["OWNERSHIP_RUNS"] ?? 400);

function explore(t: TestContext, options: Omit<CellOptions, "seed">, stopAtFault: boolean): string[] {
    const visited = new Set<string>();
    const gains: Record<string, number> = {};
    const violations: string[] = [];
    let events = 0;
    let seed = 0;
    while (seed < runs && !(stopAtFault && violations.length > 0)) {
        seed++;
        const cell = exploreFaults({ ...options, seed }, 60_000);
        cell.visited.forEach(state => visited.add(state));
        events += cell.queue.count;
        violations.push(...cell.violations.slice(0, 1));
        for (const [basis, count] of Object.entries(cell.gains)) {
            gains[basis] = (gains[basis] ?? 0) + count;
        }
    }
    t.diagnostic(
        `result: ${seed} runs, ${events} events, ${visited.size} distinct states, rights gained ${
            JSON.stringify(gains)
        }, `
            + `${violations.length} runs with a fault`,
    );
    return violations;
}

describe("exploration of the ownership state machine", () => {
    // Guards against two hosts that place at one true time, or while a start of the other is in flight.
    it("never lets two hosts place", t => {
        expect(explore(t, { timings }, false)).toEqual([]);
    });

    // Guards against faults after which nobody can ever place again.
    it("lets one host place within 10 s after all faults have ended", t => {
        const stuck: string[] = [];
        let longestMs = 0;
        for (let seed = 1; seed <= runs / 2; seed++) {
            const cell = exploreFaults({ timings, seed }, 30_000);
            resetFaults(cell);
            const start = cell.queue.now;
            while (cell.listPlacing().length === 0 && cell.queue.now < start + 40_000) {
                cell.queue.runUntil(cell.queue.now + 50);
            }
            longestMs = Math.max(longestMs, cell.queue.now - start);
            if (cell.queue.now > start + 10_000) {
                stuck.push(`seed ${seed}: ${cell.queue.now - start} ms`);
            }
        }
        t.diagnostic(
            `result: ${runs / 2} runs, nobody may place for up to ${longestMs.toFixed(0)} ms after the faults`,
        );
        expect(stuck.join("\n")).toEqual("");
    });

    // Shows that the exploration notices when "never from the store alone" of rule 2 is ignored.
    it("finds the fault of an owner that relies on the store after it sent an arm request", t => {
        const computePlaceEnd: CellOptions["computePlaceEnd"] = state => {
            const { owner, right } = state;
            const isBroken = owner?.basis === "consent" && right?.isRecovering !== true;
            const storeEnd = isBroken ? (owner.renewedAt ?? -Infinity) + timings.storeRightMs : -Infinity;
            return Math.max(computeLawfulEnd(state), storeEnd);
        };
        expect(explore(t, { timings, computePlaceEnd }, true)).not.toEqual([]);
    });
});
