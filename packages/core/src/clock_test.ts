import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "./clock.js";

describe("ManualClock", () => {
    // Guards against timers that run out of order and so hide races from tests.
    it("runs timers in the order in which they become due", async () => {
        const clock = new ManualClock();
        const calls: string[] = [];
        clock.schedule(20, () => calls.push(`late at ${clock.getNow()}`));
        clock.schedule(10, () => calls.push(`early at ${clock.getNow()}`));
        clock.schedule(30, () => calls.push("beyond"));
        await clock.advance(25);
        expect(calls).toEqual(["early at 10", "late at 20"]);
        expect(clock.getNow()).toEqual(25);
    });

    // Guards against a timeout that fires after its operation has ended.
    it("does not run a cancelled timer", async () => {
        const clock = new ManualClock();
        let count = 0;
        const timer = clock.schedule(10, () => {
            count++;
        });
        timer.cancel();
        await clock.advance(100);
        expect(count).toEqual(0);
    });
});
