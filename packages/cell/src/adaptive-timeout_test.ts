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
    it("waits longest before it has seen an answer", () => {
        expect(new AdaptiveTimeout(new ManualClock(), 600).choose(0)).toEqual(600);
    });

    it("notices a lost answer of a fast store soon, and waits longer with each attempt", async () => {
        // Guards against lost answers that each cost the time-out of the slowest store.
        const clock = new ManualClock();
        const timeout = new AdaptiveTimeout(clock, 600);
        await recordAnswers(clock, timeout, 10, 5);
        expect([0, 1, 2].map(attempt => timeout.choose(attempt))).toEqual([200, 400, 600]);
    });

    it("waits for a slow store", async () => {
        // Guards against a slow store that gets every call several times.
        const clock = new ManualClock();
        const timeout = new AdaptiveTimeout(clock, 1_000);
        await recordAnswers(clock, timeout, 10, 5);
        await recordAnswers(clock, timeout, 240, 20);
        expect(timeout.choose(0) > 700).toEqual(true);
    });
});
