import { Clock } from "@waxwingroute/core";
import type { Timer } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { LoopDelay } from "./loop-delay.js";

/** A clock whose timer runs only when the test says so, as in a process that is busy. */
class BusyClock extends Clock {
    now = 0;
    callback: () => void = () => undefined;

    getNow(): number {
        return this.now;
    }

    getWallTime(): number {
        return this.now;
    }

    schedule(_delayMs: number, callback: () => void): Timer {
        this.callback = callback;
        return { cancel: () => undefined };
    }
}

describe("LoopDelay", () => {
    it("tells how late the last timer ran, so that a busy entry process refuses work it cannot do in time", () => {
        const clock = new BusyClock();
        const delay = new LoopDelay(clock);
        delay.start();
        const seen = [20, 170, 190].map(now => {
            clock.now = now;
            clock.callback();
            return delay.delayMs;
        });
        expect(seen).toEqual([0, 130, 0]);
    });
});
