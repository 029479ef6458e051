import { expect } from "earl";
import { describe, it } from "node:test";
import { canRetry, mergeVerdicts } from "./verdict.js";

describe("functions on verdicts", () => {
    describe("canRetry", () => {
        // Guards against a non-idempotent request that runs twice.
        it("allows a retry of work that may have run only if the work is idempotent", () => {
            expect(canRetry("mayHaveRun", false)).toEqual(false);
            expect(canRetry("mayHaveRun", true)).toEqual(true);
            expect(canRetry("notRun", false)).toEqual(true);
            expect(canRetry("ran", true)).toEqual(false);
        });
    });

    describe("mergeVerdicts", () => {
        // Guards against reporting `notRun` when one of two attempts may have run.
        it("returns `notRun` only if neither attempt may have run", () => {
            expect(mergeVerdicts("notRun", "mayHaveRun")).toEqual("mayHaveRun");
            expect(mergeVerdicts("notRun", "notRun")).toEqual("notRun");
            expect(mergeVerdicts("mayHaveRun", "ran")).toEqual("ran");
        });
    });
});
