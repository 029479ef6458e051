import { expect } from "earl";
import { describe, it } from "node:test";
import { AdviceFixture } from "./testing/advice-fixture.js";

describe("AdviceDispatcher", () => {
    describe("with an advisor that is slower than declared", () => {
        it("lets its answers through instead of giving up each call before its answer", async () => {
            const fixture = new AdviceFixture(1);
            fixture.service.setFault("up", 5);
            await fixture.sendRepeatedly("l", 20_000);
            expect(fixture.service.counts.abandoned <= 2).toEqual(true);
            expect(fixture.countGranted() >= 5).toEqual(true);
        });

        it("does not let calls that were given up pile up at the advisor", async () => {
            const fixture = new AdviceFixture(1);
            fixture.service.setFault("up", 12);
            expect(await fixture.sendRepeatedly("l", 60_000) <= 2).toEqual(true);
        });

        it("returns to the declared times soon after the advisor does", async () => {
            const fixture = new AdviceFixture(1);
            fixture.service.setFault("up", 5);
            await fixture.sendRepeatedly("l", 20_000);
            fixture.service.setFault("up");
            await fixture.sendRepeatedly("l", 4_000);
            const before = fixture.countGranted();
            await fixture.sendRepeatedly("l", 4_100);
            expect(fixture.countGranted() - before >= 9).toEqual(true);
        });
    });

    it("remembers the work that an advisor still does for a host that was removed and added again", async () => {
        const fixture = new AdviceFixture(1);
        fixture.service.setFault("up", 5);
        fixture.send("l1");
        await fixture.clock.advance(1_500);
        expect(fixture.countGranted()).toEqual(0);
        fixture.removeHost("h0");
        fixture.addHost("h0");
        expect(fixture.send("l2")).toEqual("noHost");
        await fixture.clock.advance(2_000);
        expect(fixture.send("l2")).toEqual("sent");
    });

    it("keeps the calls in flight in the account of a host that subscribes again", async () => {
        const fixture = new AdviceFixture(1);
        fixture.send("l1");
        fixture.addHost("h0");
        expect(fixture.send("l2")).toEqual("noHost");
        await fixture.clock.advance(500);
        expect(fixture.countGranted()).toEqual(1);
        expect(fixture.send("l2")).toEqual("sent");
    });

    describe("with a broken way to the advisor", () => {
        for (const mode of ["silent", "refusing"] as const) {
            it(`sends calls through other hosts first while the advisor is ${mode} for one`, async () => {
                // Guards against a failed call that counts as distance, so that the broken way gets the next long call.
                const fixture = new AdviceFixture(4);
                fixture.addHost("h0", 100);
                await fixture.sendRepeatedly("l", 3_000, 2);
                fixture.service.getAdvisor("h0").mode = mode;
                await fixture.sendRepeatedly("l", 20_000, 2);
                const failed = fixture.listLines("advice").filter(({ code }) => code !== undefined);
                expect(failed.map(({ caller }) => caller)).toEqual(["h0"]);
            });
        }

        it("is used again once no other host is free, and after it has answered like the others", async () => {
            const fixture = new AdviceFixture(2);
            fixture.service.getAdvisor("h0").mode = "refusing";
            fixture.send("s1");
            await fixture.clock.advance(100);
            expect(fixture.getHost("h0").failuresInRow).toEqual(1);
            fixture.service.getAdvisor("h0").mode = "up";
            await fixture.sendRepeatedly("s", 3_000, 20);
            expect(fixture.getHost("h0").failuresInRow).toEqual(0);
        });
    });
});
