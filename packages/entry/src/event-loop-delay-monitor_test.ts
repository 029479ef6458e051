import { Clock } from "@waxwingroute/core";
import type { Timer } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { EventLoopDelayMonitor } from "./event-loop-delay-monitor.js";

/** A clock whose timer runs only when the test calls it, as late as in a busy process. */
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
    // Guards against refusing all requests after one pause, and against accepting requests while timers are always
    // late.
    it("reports the smallest delay of the last three timers", () => {
        const clock = new BusyClock();
        const monitor = new EventLoopDelayMonitor(clock);
        monitor.start();
        const delays = [20, 170, 190, 210, 330, 410, 500, 520].map(now => {
            clock.now = now;
            clock.callback();
            return monitor.sustainedDelayMs;
        });
        expect(delays).toEqual([0, 0, 0, 0, 0, 0, 60, 0]);
    });
});
