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

function describeResult(result: Result<unknown, Failure>): unknown {
    return result.ok ? "ok" : [result.val.code, result.val.verdict];
}

describe("FakeStore", () => {
    // Guards against two writers whose writes both succeed.
    it("accepts only one of two writes that expect the same revision", async () => {
        const store = new FakeStore({ clock: new ManualClock() });
        const first = await store.write(createWrite("a"));
        const revision = first.unwrap();
        expect(describeResult(await store.write(createWrite("a")))).toEqual(["store-conflict", "notRun"]);
        expect(describeResult(await store.write(createWrite("a", { kind: "revision", revision })))).toEqual("ok");
        expect(describeResult(await store.write(createWrite("a", { kind: "revision", revision })))).toEqual([
            "store-conflict",
            "notRun",
        ]);
        expect(describeResult(await store.delete("a", revision))).toEqual(["store-conflict", "notRun"]);
        expect(describeResult(await store.delete("a", revision + 1))).toEqual("ok");
        expect((await store.read("a")).val).toEqual(undefined);
    });

    // Guards against revisions counted per key: configuration relies on one order of all revisions.
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
    it("loses the answer to a write that took effect, and returns the token of the write", async () => {
        const clock = new ManualClock();
        const store = new FakeStore({ clock });
        store.faults.answersToLose = 1;
        const lost = store.write(createWrite("a", absent, "v", "token-1"));
        await clock.advance(1_000);
        expect(describeResult(await lost)).toEqual(["store-timeout", "mayHaveRun"]);
        expect((await store.readToken("a")).val).toEqual({ token: "token-1" as WriterToken, revision: 1 });
        expect(describeResult(await store.write(createWrite("b")))).toEqual("ok");
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

        it("returns no changes when its wait ends", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            const watching = store.watch("a/", 0, 5_000);
            await clock.advance(5_000);
            expect((await watching).unwrap()).toEqual({ changes: [], revision: 0 });
            expect(store.state.counts.watches).toEqual(1);
        });

        // Guards against a watcher that silently misses changes which the store has dropped.
        it("fails when it begins at a revision that is no longer kept", async () => {
            const store = new FakeStore({ clock: new ManualClock(), historyLength: 2 });
            for (const key of ["a", "b", "c", "d"]) {
                await store.write(createWrite(key));
            }
            expect(describeResult(await store.watch("", 1, 0))).toEqual(["store-compacted", "notRun"]);
            expect((await store.watch("", 2, 0)).unwrap().changes.length).toEqual(2);
        });
    });

    describe("faults", () => {
        it("refuses calls while down and keeps its content", async () => {
            const store = new FakeStore({ clock: new ManualClock() });
            await store.write(createWrite("a"));
            store.faults.setDown(true);
            expect(describeResult(await store.read("a"))).toEqual(["store-unavailable", "notRun"]);
            store.faults.setDown(false);
            expect((await store.read("a")).unwrap()?.revision).toEqual(1);
        });

        // Guards against a partition that also cuts off other zones, or lets a write through.
        it("drops calls of one source only", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            store.faults.setCut("glasgow", true);
            const cut = store.forSource("glasgow/host-1").write(createWrite("a"));
            expect(describeResult(await store.forSource("dundee/host-1").write(createWrite("b")))).toEqual("ok");
            await clock.advance(1_000);
            expect(describeResult(await cut)).toEqual(["store-timeout", "mayHaveRun"]);
            expect((await store.read("a")).val).toEqual(undefined);
        });

        // Guards against tests in which no write takes effect after its caller timed out.
        it("applies hanging writes when the hang ends, after their caller timed out", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            store.faults.setHanging(true);
            const held = store.write(createWrite("a"));
            await clock.advance(1_000);
            expect(describeResult(await held)).toEqual(["store-timeout", "mayHaveRun"]);
            store.faults.setHanging(false);
            await clock.advance(0);
            expect((await store.read("a")).unwrap()?.value).toEqual("v");
        });

        it("delays each call by the configured time", async () => {
            const clock = new ManualClock();
            const store = new FakeStore({ clock });
            store.faults.delayMs = 300;
            const slow = store.write(createWrite("a"));
            await clock.advance(299);
            expect(store.state.counts.writes).toEqual(0);
            await clock.advance(1);
            expect(describeResult(await slow)).toEqual("ok");
        });
    });

    // Guards against journal entries that the real store would refuse.
    it("refuses values above 1 MiB, counted in bytes", async () => {
        const store = new FakeStore({ clock: new ManualClock() });
        const twoByteCharacters = "é".repeat(524_289);
        expect(describeResult(await store.write(createWrite("a", absent, twoByteCharacters)))).toEqual([
            "store-too-large",
            "notRun",
        ]);
        expect(describeResult(await store.write(createWrite("a", absent, "x".repeat(1_048_576))))).toEqual("ok");
    });
});
