/**
 * Recent service times of all queues.
 */
import type { QueueId } from "@waxwingroute/core";
import { ServiceTime } from "./service-time.js";

export class ServiceTimes {
    private readonly byQueue = new Map<QueueId, ServiceTime>();

    record(queue: QueueId, durationMs: number, now: number): void {
        let time = this.byQueue.get(queue);
        if (time === undefined) {
            time = new ServiceTime();
            this.byQueue.set(queue, time);
        }
        time.record(durationMs, now);
    }

    /** Returns the mean in milliseconds, or 0 if too little is known. */
    estimateMean(queue: QueueId, now: number): number {
        return this.byQueue.get(queue)?.estimateMean(now) ?? 0;
    }

    /** Returns the mean deviation in milliseconds, or 0 if too little is known. */
    estimateDeviation(queue: QueueId, now: number): number {
        return this.byQueue.get(queue)?.estimateDeviation(now) ?? 0;
    }
}
