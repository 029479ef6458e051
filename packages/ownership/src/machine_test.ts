import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulatedCell } from "./testing/simulated-cell.js";
import { defaultOwnershipTimings } from "./types.js";
import type { OwnershipState } from "./types.js";

/** Host a owns the shard and b is its successor. */
function createSettledCell(): SimulatedCell {
    const cell = new SimulatedCell({ seed: 3, timings: defaultOwnershipTimings, rates: [1, 1, 1] });
    cell.queue.runUntil(6_000);
    return cell;
}

function runFor(cell: SimulatedCell, durationMs: number): void {
    cell.queue.runUntil(cell.queue.now + durationMs);
}

function getState(cell: SimulatedCell, id: string): OwnershipState {
    const { state } = cell.getHost(id);
    if (state === undefined) {
        throw new Error(`host "${id}" does not run`);
    }
    return state;
}

describe("applyOwnershipEvent", () => {
    describe("return to store mode", () => {
        // Guards against an owner that relies on the store while a later arm request has armed its successor.
        it("ignores refusals and acknowledgements older than the last arm request", () => {
            const cell = createSettledCell();
            cell.setStore(false);
            runFor(cell, 5_000);
            const a = cell.getHost("a");
            const sequence = (getState(cell, "a").owner?.arms.at(-1)?.sequence ?? 0) - 1;
            cell.processEvent(a, 1, { kind: "armAnswered", answer: { epoch: 1, sequence, status: "notArmed" } });
            cell.processEvent(a, 1, { kind: "disarmAnswered", answer: { epoch: 1, sequence, isDisarmed: true } });
            expect(getState(cell, "a").owner?.basis as string).toEqual("consent");
        });

        // Guards against a takeover write in flight that replaces the record of an owner which has just been told to go on.
        it("is refused by a solo successor whose takeover write may still take effect", () => {
            const cell = createSettledCell();
            cell.setStore(false);
            runFor(cell, 4_000);
            cell.disconnectHosts("a", "b");
            runFor(cell, 6_000);
            expect(cell.listPlacing()).toEqual(["b"]);
            cell.storeDelayRate = 1;
            cell.setStore(true, "b");
            for (let step = 0; step < 3_000 && getState(cell, "b").successor.soloTakeoverRevision === 0; step++) {
                runFor(cell, 5);
            }
            const { revision, record } = getState(cell, "b").known ?? { revision: 0, record: undefined };
            const request = {
                from: cell.getHost("a").id,
                ownerIncarnation: record?.ownerIncarnation as never,
                successorIncarnation: getState(cell, "b").settings.incarnation,
                epoch: 1,
                sequence: 1_000,
                revision,
            };
            cell.processEvent(cell.getHost("b"), 1, { kind: "disarmRequested", request });
            expect(getState(cell, "b").successor.solo === undefined).toEqual(false);
            cell.processEvent(cell.getHost("b"), 1, {
                kind: "disarmRequested",
                request: { ...request, revision: revision + 1 },
            });
            expect(getState(cell, "b").successor.solo).toEqual(undefined);
        });
    });

    // Guards against a host that others have replaced through the store: its own takeover write named it there as owner.
    it("ends a solo right when a takeover write has no known outcome for 3 s", () => {
        const cell = createSettledCell();
        cell.setStore(false);
        runFor(cell, 4_000);
        cell.stopHost(cell.getHost("a"));
        runFor(cell, 5_000);
        expect(cell.listPlacing()).toEqual(["b"]);
        cell.setStore(true, "b");
        for (let step = 0; step < 1_500 && getState(cell, "b").pending.length === 0; step++) {
            runFor(cell, 1);
        }
        cell.setStore(false);
        expect([getState(cell, "b").pending.length, cell.listPlacing().join()]).toEqual([1, "b"]);
        runFor(cell, 3_100);
        expect(cell.listPlacing()).toEqual([]);
    });

    // Guards against two successors: the record may already name another one, which takes over through the store.
    it("sends no arm request while a write that changes the successor has no answer", () => {
        const cell = createSettledCell();
        cell.disconnectHosts("a", "b");
        runFor(cell, 2_600);
        cell.storeLossRate = 1;
        runFor(cell, 500);
        while (getState(cell, "a").pending.every(write => write.record.successor === cell.getHost("b").id)) {
            runFor(cell, 10);
        }
        cell.cutLinks.clear();
        cell.setStore(false);
        runFor(cell, 5_000);
        expect(getState(cell, "a").owner?.basis as string).toEqual("store");
        expect(getState(cell, "b").successor.armed).toEqual(undefined);
    });

    // Guards against an owner that resumes from a pause and places before it has listed what runs.
    it("recovers again after a lapse, also when a renewal arrives first", () => {
        const cell = createSettledCell();
        cell.stopHost(cell.getHost("b"));
        cell.stopHost(cell.getHost("c"));
        const { generation } = getState(cell, "a");
        cell.getHost("a").pausedUntil = cell.queue.now + 4_000;
        runFor(cell, 4_900);
        expect(cell.listPlacing()).toEqual([]);
        expect(getState(cell, "a").right?.generation).toEqual(generation + 1);
        runFor(cell, 500);
        expect(cell.listPlacing()).toEqual(["a"]);
    });

    it("refuses an arm request that echoes an old heartbeat", () => {
        const cell = createSettledCell();
        const b = getState(cell, "b");
        const [oldest] = b.recentHeartbeats;
        runFor(cell, 2_000);
        cell.processEvent(cell.getHost("b"), 1, {
            kind: "armRequested",
            request: {
                from: cell.getHost("a").id,
                ownerIncarnation: getState(cell, "a").settings.incarnation,
                successorIncarnation: b.settings.incarnation,
                epoch: 1,
                sequence: 1,
                revision: 1_000,
                echo: oldest?.number ?? 0,
                sinceRenewalMs: 0,
            },
        });
        expect(getState(cell, "b").successor.armed).toEqual(undefined);
    });
});
