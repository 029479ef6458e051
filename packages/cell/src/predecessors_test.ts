import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Predecessors } from "./predecessors.js";
import type { PossibleOwner } from "./store-keys.js";

const rates = 1.04;

function openPredecessors(owner: PossibleOwner, majorityTime: number | undefined): Predecessors {
    return new Predecessors({
        clock: new ManualClock(1_000),
        logger: { write: () => undefined },
        owners: [owner],
        askToStop: () => Promise.resolve(false),
        findMajorityTime: () => majorityTime,
        onAllStopped: () => undefined,
    });
}

describe("Predecessors that cannot be told", () => {
    const owner = { epoch: 1, maxOutageMs: 10_000, quorumMs: 1_000 };

    it("order until the longest outage has passed, without a majority of their executors", () => {
        expect(openPredecessors(owner, undefined).ordersEndAt).toEqual(1_000 + 10_000 * rates);
    });

    it("order until their last answers are too old, once they have lost the majority", () => {
        expect(openPredecessors(owner, 1_300).ordersEndAt).toEqual(1_300 + 1_000 * rates);
    });

    it("are counted on for the longest outage if they depend on no answers", () => {
        // Guards against two owners while hosts of an earlier version are being replaced.
        expect(openPredecessors({ epoch: 1, maxOutageMs: 10_000 }, 1_300).ordersEndAt).toEqual(1_000 + 10_000 * rates);
    });
});
