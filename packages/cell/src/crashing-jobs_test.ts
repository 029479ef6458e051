import { expect } from "earl";
import { describe, it } from "node:test";
import { runCrashSimulation } from "./testing/crash-simulation.js";

/** Time after the last arrival within which sound jobs are done and crashing ones are given up, ms. */
const calmMs = 60_000;
/** Three crashes under a task are followed by fewer than three more starts. */
const maxCrashes = 5;

describe("sound jobs beside some that crash their executors", () => {
    const cases = [
        { name: "20 ms after the start", crashAfterMs: [20] },
        { name: "80 ms after the start", crashAfterMs: [80] },
        { name: "400 ms after the start", crashAfterMs: [400] },
        { name: "2 s after the start", crashAfterMs: [2_000] },
        { name: "at various times", crashAfterMs: [20, 80, 400, 1_000, 2_000] },
    ];
    for (const { name, crashAfterMs } of cases) {
        it(`are all done and the others given up after few crashes: ${name}`, async () => {
            // Guards against neighbours that wait without a bound beside crashes later than the first listing.
            const result = await runCrashSimulation({ crashAfterMs, seed: 1, calmMs });
            expect(result.violations).toEqual([]);
            expect(result.failedSoundJobs).toEqual([]);
            expect(result.unfinished).toEqual([]);
            expect(result.openCrashingJobs).toEqual([]);
            expect(result.mostCrashes <= maxCrashes).toEqual(true);
        });
    }
});
