import { expect } from "earl";
import { describe, it } from "node:test";
import { StandingSimulation } from "./testing/standing-simulation.js";

/** Seeds that CI runs; `WAXWING_SEEDS=<first>-<last>` runs others by hand. */
const [first = 1, last = 20] = (process.env.WAXWING_SEEDS ?? "").split("-").filter(Boolean).map(Number);

describe("steps whose tasks could start after trouble has ended", () => {
    const kinds = [
        { name: "lost advice, refused starts and executors that leave", options: {} },
        { name: "the same with gangs", options: { hasGangs: true } },
        { name: "the same with tasks that crash their executors", options: { hasCrashes: true } },
    ];
    for (const { name, options } of kinds) {
        for (let seed = first; seed <= last; seed++) {
            it(`do not stand: ${name} (seed ${seed})`, () => {
                // Guards against steps that wait for something that is remembered and never asked again.
                expect(new StandingSimulation({ seed, ...options }).run()).toEqual([]);
            });
        }
    }
});
