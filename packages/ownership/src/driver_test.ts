import { createFailure, Err, ManualClock, Ok, toId } from "@waxwingroute/core";
import type { Failure, HostId, Result, ShardId } from "@waxwingroute/core";
import { MemoryStore } from "@waxwingroute/journal/testing";
import { expect } from "earl";
import { describe, it } from "node:test";
import { OwnershipDriver } from "./driver.js";
import { OwnershipPeers } from "./peers.js";

const shard = toId<ShardId>("glasgow/0");
const hosts = ["a", "b"].map(name => toId<HostId>(name));
const unreachable = createFailure("peer-unreachable", "no driver runs on this host", "notRun");

/** Delivers messages to drivers in the same process. */
class LocalPeers extends OwnershipPeers {
    constructor(private readonly drivers: Map<string, OwnershipDriver>) {
        super();
    }

    sendHeartbeat: OwnershipPeers["sendHeartbeat"] = async (to, heartbeat) =>
        this.call(to, driver => Ok(driver.handleHeartbeat(heartbeat)));
    arm: OwnershipPeers["arm"] = async (to, request) => this.call(to, driver => driver.handleArm(request));
    disarm: OwnershipPeers["disarm"] = async (to, request) => this.call(to, driver => driver.handleDisarm(request));
    release: OwnershipPeers["release"] = async (to, request) => this.call(to, driver => driver.handleRelease(request));
    identify: OwnershipPeers["identify"] = async (to, request) =>
        this.call(to, driver => driver.handleIdentify(request));

    private call<T>(to: HostId, run: (driver: OwnershipDriver) => Result<T, Failure>): Result<T, Failure> {
        const driver = this.drivers.get(to);
        return driver === undefined ? Err(unreachable) : run(driver);
    }
}

function createDrivers() {
    const store = new MemoryStore();
    const clock = new ManualClock();
    const drivers = new Map<string, OwnershipDriver>();
    const events: string[] = [];
    const peers = new LocalPeers(drivers);
    for (const self of hosts) {
        const driver = new OwnershipDriver({
            shard,
            self,
            incarnation: toId(`${self}1`),
            hosts,
            store,
            clock,
            peers,
            listener: {
                onRightGained: ({ generation, epoch, basis, waitMs }) => {
                    events.push(`${self} gained ${basis} ${epoch}`);
                    clock.schedule(waitMs, () => driver.completeRecovery(generation));
                },
                onRightLost: () => events.push(`${self} lost`),
                onHandedOver: () => events.push(`${self} handed over`),
                onFault: failure => events.push(failure.message),
            },
        });
        drivers.set(self, driver);
    }
    const getDriver = (id: string): OwnershipDriver => drivers.get(id) as OwnershipDriver;
    return { store, clock, drivers, events, a: getDriver("a"), b: getDriver("b") };
}

describe("OwnershipDriver", () => {
    // Guards against actions of the state machine that do not reach the store or the other hosts.
    it("creates the record, places by consents during a store outage, and fails over to its successor", async () => {
        const { store, clock, drivers, events, a, b } = createDrivers();
        a.start();
        b.start();
        await clock.advance(5_000);
        expect([a.canPlace(), b.canPlace()]).toEqual([true, false]);
        store.chooseFault = () => "lostCall";
        await clock.advance(10_000);
        expect([a.canPlace(), b.canPlace()]).toEqual([true, false]);
        a.stop();
        drivers.delete("a");
        await clock.advance(5_000);
        expect([a.canPlace(), b.canPlace()]).toEqual([false, true]);
        expect(events).toEqual(["a gained store 1", "b gained solo 1"]);
    });

    // Guards against a recovery that ends while starts of the earlier owner can still be in flight.
    it("refuses to complete a recovery early or for an earlier right", async () => {
        const { clock, a } = createDrivers();
        a.start();
        await clock.advance(50);
        expect(a.completeRecovery(1)).toEqual(false);
        await clock.advance(1_100);
        expect([a.completeRecovery(0), a.canPlace()]).toEqual([false, true]);
    });

    // Guards against an owner that loses its right because it does not recognize its own write by the token.
    it("keeps the right when the answer to a renewal is lost, and hands over on request", async () => {
        const { store, clock, events, a, b } = createDrivers();
        a.start();
        b.start();
        await clock.advance(4_000);
        let remainingLosses = 1;
        store.chooseFault = operation => operation === "write" && remainingLosses-- > 0 ? "lostAnswer" : "none";
        await clock.advance(4_000);
        expect([remainingLosses < 1, a.canPlace()]).toEqual([true, true]);
        expect([a.startHandover(), a.canPlace()]).toEqual([true, false]);
        await clock.advance(3_000);
        expect([a.canPlace(), b.canPlace(), b.getEpoch()]).toEqual([false, true, 2]);
        expect(events).toEqual(["a gained store 1", "a lost", "a handed over", "b gained store 2"]);
    });

    // Guards against a takeover that overwrites a record which this version of the program cannot read.
    it("leaves a record of a newer version alone and reports it", async () => {
        const { store, clock, events, a } = createDrivers();
        const value = JSON.stringify({ version: 2, holder: "x" });
        store.values.set("owner/glasgow/0", { value, revision: 1, token: toId("x") });
        a.start();
        await clock.advance(10_000);
        expect([a.canPlace(), store.writeCount]).toEqual([false, 0]);
        expect(events.at(0)).toEqual("the ownership record has version 2; this program reads versions up to 1");
    });
});
