import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecutorClock, slowestRate } from "./executor-clock.js";

describe("the clock of an executor", () => {
    // Guards against a slow clock that steps back, which no steady clock does.
    it("goes on from its time when its rate changes", () => {
        let time = 0;
        const clock = new ExecutorClock(() => time);
        time = 1_000;
        clock.setRate(slowestRate);
        time = 2_000;
        expect(clock.now).toEqual(1_980);
        expect(clock.convertToElapsed(980)).toEqual(1_000);
        clock.setRate(1);
        time = 2_500;
        expect(clock.now).toEqual(2_480);
    });

    it("begins at another origin in a new life, at its rate", () => {
        let time = 500;
        const clock = new ExecutorClock(() => time);
        clock.setRate(slowestRate);
        clock.restart(70_000);
        time = 1_500;
        expect(clock.now).toEqual(70_980);
    });
});
