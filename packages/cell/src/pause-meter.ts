/**
 * Measures for how long this process was paused: a timer that is due in a moment fires late. Durations that include a
 * pause say nothing about the other side, and a time-out that passed in a pause does not mean that it was silent.
 */
import type { Clock } from "@waxwingroute/core";

/** The clock of a `PauseMeter`, and when it measures. */
export interface PauseMeterOptions {
    readonly clock: Clock;
    /** Whether durations are still measured; the timer ends if not. */
    readonly isNeeded: () => boolean;
}

/** Interval of the timer, ms. */
const intervalMs = 100;
/** Delay of the timer above which the process counts as paused, ms: more than the usual delays of a busy process. */
const minPauseMs = 200;

/** Adds up the pauses while it is needed. */
export class PauseMeter {
    private dueAt: number | undefined;
    private total = 0;
    private lastPause = { ms: 0, endedAt: -Infinity };

    constructor(private readonly options: PauseMeterOptions) {}

    /** Measures from now on, until it is not needed. */
    start(): void {
        if (this.dueAt === undefined) {
            this.scheduleNext();
        }
    }

    /** Returns the time of all pauses so far, also of one from which the process has just woken, ms. */
    getPausedMs(): number {
        const now = this.options.clock.getNow();
        const lateMs = this.dueAt === undefined ? 0 : now - this.dueAt;
        if (lateMs > minPauseMs) {
            this.total += lateMs;
            this.lastPause = { ms: lateMs, endedAt: now };
            this.dueAt = now;
        }
        return this.total;
    }

    /** Returns whether the process has woken within the last `withinMs` from a pause of at least `pauseMs`. */
    hasWokenFrom(pauseMs: number, withinMs: number): boolean {
        this.getPausedMs();
        return this.lastPause.ms >= pauseMs && this.options.clock.getNow() - this.lastPause.endedAt < withinMs;
    }

    private scheduleNext(): void {
        const { clock } = this.options;
        this.dueAt = clock.getNow() + intervalMs;
        clock.schedule(intervalMs, () => this.tick());
    }

    private tick(): void {
        this.getPausedMs();
        this.dueAt = undefined;
        if (this.options.isNeeded()) {
            this.scheduleNext();
        }
    }
}
