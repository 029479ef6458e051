import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Announcer } from "./announcer.js";
import type { StoreItem } from "./store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

function createItem(revision: number): StoreItem {
    return { key: `k${revision}`, value: "", revision, createdRevision: revision };
}

class Fixture {
    readonly clock = new ManualClock();
    readonly calls: { readonly revisions: readonly number[]; readonly timeoutMs: number; }[] = [];
    isOwnerUp = true;
    answerMs = 10;
    readonly confirmed = new Set<number>();
    readonly announcer = new Announcer({
        clock: this.clock,
        supervisor: createStrictSupervisor(this.clock),
        send: async (items, timeoutMs) => {
            const revisions = items.map(item => item.revision);
            this.calls.push({ revisions, timeoutMs });
            await this.clock.wait(Math.min(this.answerMs, timeoutMs));
            const isConfirmed = this.isOwnerUp && this.answerMs < timeoutMs;
            revisions.filter(() => isConfirmed).forEach(revision => this.confirmed.add(revision));
            return isConfirmed;
        },
    });
}

describe("Announcer", () => {
    it("repeats an announcement until an owner has confirmed it", async () => {
        // Guards against a cancelled job that starts seconds later, because the owner did not hear of the cancellation.
        const fixture = new Fixture();
        fixture.isOwnerUp = false;
        fixture.announcer.add([createItem(1)]);
        await fixture.clock.advance(5_000);
        expect(fixture.calls.length > 5).toEqual(true);
        fixture.isOwnerUp = true;
        await fixture.clock.advance(500);
        expect([...fixture.confirmed]).toEqual([1]);
        expect(fixture.announcer.backlog).toEqual(0);
        const { length } = fixture.calls;
        await fixture.clock.advance(5_000);
        expect(fixture.calls.length).toEqual(length);
    });

    it("waits longer for an owner that answers slowly", async () => {
        // Guards against an owner under load that answers each repetition too late.
        const fixture = new Fixture();
        fixture.answerMs = 1_800;
        fixture.announcer.add([createItem(1)]);
        await fixture.clock.advance(8_000);
        expect([...fixture.confirmed]).toEqual([1]);
    });

    it("sends what was stored meanwhile together", async () => {
        // Guards against more calls the slower the owner answers.
        const fixture = new Fixture();
        fixture.answerMs = 400;
        for (let revision = 1; revision <= 100; revision++) {
            fixture.announcer.add([createItem(revision)]);
            await fixture.clock.advance(10);
        }
        await fixture.clock.advance(1_000);
        expect(fixture.confirmed.size).toEqual(100);
        expect(fixture.calls.length <= 12).toEqual(true);
    });

    it("tells a caller when an owner has confirmed an item, and does not wait for ever", async () => {
        // Guards against a cancellation that is acknowledged while the owner may still start the job.
        const fixture = new Fixture();
        const ended: string[] = [];
        fixture.isOwnerUp = false;
        fixture.announcer.add([createItem(1)]);
        void fixture.announcer.waitUntilConfirmed("k1", 1_000).then(() => ended.push("bounded"));
        void fixture.announcer.waitUntilConfirmed("k1", 9_000).then(() => ended.push("confirmed"));
        void fixture.announcer.waitUntilConfirmed("k2", 9_000).then(() => ended.push("not added"));
        await fixture.clock.advance(1_500);
        expect(ended).toEqual(["not added", "bounded"]);
        fixture.isOwnerUp = true;
        await fixture.clock.advance(1_000);
        expect(ended).toEqual(["not added", "bounded", "confirmed"]);
    });

    it("keeps a bounded number of items while there is no owner", async () => {
        // Guards against memory that grows for as long as the cell has no owner.
        const fixture = new Fixture();
        fixture.isOwnerUp = false;
        for (let revision = 1; revision <= 9_000; revision++) {
            fixture.announcer.add([createItem(revision)]);
        }
        await fixture.clock.advance(3_000);
        expect(fixture.announcer.backlog <= 5_600).toEqual(true);
    });
});
