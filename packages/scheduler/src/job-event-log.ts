/**
 * The latest events of a shard's jobs, for operators' watches.
 */
import type { JobId, TaskId, WorkerId } from "@waxwingroute/core";
import type { JobEvent, JobStatus } from "@waxwingroute/transport";

/** Number of events kept for watches that resume. */
const maxEvents = 10_000;

/** What happened to a job or one of its tasks; `JobEventLog` adds the sequence number and the time. */
export interface JobEventInput {
    readonly event: JobEvent["event"];
    readonly job: JobId;
    readonly task?: TaskId;
    readonly worker?: WorkerId;
    readonly detail?: string;
}

/** A bounded log of job events that sends each new one to its subscribers. */
export class JobEventLog {
    private readonly events: JobEvent[] = [];
    private readonly listeners = new Set<(event: JobEvent) => void>();
    private lastSequence = 0;

    /** `getWallTime` returns milliseconds since the Unix epoch. */
    constructor(private readonly getWallTime: () => number) {}

    /**
     * Returns the sequence number of the next event. Numbers follow the wall clock in microseconds, so that they keep
     * rising when the shard changes its owner and are comparable between shards.
     */
    allocateSequence(): number {
        this.lastSequence = Math.max(this.lastSequence + 1, Math.floor(this.getWallTime() * 1_000));
        return this.lastSequence;
    }

    /** Adds an event. `status` is the status of the job after it, and its revision is the event's sequence number. */
    add(input: JobEventInput, status: JobStatus): void {
        const event: JobEvent = {
            sequence: status.revision,
            time: new Date(this.getWallTime()).toISOString(),
            ...input,
        };
        this.events.push(event);
        // Trimmed in blocks, because every removal from the front moves all other elements.
        if (this.events.length > maxEvents * 1.1) {
            this.events.splice(0, this.events.length - maxEvents);
        }
        const eventWithStatus = { ...event, status };
        this.listeners.forEach(listener => listener(eventWithStatus));
    }

    /** Sends the kept events from sequence number `from` on, then new ones. Returns a function that unsubscribes. */
    subscribe(from: number, listener: (event: JobEvent) => void): () => void {
        this.events.filter(event => event.sequence >= from).forEach(listener);
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}
