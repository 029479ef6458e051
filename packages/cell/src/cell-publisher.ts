/** Sends the states of jobs from the owner to the other hosts, grouped into one message per host and interval. */
import type { Clock, JobId, QueueId } from "@waxwingroute/core";
import type { StreamWriter } from "@waxwingroute/transport";
import type { JobChange, JobState } from "@waxwingroute/workflow";
import type { CellUpdate } from "./cell-service.js";
import { jobStates } from "./cell-service.js";

/** Dependencies of `CellPublisher`. */
export interface CellPublisherOptions {
    readonly clock: Clock;
    /** Returns all states that a new subscriber needs. */
    readonly listStates: () => readonly (readonly [JobId, JobState])[];
    /** Returns the addresses of the hosts of the cell. */
    readonly listHosts: () => readonly string[];
}

/** Longest time that changes wait to be sent together, ms. */
const sendDelayMs = 10;

/** Serves the subscriptions of the other hosts while this host owns the cell. */
export class CellPublisher {
    private readonly writers = new Set<StreamWriter<CellUpdate>>();
    private changes: [JobId, number][] = [];
    private pending: [QueueId, number][] | undefined;
    private isScheduled = false;

    constructor(private readonly options: CellPublisherOptions) {}

    /** Adds a subscriber and sends it all states. */
    addSubscriber(writer: StreamWriter<CellUpdate>): void {
        const changes = this.options.listStates().map(([job, state]) => toChange(job, state));
        writer.send({ changes, pending: this.pending, hosts: [...this.options.listHosts()] });
        this.writers.add(writer);
        writer.onClose(() => this.writers.delete(writer));
    }

    /** Sends the changed states with the next message. */
    publishChanges(changes: readonly JobChange[]): void {
        if (this.writers.size > 0) {
            changes.forEach(({ job, state }) => this.changes.push(toChange(job, state)));
            this.schedule();
        }
    }

    /** Sends the counts of pending jobs, which also show the other hosts that the owner is alive. */
    publishPending(counts: ReadonlyMap<QueueId, number>): void {
        this.pending = [...counts];
        this.schedule();
    }

    /** Ends all subscriptions. */
    close(): void {
        this.writers.forEach(writer => writer.end());
        this.writers.clear();
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.options.clock.schedule(sendDelayMs, () => this.flush());
        }
    }

    private flush(): void {
        this.isScheduled = false;
        const update: CellUpdate = {
            changes: this.changes,
            pending: this.pending,
            hosts: [...this.options.listHosts()],
        };
        this.changes = [];
        this.writers.forEach(writer => writer.send(update));
    }
}

function toChange(job: JobId, state: JobState): [JobId, number] {
    return [job, jobStates.indexOf(state)];
}
