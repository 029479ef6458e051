/**
 * Measures the delay of the event loop: how late timers of this process run. Timers are late while the process has more
 * work than it can handle, and requests that it still accepts then miss their deadlines.
 */
import type { Clock, Timer } from "@waxwingroute/core";

/** Interval between measurements, in milliseconds. */
const periodMs = 20;

/** Consecutive measurements that must be late, because garbage collection or compilation can delay a single timer. */
const sampleCount = 3;

/** Reports a delay only when the last three timers were all late. */
export class EventLoopDelayMonitor {
    private timer: Timer | undefined;
    private samples: readonly number[] = [];

    constructor(private readonly clock: Clock) {}

    /** Smallest delay of the last three timers, in milliseconds; 0 before the third measurement. */
    get sustainedDelayMs(): number {
        return this.samples.length < sampleCount ? 0 : Math.min(...this.samples);
    }

    start(): void {
        const dueAt = this.clock.getNow() + periodMs;
        this.timer = this.clock.schedule(periodMs, () => {
            const delayMs = Math.max(0, this.clock.getNow() - dueAt);
            this.samples = [...this.samples, delayMs].slice(-sampleCount);
            this.start();
        });
    }

    stop(): void {
        this.timer?.cancel();
    }
}
