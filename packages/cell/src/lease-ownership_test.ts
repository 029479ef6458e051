import { createFailure, Err, ManualClock, SeededRandom, toId } from "@waxwingroute/core";
import type { Failure, NetworkAddress, Result } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { OwnershipOptions, OwnershipTerm } from "./lease-ownership.js";
import { LeaseOwnership } from "./lease-ownership.js";
import type { StoreReply, StoreRequest } from "./store.js";
import { LeaseStore, storeFailures } from "./store.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

interface Host {
    readonly store: MemoryLeaseStore;
    readonly ownership: LeaseOwnership;
    readonly events: string[];
}

/** A clock whose wall time is set apart from its monotonic time. */
class SuspendedClock extends ManualClock {
    wallOffsetMs = 0;

    override getWallTime(): number {
        return super.getWallTime() + this.wallOffsetMs;
    }
}

class Fixture {
    readonly clock = new SuspendedClock();
    readonly data = new MemoryStoreData(this.clock);
    readonly random = new SeededRandom(1);

    open(name: string, options: Partial<OwnershipOptions> = {}): Host {
        const store = new MemoryLeaseStore(this.data);
        const events: string[] = [];
        const ownership = new LeaseOwnership({
            store,
            clock: this.clock,
            random: this.random,
            logger: { write: () => undefined },
            supervisor: createStrictSupervisor(this.clock),
            host: name,
            address: toId<NetworkAddress>(`10.0.0.${name.charCodeAt(0)}:1`),
            incarnation: name,
            isOwnerAlive: () => false,
            listener: {
                onAcquired: (term: OwnershipTerm, isContinued) =>
                    events.push(`acquired ${term.epoch}${isContinued ? " again" : ""}`),
                onLost: () => events.push("lost"),
                onOwnerSeen: () => undefined,
            },
            ...options,
        });
        ownership.start();
        return { store, ownership, events };
    }
}

/** Carries out each request at once and returns its answer late. */
class LateAnswerStore extends LeaseStore {
    lateMs = 0;

    constructor(private readonly store: LeaseStore, private readonly clock: ManualClock) {
        super();
    }

    override async call<Request extends StoreRequest>(
        request: Request,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const answer = await this.store.call(request);
        await this.clock.wait(this.lateMs);
        return answer;
    }
}

/** Holds the first commit back and carries it out, unanswered, just before the second one. */
class OvertakenCommitStore extends LeaseStore {
    private commitCount = 0;
    private held: StoreRequest | undefined;

    constructor(private readonly store: LeaseStore, private readonly clock: ManualClock) {
        super();
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs = 1_000,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        this.commitCount += request.kind === "commit" ? 1 : 0;
        if (request.kind === "commit" && this.commitCount === 1) {
            this.held = request;
            await this.clock.wait(timeoutMs);
            return Err(createFailure(storeFailures.unanswered, "the answer is lost", "mayHaveRun"));
        }
        if (request.kind === "commit" && this.held !== undefined) {
            const { held } = this;
            this.held = undefined;
            await this.store.call(held);
        }
        return this.store.call(request, timeoutMs);
    }
}

