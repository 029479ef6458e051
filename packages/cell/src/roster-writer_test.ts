import type { ExecutorId, NetworkAddress } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RosterWriter } from "./roster-writer.js";
import type { RosterEntry } from "./store-keys.js";
import { decodeRoster } from "./store-keys.js";

class Fixture {
    hasEarlierOwners = true;
    /** Rosters of which any one can be the stored one. */
    rosters: readonly (readonly string[])[] = [];
    readonly writes: { readonly roster: readonly RosterEntry[]; readonly confirm: () => void; }[] = [];
    readonly writer = new RosterWriter({
        storeRoster: ({ value }, onStored) => {
            const decoded = decodeRoster(value);
            this.writes.push({ roster: decoded.ok ? decoded.val : [], confirm: onStored });
        },
        getEpoch: () => 2,
        hasEarlierOwners: () => this.hasEarlierOwners,
        onStoredRosters: rosters => {
            this.rosters = rosters;
        },
    });

    constructor() {
        this.writer.adopt([createEntry("a", 1), createEntry("b", 1)]);
    }

    get lastRoster(): readonly (readonly unknown[])[] {
        return this.writes.at(-1)!.roster.map(({ executor, addedIn, tasks }) => [executor, addedIn, tasks]);
    }
}

function createEntry(name: string, addedIn?: number): RosterEntry {
    return { executor: toId<ExecutorId>(name), address: toId<NetworkAddress>("10.0.0.1:1"), addedIn };
}

describe("RosterWriter", () => {
    it("keeps the entries of an earlier owner while it may order, and says who added each", () => {
        // Guards against a next owner that counts the majority of a roster on which the earlier one does not depend.
        const fixture = new Fixture();
        fixture.writer.store([createEntry("b"), createEntry("c")], () => undefined);
        expect(fixture.lastRoster).toEqual([["b", 1, undefined], ["c", 2, undefined], ["a", 1, []]]);
        expect(fixture.writer.hasOutdatedEntries).toEqual(false);
        fixture.hasEarlierOwners = false;
        expect(fixture.writer.hasOutdatedEntries).toEqual(true);
        fixture.writer.store([createEntry("b"), createEntry("c")], () => undefined);
        expect(fixture.lastRoster).toEqual([["b", 1, undefined], ["c", 2, undefined]]);
        expect(fixture.writer.hasOutdatedEntries).toEqual(false);
    });

    it("names both rosters until the write of the later one is confirmed", () => {
        // Guards against an owner that depends on another roster than its successor has read.
        const fixture = new Fixture();
        fixture.hasEarlierOwners = false;
        expect(fixture.rosters).toEqual([["a", "b"]]);
        let isStored = false;
        fixture.writer.store([createEntry("c")], () => {
            isStored = true;
        });
        expect(fixture.rosters).toEqual([["a", "b"], ["c"]]);
        fixture.writes[0]!.confirm();
        expect([fixture.rosters, isStored]).toEqual([[["c"]], true]);
    });
});
