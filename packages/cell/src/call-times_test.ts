import { expect } from "earl";
import { describe, it } from "node:test";
import { answerMarginMs, configurationConfirmationMs, leastServingMs, storeAttemptMs } from "./call-times.js";

describe("the time that has to be left for a call", () => {
    it("suffices to confirm it and to try once to store it before all open calls are answered", () => {
        // Guards against calls that a shutdown begins and then answers with an unknown outcome.
        expect(leastServingMs - answerMarginMs >= configurationConfirmationMs + storeAttemptMs).toEqual(true);
    });
});
