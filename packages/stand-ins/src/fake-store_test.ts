import type { Failure, Result, WriterToken } from "@waxwingroute/core";
import { ManualClock } from "@waxwingroute/core";
import type { WritePrecondition } from "@waxwingroute/platform";
import { expect } from "earl";
import { describe, it } from "node:test";
import { FakeStore } from "./fake-store.js";

const absent: WritePrecondition = { kind: "absent" };

function createWrite(key: string, expected: WritePrecondition = absent, value = "v", token = "t") {
    return { key, value, expected, token: token as WriterToken };
}

function getCode(result: Result<unknown, Failure>): unknown {
    return result.ok ? "ok" : [result.val.code, result.val.verdict];
}

describe("FakeStore", () => {
    // Guards against two writers that both believe that they won.
    it("accepts one of two writes from the same revision", async () => {
        const store = new FakeStore({ clock: new ManualClock() });
        const first = await store.write(createWrite("a"));
        const revision = first.unwrap();
        expect(getCode(await store.write(createWrite("a")))).toEqual(["store-conflict", "notRun"]);
        expect(getCode(await store.write(createWrite("a", { kind: "revision", revision })))).toEqual("ok");
        expect(getCode(await store.write(createWrite("a", { kind: "revision", revision })))).toEqual([
            "store-conflict",
            "notRun",
        ]);
        expect(getCode(await store.delete("a", revision))).toEqual(["store-conflict", "notRun"]);
        expect(getCode(await store.delete("a", revision + 1))).toEqual("ok");
        expect((await store.read("a")).val).toEqual(undefined);
    });

    // Guards against a revision order that differs between keys: configuration relies on one order.
    it("gives all keys one revision order and reads ranges sorted by key", async () => {
        const store = new FakeStore({ clock: new ManualClock() });
        await store.write(createWrite("b/2"));
        await store.write(createWrite("b/1"));
        await store.write(createWrite("c"));
        const range = (await store.readRange("b/")).unwrap();
        expect(range.entries.map(entry => [entry.key, entry.revision])).toEqual([["b/1", 2], ["b/2", 1]]);
        expect(range.revision).toEqual(3);
    });

    // Guards against tests of lost answers that lose the write as well.
    it("loses the answer to a write that took effect, and shows its token", async () => {
        const clock = new ManualClock();
        const store = new FakeStore({ clock });
        store.gate.answersToLose = 1;
        const lost = store.write(createWrite("a", absent, "v", "token-1"));
        await clock.advance(1_000);
        expect(getCode(await lost)).toEqual(["store-timeout", "mayHaveRun"]);
        expect((await store.readToken("a")).val).toEqual({ token: "token-1" as WriterToken, revision: 1 });
        expect(getCode(await store.write(createWrite("b")))).toEqual("ok");
    });

    describe("watch", () => {
        it("waits for a change below the prefix and returns all changes after the revision", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            const watching = store.watch("a/", 0, 10_000);
            await store.write(createWrite("b/1"));
            await clock.advance(100);
            await store.write(createWrite("a/1"));
            await store.delete("a/1", 2);
            const watched = (await watching).unwrap();
            expect(watched.changes.map(change => [change.key, change.revision])).toEqual([["a/1", 2]]);
            const next = (await store.watch("a/", watched.revision, 10_000)).unwrap();
            expect(next.changes).toEqual([{ key: "a/1", value: undefined, revision: 3 }]);
        });

        it("ends without changes after its wait", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            const watching = store.watch("a/", 0, 5_000);
            await clock.advance(5_000);
            expect((await watching).unwrap()).toEqual({ changes: [], revision: 0 });
            expect(store.state.counts.watches).toEqual(1);
        });

        // Guards against a watcher that misses changes because the store no longer has them.
        it("fails from a revision that is no longer kept", async () => {
            const store = new FakeStore({ clock: new ManualClock(), historyLength: 2 });
            for (const key of ["a", "b", "c", "d"]) {
                await store.write(createWrite(key));
            }
            expect(getCode(await store.watch("", 1, 0))).toEqual(["store-compacted", "notRun"]);
            expect((await store.watch("", 2, 0)).unwrap().changes.length).toEqual(2);
        });
    });

    describe("faults", () => {
        it("refuses while down and keeps its content", async () => {
            const store = new FakeStore({ clock: new ManualClock() });
            await store.write(createWrite("a"));
            store.gate.setDown(true);
            expect(getCode(await store.read("a"))).toEqual(["store-unavailable", "notRun"]);
            store.gate.setDown(false);
            expect((await store.read("a")).unwrap()?.revision).toEqual(1);
        });

        // Guards against a partition that also cuts the other zones, or that lets a write through.
        it("drops calls of one source only", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            store.gate.setCut("glasgow", true);
            const cut = store.forSource("glasgow/host-1").write(createWrite("a"));
            expect(getCode(await store.forSource("dundee/host-1").write(createWrite("b")))).toEqual("ok");
            await clock.advance(1_000);
            expect(getCode(await cut)).toEqual(["store-timeout", "mayHaveRun"]);
            expect((await store.read("a")).val).toEqual(undefined);
        });

        // Guards against tests that never see a write that takes effect after its caller gave up.
        it("applies held writes when it goes on, after their caller gave up", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            store.gate.setHanging(true);
            const held = store.write(createWrite("a"));
            await clock.advance(1_000);
            expect(getCode(await held)).toEqual(["store-timeout", "mayHaveRun"]);
            store.gate.setHanging(false);
            await clock.advance(0);
            expect((await store.read("a")).unwrap()?.value).toEqual("v");
        });

        it("delays calls while slow", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            store.gate.delayMs = 300;
            const slow = store.write(createWrite("a"));
            await clock.advance(299);
            expect(store.state.counts.writes).toEqual(0);
            await clock.advance(1);
            expect(getCode(await slow)).toEqual("ok");
        });
    });

    // Guards against journal entries that the real store would refuse.
    it("refuses values above 1 MB, counted in bytes", async () => {
        const store = new FakeStore({ clock: new ManualClock() });
        const twoByteCharacters = "é".repeat(524_289);
        expect(getCode(await store.write(createWrite("a", absent, twoByteCharacters)))).toEqual([
            "store-too-large",
            "notRun",
        ]);
        expect(getCode(await store.write(createWrite("a", absent, "x".repeat(1_048_576))))).toEqual("ok");
    });
});
