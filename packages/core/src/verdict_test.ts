import { expect } from "earl";
import { describe, it } from "node:test";
import { canRetry, mergeVerdicts } from "./verdict.js";

describe("verdict", () => {
    describe("canRetry", () => {
        // Guards against a non-idempotent request that runs twice.
        it("refuses a second attempt at non-idempotent work that may have run", () => {
            expect(canRetry("mayHaveRun", false)).toEqual(false);
            expect(canRetry("mayHaveRun", true)).toEqual(true);
            expect(canRetry("notRun", false)).toEqual(true);
            expect(canRetry("ran", true)).toEqual(false);
        });
    });

    describe("mergeVerdicts", () => {
        // Guards against reporting "not run" when one of two attempts may have run.
        it("keeps the verdict of the attempt that may have run", () => {
            expect(mergeVerdicts("notRun", "mayHaveRun")).toEqual("mayHaveRun");
            expect(mergeVerdicts("notRun", "notRun")).toEqual("notRun");
            expect(mergeVerdicts("mayHaveRun", "ran")).toEqual("ran");
        });
    });
});
