import type { ExecutorId, NetworkAddress } from "@waxwingroute/core";
import { ManualClock, toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { FencedExecutors } from "./fenced-executors.js";
import type { RosterEntry } from "./store-keys.js";

function createEntry(name: string, addedIn?: number): RosterEntry {
    return { executor: toId<ExecutorId>(name), address: toId<NetworkAddress>("10.0.0.1:1"), addedIn };
}

describe("FencedExecutors", () => {
    it("find the time at which more than half of the roster had answered", async () => {
        const clock = new ManualClock(1_000);
        const fenced = new FencedExecutors(clock);
        fenced.adoptRoster(["a", "b", "c"].map(name => createEntry(name)));
        fenced.record(toId<ExecutorId>("a"));
        expect(fenced.findMajorityTime(1)).toEqual(undefined);
        await clock.advance(200);
        fenced.record(toId<ExecutorId>("b"));
        await clock.advance(200);
        fenced.record(toId<ExecutorId>("a"));
        expect(fenced.findMajorityTime(1)).toEqual(1_200);
    });

    it("count for an owner only the executors that it knew", () => {
        // Guards against executors that a later owner added and that say nothing about an earlier one.
        const fenced = new FencedExecutors(new ManualClock(1_000));
        fenced.adoptRoster(
            [["a", 1], ["b", 1], ["c", 2], ["d", 2], ["e", 2]].map(([name, addedIn]) =>
                createEntry(String(name), Number(addedIn))
            ),
        );
        ["c", "d", "e"].forEach(name => fenced.record(toId<ExecutorId>(name)));
        expect([fenced.findMajorityTime(1), fenced.findMajorityTime(2)]).toEqual([undefined, 1_000]);
        ["a", "b"].forEach(name => fenced.record(toId<ExecutorId>(name)));
        expect(fenced.findMajorityTime(1)).toEqual(1_000);
    });

    it("prove nothing by an empty roster", () => {
        // Guards against a successor that waits for nobody because an earlier owner had stored no roster yet.
        const fenced = new FencedExecutors(new ManualClock(1_000));
        fenced.adoptRoster([]);
        fenced.record(toId<ExecutorId>("a"));
        expect(fenced.findMajorityTime(1)).toEqual(undefined);
    });
});