describe("LeaseOwnership", () => {
    it("gives the cell to exactly one of several hosts", async () => {
        const fixture = new Fixture();
        const hosts = ["a", "b", "c"].map(name => fixture.open(name));
        await fixture.clock.advance(2_000);
        expect(hosts.filter(host => host.ownership.current !== undefined).length).toEqual(1);
        hosts.forEach(host => host.ownership.abort());
    });

    it("gives the cell to another host at once when the owner resigns", async () => {
        const fixture = new Fixture();
        const first = fixture.open("a");
        await fixture.clock.advance(500);
        const second = fixture.open("b");
        await fixture.clock.advance(500);
        void first.ownership.stop();
        await fixture.clock.advance(150);
        expect(second.events).toEqual(["acquired 2"]);
        second.ownership.abort();
    });

    it("reports later owners after the host has resigned, and acquires the cell no more", async () => {
        // Guards against open calls of a stopping host that wait for an owner that this host has not heard of.
        const fixture = new Fixture();
        const seen: (string | undefined)[] = [];
        const first = fixture.open("a", {
            listener: {
                onAcquired: () => seen.push("itself"),
                onLost: () => undefined,
                onOwnerSeen: owner => seen.push(owner?.host),
            },
        });
        await fixture.clock.advance(500);
        void first.ownership.resign();
        await fixture.clock.advance(500);
        const second = fixture.open("b");
        await fixture.clock.advance(500);
        expect(seen.at(-1)).toEqual("b");
        void second.ownership.stop();
        await fixture.clock.advance(3_000);
        expect(seen.at(-1)).toEqual(undefined);
        expect(seen.filter(name => name === "itself").length).toEqual(1);
        expect(first.ownership.current).toEqual(undefined);
        await first.ownership.stop();
    });

    it("gives the cell to another host as soon as the streams of a resigning owner end", async () => {
        // Guards against 0.7 s without starts at a planned stop: the end of the lease is seen before the end of the
        // stream, and the successor would wait for the owner's return.
        const fixture = new Fixture();
        const first = fixture.open("a");
        await fixture.clock.advance(500);
        let isAlive = true;
        const second = fixture.open("b", { isOwnerAlive: () => isAlive });
        await fixture.clock.advance(500);
        void first.ownership.stop();
        await fixture.clock.advance(50);
        expect(second.events).toEqual([]);
        isAlive = false;
        await fixture.clock.advance(100);
        expect(second.events).toEqual(["acquired 2"]);
        second.ownership.abort();
    });

    it("gives the cell to the host with the shorter acquisition delay when several could acquire it", async () => {
        // Guards against a host with few resources as the owner of a large cell, which it could not recover in time.
        const fixture = new Fixture();
        const weak = fixture.open("weak", { acquireDelayMs: 500 });
        await fixture.clock.advance(300);
        const strong = fixture.open("strong");
        await fixture.clock.advance(2_000);
        expect([weak.events, strong.events]).toEqual([[], ["acquired 1"]]);
        strong.ownership.abort();
        await fixture.clock.advance(3_000);
        expect(weak.events).toEqual(["acquired 2"]);
        weak.ownership.abort();
    });

    it("gives the cell to another host when the owner's lease has expired", async () => {
        const fixture = new Fixture();
        const first = fixture.open("a");
        await fixture.clock.advance(500);
        const second = fixture.open("b");
        await fixture.clock.advance(500);
        first.ownership.abort();
        await fixture.clock.advance(2_000);
        expect(second.events).toEqual(["acquired 2"]);
        second.ownership.abort();
    });

    it("keeps the cell while no host reaches the store, and continues after its lease expired meanwhile", async () => {
        // Guards against an owner that stops during a store outage, or recovers the cell anew after it.
        const fixture = new Fixture();
        const first = fixture.open("a");
        await fixture.clock.advance(500);
        const second = fixture.open("b");
        await fixture.clock.advance(500);
        fixture.data.mode = "silent";
        await fixture.clock.advance(5_000);
        expect(first.ownership.current?.epoch).toEqual(1);
        second.ownership.abort();
        fixture.data.mode = "up";
        await fixture.clock.advance(2_000);
        expect(first.events).toEqual(["acquired 1", "acquired 2 again"]);
        first.ownership.abort();
    });

    it("acquires the cell once after its lease expired, however many writes notice it", async () => {
        // Guards against two concurrent acquisitions, of which the second replaces the lease that is renewed.
        const fixture = new Fixture();
        const host = fixture.open("a");
        await fixture.clock.advance(500);
        fixture.data.mode = "silent";
        await fixture.clock.advance(4_000);
        fixture.data.mode = "up";
        for (let round = 0; round < 40; round++) {
            [1, 2, 3].forEach(() => void host.ownership.verify());
            await fixture.clock.advance(100);
        }
        expect(host.events).toEqual(["acquired 1", "acquired 2 again"]);
        host.ownership.abort();
    });

    it("keeps the cell while it processes answers of the store more than a second late", async () => {
        // Guards against a busy owner that loses the cell: it sent a renewal only after the answer to the previous one.
        const fixture = new Fixture();
        const data = new MemoryLeaseStore(fixture.data);
        const late = new LateAnswerStore(data, fixture.clock);
        const host = fixture.open("a", { store: late });
        await fixture.clock.advance(1_000);
        late.lateMs = 1_200;
        await fixture.clock.advance(10_000);
        expect(host.events).toEqual(["acquired 1"]);
        expect(host.ownership.current?.epoch).toEqual(1);
        host.ownership.abort();
    });

    it("loses the cell when another host acquired it while this host could not reach the store", async () => {
        // Guards against a deposed owner that continues once it reaches the store again.
        const fixture = new Fixture();
        const first = fixture.open("a");
        await fixture.clock.advance(500);
        const second = fixture.open("b");
        first.store.mode = "silent";
        await fixture.clock.advance(4_000);
        expect(second.ownership.current?.epoch).toEqual(2);
        first.store.mode = "up";
        await fixture.clock.advance(2_000);
        expect(first.events).toEqual(["acquired 1", "lost"]);
        first.ownership.abort();
        second.ownership.abort();
    });

    it("continues after the answer to its second acquisition was lost", async () => {
        // Guards against an owner that mistakes its own acquisition for another host's and recovers the cell anew.
        const fixture = new Fixture();
        const host = fixture.open("a");
        await fixture.clock.advance(500);
        fixture.data.mode = "silent";
        await fixture.clock.advance(4_000);
        host.store.commitFault = "answerLost";
        fixture.data.mode = "up";
        await fixture.clock.advance(1_500);
        host.store.commitFault = "none";
        void host.ownership.verify();
        await fixture.clock.advance(100);
        expect(host.events).toEqual(["acquired 1", "acquired 2 again"]);
        host.ownership.abort();
    });

    it("detects that it owns the cell after the answer to its acquisition was lost", async () => {
        // Guards against a host that follows its own owner record and so leaves the cell without an owner.
        const fixture = new Fixture();
        const host = fixture.open("a");
        host.store.commitFault = "answerLost";
        await fixture.clock.advance(500);
        host.store.commitFault = "none";
        await fixture.clock.advance(2_000);
        expect(host.ownership.current !== undefined).toEqual(true);
        host.ownership.abort();
    });

    describe("answers that overtake each other", () => {
        /** Lets the lease of the only host expire in an outage of the store, and delays the answer to one later call. */
        async function endOutage(
            fixture: Fixture,
            host: Host,
            isDelayed: (request: StoreRequest) => boolean,
        ): Promise<void> {
            await fixture.clock.advance(500);
            fixture.data.mode = "silent";
            await fixture.clock.advance(3_000);
            fixture.data.expireAllLeases();
            fixture.data.mode = "up";
            let delays = 0;
            host.store.chooseAnswerDelayMs = request => isDelayed(request) && delays++ === 0 ? 60 : 0;
        }

        it("keep a sound term if one is older than the term", async () => {
            // Guards against two owners in one epoch: the term was given up for a read of before it, and begun again.
            const fixture = new Fixture();
            const host = fixture.open("a");
            await endOutage(fixture, host, ({ kind }) => kind === "list");
            void host.ownership.verify();
            void host.ownership.verify();
            await fixture.clock.advance(2_000);
            expect(host.events).toEqual(["acquired 1", "acquired 2 again"]);
            host.ownership.abort();
        });

        it("begin a term once, though its record is read before the answer to its commit", async () => {
            // Guards against a term that an answer begins again after it was begun, or ended, by a newer one.
            const fixture = new Fixture();
            const host = fixture.open("a");
            await endOutage(fixture, host, ({ kind }) => kind === "commit");
            for (let round = 0; round < 30; round++) {
                void host.ownership.verify();
                await fixture.clock.advance(20);
            }
            expect(host.events).toEqual(["acquired 1", "acquired 2 again"]);
            host.ownership.abort();
        });
    });

    describe("an owner record that cannot be read", () => {
        it("is not replaced, since another host may own the cell by it", async () => {
            // Guards against a host that takes the cell from an owner of a later version.
            const fixture = new Fixture();
            const write = { key: "waxwing/lead/owner", value: "{}" };
            fixture.data.execute({ kind: "commit", transaction: { conditions: [], writes: [write], removals: [] } });
            const host = fixture.open("a");
            await fixture.clock.advance(3_000);
            expect(host.events).toEqual([]);
            expect(fixture.data.items.get("waxwing/lead/owner")?.value).toEqual("{}");
            host.ownership.abort();
        });
    });

    describe("a host that has given the cell up while its record is stored", () => {
        it("owns the cell again only in an epoch of its own", async () => {
            // Guards against two owners of one process with one fencing token, of which the second starts the tasks again
            // that the first has started.
            const fixture = new Fixture();
            const host = fixture.open("a");
            await fixture.clock.advance(500);
            host.ownership.recordSuccessor(2);
            await fixture.clock.advance(300);
            expect(host.events).toEqual(["acquired 1", "lost", "acquired 2"]);
            await fixture.clock.advance(4_000);
            expect(host.events.length).toEqual(3);
            expect(host.ownership.isLeaseValid).toEqual(true);
            host.ownership.abort();
        });
    });

    describe("an acquisition whose answer is late or lost", () => {
        it("leaves the host with the lease under which its record is stored", async () => {
            // Guards against an owner that renews another lease, and takes itself for the owner once its record is gone.
            const fixture = new Fixture();
            const store = new OvertakenCommitStore(new MemoryLeaseStore(fixture.data), fixture.clock);
            const first = fixture.open("a", { store });
            await fixture.clock.advance(1_000);
            expect(first.events).toEqual(["acquired 1"]);
            const second = fixture.open("b");
            for (let round = 0; round < 60; round++) {
                await fixture.clock.advance(50);
                const owners = [first, second].filter(host => host.ownership.isLeaseValid);
                expect(owners.length <= 1).toEqual(true);
            }
            expect([first.events, second.events]).toEqual([["acquired 1"], []]);
            [first, second].forEach(host => host.ownership.abort());
        });

        it("does not make a host the owner that has resigned meanwhile", async () => {
            // Guards against a host that owns the cell while it shuts down, without renewing its lease.
            const fixture = new Fixture();
            const store = new LateAnswerStore(new MemoryLeaseStore(fixture.data), fixture.clock);
            store.lateMs = 300;
            const host = fixture.open("a", { store });
            while (!fixture.data.items.has("waxwing/lead/owner")) {
                await fixture.clock.advance(10);
            }
            void host.ownership.stop();
            await fixture.clock.advance(650);
            expect(host.events).toEqual([]);
            expect(fixture.data.items.has("waxwing/lead/owner")).toEqual(false);
        });

        it("gives a term that ends with the lease of that acquisition", async () => {
            // Guards against an owner that renews the lease of a later, failed acquisition: its record goes with the
            // earlier lease, and the host would still count its own as valid beside a successor.
            const fixture = new Fixture();
            const host = fixture.open("a");
            host.store.latencyMs = 100;
            host.store.commitFault = "late";
            // Between the read and the commit of the second acquisition, with the timeout of the first commit before it.
            host.store.lateMs = 1_150;
            await fixture.clock.advance(700);
            host.store.commitFault = "none";
            await fixture.clock.advance(1_200);
            expect(host.events).toEqual(["acquired 1"]);
            // The lease of the first acquisition, which nobody has renewed, ends 1.5 s after it was granted.
            const other = fixture.open("c");
            let overlaps = 0;
            for (let elapsed = 0; elapsed < 5_000; elapsed += 20) {
                await fixture.clock.advance(20);
                overlaps += host.ownership.isLeaseValid && other.ownership.current !== undefined ? 1 : 0;
            }
            expect(overlaps).toEqual(0);
            [host, other].forEach(({ ownership }) => ownership.abort());
        });

        it("gives the cell back if the host has resigned meanwhile and the answer is lost", async () => {
            // Guards against a cell that no host can own until the lease of a host ends that has stopped.
            const fixture = new Fixture();
            const host = fixture.open("a");
            host.store.latencyMs = 100;
            while (fixture.data.leases.size === 0) {
                await fixture.clock.advance(10);
            }
            host.store.commitFault = "answerLost";
            await fixture.clock.advance(60);
            void host.ownership.stop();
            await fixture.clock.advance(50);
            host.store.commitFault = "none";
            await fixture.clock.advance(1_000);
            fixture.data.expireLeases();
            expect(host.events).toEqual([]);
            expect(fixture.data.items.has("waxwing/lead/owner")).toEqual(false);
        });

        it("gives the cell back if the host has resigned meanwhile", async () => {
            // Guards against a host that stops and becomes the owner by an answer that arrives after it has resigned.
            const fixture = new Fixture();
            const host = fixture.open("a");
            host.store.latencyMs = 100;
            await fixture.clock.advance(260);
            void host.ownership.stop();
            await fixture.clock.advance(1_000);
            expect(host.events).toEqual([]);
            expect(fixture.data.items.has("waxwing/lead/owner")).toEqual(false);
        });
    });

    describe("authority to order", () => {
        const maxOutageMs = 5_000;

        it("ends a bounded time after the lease, and returns with a renewal", async () => {
            // Guards against an owner that orders without a bound while its successor does too.
            const fixture = new Fixture();
            const host = fixture.open("a", { maxOutageMs, leaseMs: 1_000 });
            await fixture.clock.advance(500);
            fixture.data.mode = "silent";
            await fixture.clock.advance(maxOutageMs);
            expect([host.ownership.isLeaseValid, host.ownership.canOrder]).toEqual([false, true]);
            await fixture.clock.advance(1_500);
            expect(host.ownership.canOrder).toEqual(false);
            fixture.data.mode = "up";
            await fixture.clock.advance(2_000);
            expect([host.ownership.isLeaseValid, host.ownership.canOrder]).toEqual([true, true]);
            host.ownership.abort();
        });

        it("has ended when the machine wakes after a suspension that the monotonic clock does not count", async () => {
            // Guards against a process that acts on a permission that has run out while it was away.
            const fixture = new Fixture();
            const host = fixture.open("a", { maxOutageMs, leaseMs: 1_000 });
            await fixture.clock.advance(500);
            fixture.clock.wallOffsetMs = maxOutageMs + 1_000;
            expect([host.ownership.isLeaseValid, host.ownership.canOrder]).toEqual([false, false]);
            await fixture.clock.advance(500);
            expect([host.ownership.isLeaseValid, host.ownership.canOrder]).toEqual([true, true]);
            host.ownership.abort();
        });

        it("names to each owner the earlier ones that may still order", async () => {
            // Guards against a successor that counts on the last owner only, though an earlier one may be alive too.
            const fixture = new Fixture();
            const hosts = ["a", "b", "c"].map(name => fixture.open(name, { maxOutageMs }));
            for (let owners = 1; owners <= 3; owners++) {
                await fixture.clock.advance(4_000);
                const owner = hosts.find(host => host.ownership.current !== undefined)!;
                const { predecessors } = owner.ownership.current!;
                expect(predecessors.map(({ epoch }) => epoch)).toEqual(
                    Array.from({ length: owners - 1 }, (_, index) => index + 1),
                );
                expect(predecessors.every(({ address }) => address !== undefined)).toEqual(true);
                owner.ownership.abort();
            }
        });

        it("is assumed of an owner that the store does not name", async () => {
            // Guards against a takeover from a host of an earlier version that counts on no earlier owner.
            const fixture = new Fixture();
            const write = { key: "waxwing/lead/epoch", value: "7" };
            const transaction = { conditions: [], writes: [write], removals: [] };
            fixture.data.execute({ kind: "commit", transaction });
            const host = fixture.open("a", { maxOutageMs });
            await fixture.clock.advance(500);
            expect(host.ownership.current?.predecessors).toEqual([{ epoch: 7, maxOutageMs }]);
            host.ownership.abort();
        });
    });
});
