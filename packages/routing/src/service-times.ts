/**
 * Service time estimates of all queues.
 */
import type { QueueId } from "@waxwingroute/core";
import { ServiceTimeEstimator } from "./service-time-estimator.js";

/** Estimates the service time of each queue. */
export class ServiceTimes {
    private readonly byQueue = new Map<QueueId, ServiceTimeEstimator>();

    record(queue: QueueId, durationMs: number, now: number): void {
        let estimator = this.byQueue.get(queue);
        if (estimator === undefined) {
            estimator = new ServiceTimeEstimator();
            this.byQueue.set(queue, estimator);
        }
        estimator.record(durationMs, now);
    }

    /** Returns the mean in milliseconds, or 0 without an estimate. */
    estimateMean(queue: QueueId, now: number): number {
        return this.byQueue.get(queue)?.estimateMean(now) ?? 0;
    }

    /** Returns the mean deviation in milliseconds, or 0 without an estimate. */
    estimateDeviation(queue: QueueId, now: number): number {
        return this.byQueue.get(queue)?.estimateDeviation(now) ?? 0;
    }
}
