/**
 * How late the timers of this process run. A busy process is late because it has more to do than it can, and work that it
 * still accepts then waits longer than its deadline.
 */
import type { Clock, Timer } from "@waxwingroute/core";

/** Period of the measurement, in milliseconds. */
const periodMs = 20;

export class LoopDelay {
    private timer: Timer | undefined;
    private lastDelayMs = 0;

    constructor(private readonly clock: Clock) {}

    /** Milliseconds by which the last timer was late. */
    get delayMs(): number {
        return this.lastDelayMs;
    }

    start(): void {
        const dueAt = this.clock.getNow() + periodMs;
        this.timer = this.clock.schedule(periodMs, () => {
            this.lastDelayMs = Math.max(0, this.clock.getNow() - dueAt);
            this.start();
        });
    }

    stop(): void {
        this.timer?.cancel();
    }
}
