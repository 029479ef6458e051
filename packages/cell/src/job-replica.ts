/** The states of jobs as this host knows them, from the jobs it accepted itself and from the owner of the cell. */
import type { Clock, JobId, QueueId } from "@waxwingroute/core";
import type { JobState } from "@waxwingroute/workflow";

interface ReplicaRow {
    readonly state: JobState;
    readonly changedAt: number;
}

/** The clock and the retention of a replica. */
export interface JobReplicaOptions {
    readonly clock: Clock;
    /** How long the states of finished jobs are kept, ms. */
    readonly retentionMs: number;
}

/** Answers callers' questions about jobs without a call to the store or the owner. */
export class JobReplica {
    private readonly rows = new Map<JobId, ReplicaRow>();
    private pending: ReadonlyMap<QueueId, number> | undefined;
    private prunedAt = 0;

    constructor(private readonly options: JobReplicaOptions) {}

    /** Number of jobs whose state is known to this host. */
    get size(): number {
        return this.rows.size;
    }

    /** Returns the state of a job, or `undefined` if it is not known to this host. */
    getState(job: JobId): JobState | undefined {
        return this.rows.get(job)?.state;
    }

    /** Records a state. A job that has ended keeps its state, and a running job does not become queued again. */
    record(job: JobId, state: JobState): void {
        const existing = this.rows.get(job)?.state;
        const isEnded = existing !== undefined && existing !== "queued" && existing !== "running";
        if (!isEnded && !(existing === "running" && state === "queued")) {
            this.rows.set(job, { state, changedAt: this.options.clock.getNow() });
        }
    }

    /** Replaces the numbers of jobs without a started task. */
    recordPending(counts: ReadonlyMap<QueueId, number>): void {
        this.pending = counts;
    }

    /** Returns the number for a queue, or `undefined` before the owner's first report. */
    getPending(queue: QueueId): number | undefined {
        return this.pending === undefined ? undefined : this.pending.get(queue) ?? 0;
    }

    /** Returns all known states. */
    listStates(): [JobId, JobState][] {
        return [...this.rows].map(([job, row]) => [job, row.state]);
    }

    /** Removes finished jobs after their retention; does nothing within a second of the previous removal. */
    prune(): void {
        const now = this.options.clock.getNow();
        if (now - this.prunedAt < 1_000) {
            return;
        }
        this.prunedAt = now;
        for (const [job, row] of this.rows) {
            if (row.state !== "queued" && row.state !== "running" && now - row.changedAt > this.options.retentionMs) {
                this.rows.delete(job);
            }
        }
    }
}
