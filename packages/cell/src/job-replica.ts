/**
 * The states of jobs as this host knows them: on the owner all jobs, on other hosts those that callers submitted to
 * them or asked them about.
 */
import type { Clock, JobId, QueueId } from "@waxwingroute/core";
import { isOpenState } from "@waxwingroute/workflow";
import type { JobChange, JobState } from "@waxwingroute/workflow";

interface ReplicaRow {
    readonly status: JobChange;
    readonly changedAt: number;
    /** Whether the owner reports changes of the job to this host. */
    isFollowed: boolean;
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

    private retentionMs: number;

    constructor(private readonly options: JobReplicaOptions) {
        this.retentionMs = options.retentionMs;
    }

    /** Sets how long the states of finished jobs are kept, ms. */
    setRetention(retentionMs: number): void {
        this.retentionMs = retentionMs;
    }

    /** Number of jobs whose state is known to this host. */
    get size(): number {
        return this.rows.size;
    }

    /** Returns the last known status of a job, or `undefined` if it is not known to this host. */
    getStatus(job: JobId): JobChange | undefined {
        return this.rows.get(job)?.status;
    }

    /** Returns the status of a job if it is final or this host is told of its changes. */
    getCurrentStatus(job: JobId): JobChange | undefined {
        const row = this.rows.get(job);
        return row !== undefined && (row.isFollowed || !isOpenState(row.status.state)) ? row.status : undefined;
    }

    /** Records a status. A job that has ended keeps its state, and a running job does not become queued again. */
    record(status: JobChange, isFollowed = false): void {
        const { job, state } = status;
        const existing = this.rows.get(job);
        if (existing !== undefined && isFollowed) {
            existing.isFollowed = true;
        }
        const known: JobState | undefined = existing?.status.state;
        const hasEnded = known !== undefined && !isOpenState(known);
        if (!hasEnded && !(known === "running" && state === "queued")) {
            this.rows.set(job, {
                status,
                changedAt: this.options.clock.getNow(),
                isFollowed: isFollowed || existing?.isFollowed === true,
            });
        }
    }

    /** Records that the owner reports changes of these jobs to this host. */
    markFollowed(jobs: readonly JobId[]): void {
        jobs.forEach(job => {
            const row = this.rows.get(job);
            if (row !== undefined) {
                row.isFollowed = true;
            }
        });
    }

    /** Returns the jobs that had not ended when this host last heard of them. */
    listOpenJobs(): JobId[] {
        return [...this.rows].filter(([, row]) => isOpenState(row.status.state)).map(([job]) => job);
    }

    /** Replaces the numbers of jobs without a started task. */
    recordPending(counts: ReadonlyMap<QueueId, number>): void {
        this.pending = counts;
    }

    /** Returns the number for a queue, or `undefined` before the owner's first report. */
    getPending(queue: QueueId): number | undefined {
        return this.pending === undefined ? undefined : this.pending.get(queue) ?? 0;
    }

    /** Removes finished jobs after their retention; does nothing within a second of the previous removal. */
    prune(): void {
        const now = this.options.clock.getNow();
        if (now - this.prunedAt < 1_000) {
            return;
        }
        this.prunedAt = now;
        for (const [job, row] of this.rows) {
            if (!isOpenState(row.status.state) && now - row.changedAt > this.retentionMs) {
                this.rows.delete(job);
            }
        }
    }
}
