/**
 * The newest steps in the lives of jobs, for operators' watches.
 */
import type { JobId, TaskId, WorkerId } from "@waxwingroute/core";
import type { JobEvent, JobStatus } from "@waxwingroute/transport";

/** Events kept for watches that resume. */
const maxEvents = 10_000;

export interface JobEventInput {
    readonly event: JobEvent["event"];
    readonly job: JobId;
    readonly task?: TaskId;
    readonly worker?: WorkerId;
    readonly detail?: string;
}

/** A bounded log of events with subscribers. */
export class JobEventLog {
    private readonly events: JobEvent[] = [];
    private readonly listeners = new Set<(event: JobEvent) => void>();
    private lastSequence = 0;

    /** `getWallTime` gives milliseconds since 1970. */
    constructor(private readonly getWallTime: () => number) {}

    /**
     * Returns the number of the next step. Numbers follow the wall clock in microseconds, so that they go on rising when the
     * shard changes its owner and are comparable between shards.
     */
    allocateSequence(): number {
        this.lastSequence = Math.max(this.lastSequence + 1, Math.floor(this.getWallTime() * 1_000));
        return this.lastSequence;
    }

    /** Adds a step with the status of its job after it. */
    add(step: JobEventInput, status: JobStatus): void {
        const event: JobEvent = {
            sequence: status.revision,
            time: new Date(this.getWallTime()).toISOString(),
            ...step,
        };
        this.events.push(event);
        // Trimmed in blocks, because removing one element from the front moves all others.
        if (this.events.length > maxEvents * 1.1) {
            this.events.splice(0, this.events.length - maxEvents);
        }
        const eventWithStatus = { ...event, status };
        this.listeners.forEach(listener => listener(eventWithStatus));
    }

    /** Sends the kept events from sequence `from` on, then each new one. Returns a function that ends the subscription. */
    subscribe(from: number, listener: (event: JobEvent) => void): () => void {
        this.events.filter(event => event.sequence >= from).forEach(listener);
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}
