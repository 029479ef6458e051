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

    it("keeps all hosts open while the advisor rejects each request for a few steps", async () => {
        // Guards against a step that is unknown to the advisor and closes one host after another for all other steps.
        const fixture = new AdviceFixture(4);
        for (let round = 0; round < 100; round++) {
            fixture.send("r1");
            fixture.send("r2");
            await fixture.clock.advance(50);
            expect(fixture.dispatcher.listHostStates().map(host => host.backoffMs)).toEqual([0, 0, 0, 0]);
            expect(fixture.send("s1")).toEqual("sent");
            await fixture.clock.advance(50);
        }
        expect(fixture.countGranted()).toEqual(100);
        expect(fixture.dispatcher.statistics.getCounts(fixture.clock.getNow()).outcomes.rejected).toEqual(200);
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

    describe("with more long calls than the advisor can serve", () => {
        it("keeps the advisor at work on all hosts while no short calls come", async () => {
            // Guards against hosts that are kept free for nothing, and against an idle advisor for each round trip.
            const fixture = new AdviceFixture(4, 75);
            await fixture.sendRepeatedly("l", 5_000, 16);
            const before = fixture.service.counts.workedMs;
            await fixture.sendRepeatedly("l", 20_000, 16);
            expect((fixture.service.counts.workedMs - before) / (4 * 20_000) >= 0.9).toEqual(true);
        });

        it("answers short calls without the wait for a long one while they come", async () => {
            const fixture = new AdviceFixture(4, 5);
            const waitsMs = await measureShortCalls(fixture, 200);
            expect(Math.max(...waitsMs) <= 100).toEqual(true);
        });

        it("keeps a short call that comes after a time without any waiting for one long call at most", async () => {
            // Guards against rounds that end at long calls before they reach the short one, and against hosts that get long calls
            // one after another without being free of them in between.
            const fixture = new AdviceFixture(4, 5);
            await fixture.sendRepeatedly("l", 5_000, 16);
            const [waitMs = Infinity] = await measureShortCalls(fixture, 1);
            expect(waitMs <= 400 + 250).toEqual(true);
        });
    });

    describe("in a process that was paused", () => {
        it("does not close hosts whose time-outs passed in the pause", async () => {
            const fixture = new AdviceFixture(2);
            fixture.send("l1");
            await fixture.clock.advance(100);
            fixture.clock.pause(5_000);
            await fixture.clock.advance(20);
            expect(fixture.answers.map(({ isGranted }) => isGranted)).toEqual([false]);
            expect(fixture.getHost("h0")).toEqual(new AdviceFixture(2).getHost("h0"));
            await fixture.sendRepeatedly("l", 1_000, 2);
            expect(fixture.countGranted()).toEqual(4);
        });

        it("does not take the time of its pause for that of the advisor", async () => {
            const fixture = new AdviceFixture(1);
            fixture.send("l1");
            await fixture.clock.advance(100);
            fixture.clock.pause(1_200);
            await fixture.clock.advance(20);
            expect(fixture.countGranted()).toEqual(1);
            expect(fixture.getHost("h0")).toEqual(new AdviceFixture(1).getHost("h0"));
        });

        it("still closes a host whose call has no answer long after the pause", async () => {
            const fixture = new AdviceFixture(1);
            fixture.service.setFault("silent");
            fixture.send("l1");
            fixture.clock.pause(500);
            await fixture.clock.advance(1_000);
            fixture.send("l2");
            await fixture.clock.advance(4_000);
            expect(fixture.getHost("h0").failuresInRow > 0).toEqual(true);
        });
    });
});

/** Asks for a short call every 100 ms, with long calls before it in each round. Returns the times until the answers. */
async function measureShortCalls(fixture: AdviceFixture, count: number): Promise<number[]> {
    const waitsMs: number[] = [];
    for (let index = 0; index < count; index++) {
        const wantedAt = fixture.clock.getNow();
        const step = `s${wantedAt}`;
        let isSent = false;
        while (!fixture.answers.some(answer => answer.step === step) && fixture.clock.getNow() < wantedAt + 5_000) {
            const mayGoOn = fixture.sendAll("l", 16);
            isSent ||= mayGoOn && fixture.send(step) === "sent";
            await fixture.clock.advance(10);
        }
        waitsMs.push(fixture.clock.getNow() - wantedAt);
        await fixture.sendRepeatedly("l", Math.max(0, wantedAt + 100 - fixture.clock.getNow()), 16);
    }
    return waitsMs;
}
