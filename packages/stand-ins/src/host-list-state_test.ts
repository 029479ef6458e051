import type { RackId, WorkerId, ZoneId } from "@waxwingroute/core";
import { ManualClock, zeroResources } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { HostListState } from "./host-list-state.js";

const zone = "glasgow" as ZoneId;

function createList(): { clock: ManualClock; list: HostListState; getStates: () => unknown; } {
    const clock = new ManualClock();
    const list = new HostListState(clock, 5_000);
    for (const worker of ["w0", "w1", "w2"] as WorkerId[]) {
        list.addWorker({ worker, zone, rack: "r" as RackId, url: "", capacity: zeroResources });
    }
    const getStates = () =>
        Object.fromEntries(list.list(zone).unwrap().workers.map(({ address, state }) => [address.worker, state]));
    return { clock, list, getStates };
}

describe("HostListState", () => {
    // Guards against tests in which the host list is never stale.
    it("shows changes after the lag", async () => {
        const { clock, list, getStates } = createList();
        list.setState("w0", "leaving");
        list.setState("w1", "gone");
        await clock.advance(4_999);
        expect(getStates()).toEqual({ w0: "live", w1: "live", w2: "live" });
        await clock.advance(1);
        expect(getStates()).toEqual({ w0: "leaving", w2: "live" });
        expect(list.list("dundee" as ZoneId).unwrap()).toEqual({ workers: [], executors: [] });
    });

    it("holds changes while frozen, lists no or wrong hosts in other modes, and recovers", async () => {
        const { clock, list, getStates } = createList();
        list.setMode("frozen");
        list.setState("w0", "leaving");
        await clock.advance(60_000);
        expect(getStates()).toEqual({ w0: "live", w1: "live", w2: "live" });
        list.setMode("empty");
        expect(getStates()).toEqual({});
        list.setMode("wrong");
        expect(getStates()).toEqual({ w0: "live", w1: "leaving" });
        list.setMode("normal");
        expect(getStates()).toEqual({ w0: "leaving", w1: "live", w2: "live" });
    });
});
