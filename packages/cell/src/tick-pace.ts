/**
 * Paces the ticks of the owner, so that an overloaded owner spends a bounded part of its time on decisions and keeps time
 * for its executors, its lease and the other hosts.
 */
import type { Clock } from "@waxwingroute/core";

/** Shortest time from an event to the tick that decides on it, ms; events in between share the tick. */
const minDelayMs = 5;
/** Longest such time, ms; short beside the shortest objective of a job. */
const maxDelayMs = 60;
/** Pause before a tick as a multiple of the time that ticks take: decisions get a quarter of the owner's time. */
const pauseFactor = 3;
/** Weight of the newest tick in the moving average of the time that ticks take. */
const tickWeight = 0.3;

/** Measures ticks and chooses the pause before the next one. */
export class TickPace {
    private averageMs = 0;

    constructor(private readonly clock: Clock) {}

    /** Time from an event to the tick that decides on it, ms. */
    get delayMs(): number {
        return Math.min(maxDelayMs, Math.max(minDelayMs, pauseFactor * this.averageMs));
    }

    /** Moving average of the time that a tick takes, ms. */
    get tickMs(): number {
        return this.averageMs;
    }

    /** Runs one tick. */
    measure(tick: () => void): void {
        const startedAt = this.clock.getNow();
        tick();
        this.averageMs += tickWeight * (this.clock.getNow() - startedAt - this.averageMs);
    }
}
