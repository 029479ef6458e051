import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { countIndexes, hasIndex, mergeIndexRanges, subtractIndexRanges, toIndexRanges } from "./index-ranges.js";

describe("index ranges", () => {
    // Guards against outcomes that are lost, or recorded for a task that has none, because ranges are merged wrongly.
    it("contain the same indexes as the sets that they represent", () => {
        const indexes = fc.array(fc.integer({ min: 0, max: 40 }));
        fc.assert(
            fc.property(indexes, indexes, (first, second) => {
                const [left, right] = [toIndexRanges(first), toIndexRanges(second)];
                const union = mergeIndexRanges(left, right);
                const rest = subtractIndexRanges(left, right);
                expect(countIndexes(union)).toEqual(new Set([...first, ...second]).size);
                for (let index = 0; index <= 41; index++) {
                    expect(hasIndex(union, index)).toEqual(first.includes(index) || second.includes(index));
                    expect(hasIndex(rest, index)).toEqual(first.includes(index) && !second.includes(index));
                }
            }),
            { seed: 1, numRuns: 300 },
        );
    });
});
