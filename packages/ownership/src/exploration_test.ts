import { expect } from "earl";
import { describe, it } from "node:test";
import type { TestContext } from "node:test";
import { clearFaults, runWithRandomFaults } from "./testing/random-faults.js";
import { computeDefaultPlacementEnd } from "./testing/simulated-cluster.js";
import type { SimulatedClusterOptions } from "./testing/simulated-cluster.js";
import { defaultOwnershipTimings } from "./types.js";

// The default pair bound is longer than a run; with this one, runs reach its end.
const timings = { ...defaultOwnershipTimings, pairBoundMs: 15_000 };
const runs = Number(process.env["OWNERSHIP_RUNS"] ?? 400);

function exploreSeeds(
    t: TestContext,
    options: Omit<SimulatedClusterOptions, "seed">,
    stopAtViolation: boolean,
): string[] {
    const visitedStates = new Set<string>();
    const gainCounts: Record<string, number> = {};
    const violations: string[] = [];
    let eventCount = 0;
    let seed = 0;
    while (seed < runs && !(stopAtViolation && violations.length > 0)) {
        seed++;
        const cluster = runWithRandomFaults({ ...options, seed }, 60_000);
        cluster.visitedStates.forEach(state => visitedStates.add(state));
        eventCount += cluster.queue.processedCount;
        violations.push(...cluster.violations.slice(0, 1));
        for (const [basis, count] of Object.entries(cluster.gainCounts)) {
            gainCounts[basis] = (gainCounts[basis] ?? 0) + count;
        }
    }
    t.diagnostic(
        `result: ${seed} runs, ${eventCount} events, ${visitedStates.size} distinct states, rights gained ${
            JSON.stringify(gainCounts)
        }, `
            + `${violations.length} runs with a violation`,
    );
    return violations;
}

describe("exploration of the ownership state machine", () => {
    // Guards against a host that places while another host can place or still has a start in flight.
    it("never lets two hosts place at the same time", t => {
        expect(exploreSeeds(t, { timings }, false)).toEqual([]);
    });

    // Guards against sequences of faults after which no host can ever place again.
    it("lets one host place within 10 s after all faults have ended", t => {
        const exceededSeeds: string[] = [];
        let longestMs = 0;
        for (let seed = 1; seed <= runs / 2; seed++) {
            const cluster = runWithRandomFaults({ timings, seed }, 30_000);
            clearFaults(cluster);
            const faultsEndedAt = cluster.queue.now;
            while (cluster.listPlacingHosts().length === 0 && cluster.queue.now < faultsEndedAt + 40_000) {
                cluster.queue.runUntil(cluster.queue.now + 50);
            }
            longestMs = Math.max(longestMs, cluster.queue.now - faultsEndedAt);
            if (cluster.queue.now > faultsEndedAt + 10_000) {
                exceededSeeds.push(`seed ${seed}: ${cluster.queue.now - faultsEndedAt} ms`);
            }
        }
        t.diagnostic(
            `result: ${runs / 2} runs, no host may place for up to ${longestMs.toFixed(0)} ms after the faults`,
        );
        expect(exceededSeeds.join("\n")).toEqual("");
    });

    // Shows that the exploration detects a breach of rule 2 in docs/design.md, section 2.1: from the first arm request
    // until a disarm is acknowledged, the owner's right never derives from the store alone.
    it("finds a violation when an owner relies on the store after it has sent an arm request", t => {
        const computePlacementEnd: SimulatedClusterOptions["computePlacementEnd"] = state => {
            const { owner, right } = state;
            const isInConsentMode = owner?.basis === "consent" && right?.isRecovering !== true;
            const storeRightEnd = isInConsentMode ? (owner.renewedAt ?? -Infinity) + timings.storeRightMs : -Infinity;
            return Math.max(computeDefaultPlacementEnd(state), storeRightEnd);
        };
        expect(exploreSeeds(t, { timings, computePlacementEnd }, true)).not.toEqual([]);
    });
});
