import { expect } from "earl";
import { describe, it } from "node:test";
import { aggregateSamples } from "./sample-summary.js";

describe("aggregateSamples", () => {
    it("sorts by number, since a sort by text would put 1000 before 9", () => {
        expect(aggregateSamples([9, 1_000, 30])).toEqual({ count: 3, minimum: 9, median: 30, maximum: 1_000 });
    });

    it("takes the mean of the two middle values of an even number", () => {
        expect(aggregateSamples([4, 1, 2, 9]).median).toEqual(3);
    });
});
