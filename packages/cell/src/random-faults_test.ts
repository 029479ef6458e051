import { expect } from "earl";
import { describe, it } from "node:test";
import { runRandomFaults } from "./testing/random-faults.js";

/** Seeds of every run of CI; `WAXWING_SEEDS=<first>-<last>` plays others by hand. */
const seeds = listSeeds(process.env.WAXWING_SEEDS ?? "1-12");

describe("a cell under random faults", () => {
    for (const seed of seeds) {
        it(`runs no task in two places, none again after its end, and loses no accepted job (seed ${seed})`, async () => {
            const result = await runRandomFaults(seed);
            expect(result.violations).toEqual([]);
            expect(result.unfinished).toEqual([]);
            expect(result.starts > 20).toEqual(true);
        });
    }
});

function listSeeds(range: string): number[] {
    const [first = 1, last = first] = range.split("-").map(Number);
    return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}
