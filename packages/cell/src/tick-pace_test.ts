import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { TickPace } from "./tick-pace.js";

/** Ticks that take a given time of a clock that only they advance. */
class FixedCostClock extends ManualClock {
    spentMs = 0;

    override getNow(): number {
        return super.getNow() + this.spentMs;
    }
}

describe("TickPace", () => {
    // Guards against an overloaded owner that decides all the time and answers neither executors nor the store.
    it("leaves three quarters of the time to other work while ticks are long, and recovers afterwards", () => {
        const clock = new FixedCostClock();
        const pace = new TickPace(clock);
        const tick = (ms: number) =>
            pace.measure(() => {
                clock.spentMs += ms;
            });
        expect(pace.delayMs).toEqual(5);
        Array.from({ length: 20 }, () => tick(12));
        expect(Math.round(pace.delayMs)).toEqual(36);
        Array.from({ length: 20 }, () => tick(0));
        expect(pace.delayMs).toEqual(5);
    });

    // Guards against urgent work that waits for one long tick.
    it("never waits longer than 60 ms", () => {
        const clock = new FixedCostClock();
        const pace = new TickPace(clock);
        pace.measure(() => {
            clock.spentMs += 5_000;
        });
        expect(pace.delayMs).toEqual(60);
    });
});
