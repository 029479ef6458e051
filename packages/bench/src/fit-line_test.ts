import { expect } from "earl";
import { describe, it } from "node:test";
import { computeFit } from "./fit-line.js";

describe("computeFit", () => {
    it("returns the line through points on it", () => {
        const fit = computeFit([{ x: 1, y: 5 }, { x: 2, y: 7 }, { x: 4, y: 11 }]);
        expect(fit).toEqual({ slope: 2, intercept: 3, determination: 1 });
    });

    it("says that a line explains little of scattered points", () => {
        const fit = computeFit([{ x: 1, y: 0 }, { x: 2, y: 9 }, { x: 3, y: 0 }]);
        expect([fit.slope, fit.determination]).toEqual([0, 0]);
    });

    it("refuses points of one size, which would give an infinite slope", () => {
        expect(() => computeFit([{ x: 3, y: 1 }, { x: 3, y: 2 }])).toThrow("two different sizes");
    });
});
