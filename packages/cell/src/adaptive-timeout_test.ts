import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { AdaptiveTimeout } from "./adaptive-timeout.js";

async function recordAnswers(
    clock: ManualClock,
    timeout: AdaptiveTimeout,
    tookMs: number,
    count: number,
): Promise<void> {
    for (let index = 0; index < count; index++) {
        const sentAt = clock.getNow();
        await clock.advance(tookMs);
        timeout.recordAnswer(sentAt);
    }
}

describe("AnswerTimeout", () => {
    it("uses the longest time-out before the first answer", () => {
        expect(new AdaptiveTimeout(new ManualClock(), 600).choose(0)).toEqual(600);
    });

    it("uses a short time-out for a fast store and doubles it with each attempt", async () => {
        // Guards against lost answers of a fast store that each cost the longest time-out.
        const clock = new ManualClock();
        const timeout = new AdaptiveTimeout(clock, 600);
        await recordAnswers(clock, timeout, 10, 5);
        expect([0, 1, 2].map(attempt => timeout.choose(attempt))).toEqual([200, 400, 600]);
    });

    it("lengthens the time-out when the store becomes slow", async () => {
        // Guards against calls to a slow store that are all repeated, which slows it further.
        const clock = new ManualClock();
        const timeout = new AdaptiveTimeout(clock, 1_000);
        await recordAnswers(clock, timeout, 10, 5);
        await recordAnswers(clock, timeout, 240, 20);
        expect(timeout.choose(0) > 700).toEqual(true);
    });
});
