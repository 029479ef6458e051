import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecutorHealth, selectOutliers } from "./executor-health.js";

describe("executor health", () => {
    // Guards against ejection for a fault that all share, and against ejection of most of a shard.
    it("selects executors below half of the median, lowest first, within the limit", () => {
        expect(selectOutliers([1, 1, 0.4, 0.1, 0.9, undefined], 2)).toEqual([3, 2]);
        expect(selectOutliers([1, 1, 0.4, 0.1, 0.9, 1], 1)).toEqual([3]);
        expect(selectOutliers([0.1, 0.1, 0.1, 0.1], 2)).toEqual([]);
        expect(selectOutliers([1, 0], 1)).toEqual([]);
    });

    // Guards against judgement on a few samples, and on ones from long ago.
    it("has a rate only with five samples in 30 s", () => {
        const health = new ExecutorHealth(5000);
        for (let sample = 0; sample < 4; sample++) {
            health.record(false, false, 0);
        }
        expect(health.computeSuccessRate(0)).toEqual(undefined);
        health.record(true, false, 0);
        expect(health.computeSuccessRate(29_999)).toEqual(0.2);
        expect(health.computeSuccessRate(30_000)).toEqual(undefined);
    });

    // Guards against an executor that still fails and is probed at the same rate for ever.
    it("doubles the time to the next probe after a failed one", () => {
        const health = new ExecutorHealth(5000);
        health.startEjection(0);
        expect([health.canProbe(true, 4999), health.canProbe(true, 5000), health.canProbe(false, 34_999)])
            .toEqual([false, true, false]);
        health.record(false, true, 5000);
        expect([health.canProbe(true, 14_999), health.canProbe(true, 15_000), health.canProbe(false, 45_000)])
            .toEqual([false, true, true]);
    });
});
