/**
 * The event queue of a simulation in true time.
 */
interface QueuedEvent {
    readonly at: number;
    readonly run: () => void;
}

/** Runs scheduled events in the order of their time. */
export class EventQueue {
    /** The current true time in ms. */
    now = 0;
    /** Number of the events that have run. */
    processedCount = 0;
    /** Latest first, so that the next event is at the end. */
    private readonly events: QueuedEvent[] = [];

    schedule(delayMs: number, run: () => void): void {
        const at = this.now + Math.max(0, delayMs);
        let index = this.events.length;
        while (index > 0 && (this.events[index - 1]?.at ?? 0) < at) {
            index--;
        }
        this.events.splice(index, 0, { at, run });
    }

    /** Runs all events that are due by `end`, including those that they schedule, and advances the time to `end`. */
    runUntil(end: number): void {
        for (let next = this.events.at(-1); next !== undefined && next.at <= end; next = this.events.at(-1)) {
            this.events.pop();
            this.now = next.at;
            this.processedCount++;
            next.run();
        }
        this.now = end;
    }
}
