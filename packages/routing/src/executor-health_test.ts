import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecutorHealth, selectOutliers } from "./executor-health.js";

describe("ExecutorHealth", () => {
    // Guards against ejections for a fault that all executors share, and against the ejection of most of a shard.
    it("selects executors below half of the median, lowest first, within the limit", () => {
        expect(selectOutliers([1, 1, 0.4, 0.1, 0.9, undefined], 2)).toEqual([3, 2]);
        expect(selectOutliers([1, 1, 0.4, 0.1, 0.9, 1], 1)).toEqual([3]);
        expect(selectOutliers([0.1, 0.1, 0.1, 0.1], 2)).toEqual([]);
        expect(selectOutliers([1, 0], 1)).toEqual([]);
    });

    // Guards against ejections because of too few samples, or of old ones.
    it("computes a success rate only from five or more samples in 30 s", () => {
        const health = new ExecutorHealth(5000);
        for (let sample = 0; sample < 4; sample++) {
            health.record(false, false, 0);
        }
        expect(health.computeSuccessRate(0)).toEqual(undefined);
        health.record(true, false, 0);
        expect(health.computeSuccessRate(29_999)).toEqual(0.2);
        expect(health.computeSuccessRate(30_000)).toEqual(undefined);
    });

    // Guards against probes that are never sent less often although the executor still fails.
    it("doubles the time to the next probe after a failed probe", () => {
        const health = new ExecutorHealth(5000);
        health.startEjection(0);
        expect([health.canProbe(true, 4999), health.canProbe(true, 5000), health.canProbe(false, 34_999)])
            .toEqual([false, true, false]);
        health.record(false, true, 5000);
        expect([health.canProbe(true, 14_999), health.canProbe(true, 15_000), health.canProbe(false, 45_000)])
            .toEqual([false, true, true]);
    });
});
