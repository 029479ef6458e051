import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { PauseMeter } from "./pause-meter.js";

describe("PauseMeter", () => {
    it("tells for a time that the process has woken from a long pause, from the first moment on", async () => {
        // Guards against submissions that were sent before a pause and are carried out after it as if they were new.
        const clock = new ManualClock();
        const meter = new PauseMeter({ clock, isNeeded: () => true });
        meter.start();
        await clock.advance(1_000);
        expect(meter.hasWokenFrom(60_000, 2_000)).toEqual(false);
        clock.pause(70_000);
        expect(meter.hasWokenFrom(60_000, 2_000)).toEqual(true);
        await clock.advance(1_900);
        expect(meter.hasWokenFrom(60_000, 2_000)).toEqual(true);
        await clock.advance(200);
        expect(meter.hasWokenFrom(60_000, 2_000)).toEqual(false);
    });

    it("does not count the usual delays of a busy process, and not a shorter pause", async () => {
        const clock = new ManualClock();
        const meter = new PauseMeter({ clock, isNeeded: () => true });
        meter.start();
        for (let count = 0; count < 100; count++) {
            await clock.advance(100);
            clock.pause(4_000);
            expect(meter.hasWokenFrom(60_000, 2_000)).toEqual(false);
        }
    });
});
