/**
 * How late the timers of this process run. A busy process is late because it has more to do than it can, and work that it
 * still accepts then waits longer than its deadline.
 */
import type { Clock, Timer } from "@waxwingroute/core";

/** Period of the measurement, in milliseconds. */
const periodMs = 20;

/** Measurements in a row that must be late: one late timer can be a garbage collection or code that is being compiled. */
const sampleCount = 3;

export class LoopDelay {
    private timer: Timer | undefined;
    private samples: readonly number[] = [];

    constructor(private readonly clock: Clock) {}

    /** Milliseconds by which each of the last three timers was late at least. */
    get delayMs(): number {
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
