/** The states of jobs as this host knows them, from its own acceptances and from the owner of the cell. */
import type { Clock, JobId, QueueId } from "@waxwingroute/core";
import type { JobState } from "@waxwingroute/workflow";

interface ReplicaRow {
    readonly state: JobState;
    readonly changedAt: number;
}

export interface JobReplicaOptions {
    readonly clock: Clock;
    /** How long finished jobs are kept, ms. */
    readonly retentionMs: number;
}

export class JobReplica {
    private readonly rows = new Map<JobId, ReplicaRow>();
    private pending: ReadonlyMap<QueueId, number> | undefined;
    private prunedAt = 0;

    constructor(private readonly options: JobReplicaOptions) {}

    /** Number of jobs whose state is known here. */
    get size(): number {
        return this.rows.size;
    }

    getState(job: JobId): JobState | undefined {
        return this.rows.get(job)?.state;
    }

    /** Records a state. A job that has ended keeps its state. */
    record(job: JobId, state: JobState): void {
        const existing = this.rows.get(job)?.state;
        const isEnded = existing !== undefined && existing !== "queued" && existing !== "running";
        if (!isEnded && !(existing === "running" && state === "queued")) {
            this.rows.set(job, { state, changedAt: this.options.clock.getNow() });
        }
    }

    /** Replaces the counts of jobs without a started task. */
    recordPending(counts: ReadonlyMap<QueueId, number>): void {
        this.pending = counts;
    }

    /** Returns the count of a queue, or `undefined` while the owner has not reported any. */
    getPending(queue: QueueId): number | undefined {
        return this.pending === undefined ? undefined : this.pending.get(queue) ?? 0;
    }

    listStates(): [JobId, JobState][] {
        return [...this.rows].map(([job, row]) => [job, row.state]);
    }

    /** Drops finished jobs after their retention. Looks at them at most once a second. */
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
