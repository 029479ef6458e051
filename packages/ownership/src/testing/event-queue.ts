/**
 * Events of a simulation in the order of true time.
 */
interface QueuedEvent {
    readonly at: number;
    readonly run: () => void;
}

export class EventQueue {
    now = 0;
    processedCount = 0;
    private readonly events: QueuedEvent[] = [];

    schedule(delayMs: number, run: () => void): void {
        const at = this.now + Math.max(0, delayMs);
        let index = this.events.length;
        while (index > 0 && (this.events[index - 1]?.at ?? 0) < at) {
            index--;
        }
        this.events.splice(index, 0, { at, run });
    }

    /** Runs events until `end`. */
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
