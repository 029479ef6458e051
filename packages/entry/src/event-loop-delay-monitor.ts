/**
 * How late the timers of this process run. A busy process is late because it has more to do than it can, and work that it
 * still accepts then waits longer than its deadline.
 */
import type { Clock, Timer } from "@waxwingroute/core";

/** Period of the measurement, in milliseconds. */
const samplePeriodMs = 20;

/** Measurements in a row that must be late: one late timer can be a garbage collection or code that is being compiled. */
const sampleCount = 3;

export class EventLoopDelayMonitor {
    private timer: Timer | undefined;
    private recentDelaysMs: readonly number[] = [];

    constructor(private readonly clock: Clock) {}

    /** Milliseconds by which each of the last three timers was late at least. */
    get sustainedDelayMs(): number {
        return this.recentDelaysMs.length < sampleCount ? 0 : Math.min(...this.recentDelaysMs);
    }

    start(): void {
        const dueAt = this.clock.getNow() + samplePeriodMs;
        this.timer = this.clock.schedule(samplePeriodMs, () => {
            const delayMs = Math.max(0, this.clock.getNow() - dueAt);
            this.recentDelaysMs = [...this.recentDelaysMs, delayMs].slice(-sampleCount);
            this.start();
        });
    }

    stop(): void {
        this.timer?.cancel();
    }
}
