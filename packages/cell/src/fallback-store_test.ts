import { ManualClock } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { FallbackStore } from "./fallback-store.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly data = new MemoryStoreData(this.clock);
    readonly direct = new MemoryLeaseStore(this.data);
    readonly peer = new MemoryLeaseStore(this.data);
    readonly otherPeer = new MemoryLeaseStore(this.data);
    readonly store = new FallbackStore({
        direct: this.direct,
        listPeers: () => [this.otherPeer, this.peer],
        clock: this.clock,
        logger: { write: () => undefined },
        supervisor: createStrictSupervisor(this.clock),
    });

    async settle<T>(promise: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
        let result: Result<T, Failure> | undefined;
        void promise.then(value => {
            result = value;
        });
        for (let step = 0; step < 100 && result === undefined; step++) {
            await this.clock.advance(50);
        }
        return result!;
    }

    commit(key: string): Promise<Result<unknown, Failure>> {
        const transaction = { conditions: [{ key, revision: 0 }], writes: [{ key, value: "1" }], removals: [] };
        return this.settle(this.store.call({ kind: "commit", transaction }, 500));
    }
}

describe("FallbackStore", () => {
    it("sends a request through another host when the store refuses this one", async () => {
        const fixture = new Fixture();
        fixture.direct.mode = "refusing";
        expect((await fixture.commit("a")).ok).toEqual(true);
    });

    it("does not repeat a write without an answer by another route", async () => {
        // Guards against a write that is carried out twice, the first time late.
        const fixture = new Fixture();
        fixture.direct.mode = "silent";
        const result = await fixture.commit("a");
        expect((result.val as Failure).verdict).toEqual("mayHaveRun");
        expect(fixture.data.items.has("a")).toEqual(false);
    });

    it("tries further hosts when the store does not serve the first other host either", async () => {
        // Guards against commits that wait for the silent direct route because one other host cannot reach the store.
        const fixture = new Fixture();
        fixture.direct.mode = "refusing";
        fixture.otherPeer.mode = "refusing";
        for (let index = 0; index < 10; index++) {
            expect((await fixture.commit(`a${index}`)).ok).toEqual(true);
        }
    });

    it("reads through another host when the direct read gets no answer", async () => {
        const fixture = new Fixture();
        fixture.direct.mode = "silent";
        const read = await fixture.settle(fixture.store.call({ kind: "read", key: "a" }, 500));
        expect(read.ok).toEqual(true);
    });

    it("lists through the last route in time although the others are silent", async () => {
        // Guards against work that is given to executors which have said that they leave, because a list is asked for on
        // one silent route after the other.
        const shortestDrainNoticeMs = 3_000;
        const fixture = new Fixture();
        fixture.direct.mode = "silent";
        fixture.otherPeer.mode = "silent";
        const sentAt = fixture.clock.getNow();
        const listed = await fixture.settle(fixture.store.call({ kind: "list", prefix: "a" }, 1_000));
        expect(listed.ok).toEqual(true);
        // Entries are listed in a fixed interval, and an order takes a round trip.
        expect(fixture.clock.getNow() - sentAt <= shortestDrainNoticeMs / 3).toEqual(true);
    });

    it("prefers other hosts after a failure until the store serves this host again", async () => {
        // Guards against requests that each wait for the time-out of the direct route.
        const fixture = new Fixture();
        fixture.direct.mode = "silent";
        await fixture.settle(fixture.store.call({ kind: "read", key: "a" }, 500));
        // The other host answers before the direct call has failed.
        await fixture.clock.advance(300);
        expect(fixture.store.isDirectlyReachable).toEqual(false);
        for (let index = 0; index < 20; index++) {
            const sentAt = fixture.clock.getNow();
            expect((await fixture.commit(`b${index}`)).ok).toEqual(true);
            expect(fixture.clock.getNow() - sentAt <= 50).toEqual(true);
        }
        fixture.direct.mode = "up";
        await fixture.clock.advance(1_000);
        await fixture.commit("c");
        expect(fixture.store.isDirectlyReachable).toEqual(true);
    });

    it("returns a failure reported by the store itself without trying another route", async () => {
        const fixture = new Fixture();
        fixture.data.compact();
        const watched = await fixture.settle(
            fixture.store.call({ kind: "watch", prefix: "", afterRevision: 0, waitMs: 10 }),
        );
        expect((watched.val as Failure).code).toEqual("store-compacted");
    });
});
