/**
 * The states of jobs as this host knows them: on the owner all jobs, on other hosts those that callers submitted to
 * them or asked them about.
 */
import type { Clock, JobId, QueueId } from "@waxwingroute/core";
import { isOpenState } from "@waxwingroute/workflow";
import type { JobState } from "@waxwingroute/workflow";

interface ReplicaRow {
    readonly state: JobState;
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

    /** Returns the last known state of a job, or `undefined` if it is not known to this host. */
    getState(job: JobId): JobState | undefined {
        return this.rows.get(job)?.state;
    }

    /** Returns the state of a job if it is final or this host is told of its changes. */
    getCurrentState(job: JobId): JobState | undefined {
        const row = this.rows.get(job);
        return row !== undefined && (row.isFollowed || !isOpenState(row.state)) ? row.state : undefined;
    }

    /** Records a state. A job that has ended keeps its state, and a running job does not become queued again. */
    record(job: JobId, state: JobState, isFollowed = false): void {
        const existing = this.rows.get(job);
        if (existing !== undefined && isFollowed) {
            existing.isFollowed = true;
        }
        const hasEnded = existing !== undefined && !isOpenState(existing.state);
        if (!hasEnded && !(existing?.state === "running" && state === "queued")) {
            this.rows.set(job, {
                state,
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
        return [...this.rows].filter(([, row]) => isOpenState(row.state)).map(([job]) => job);
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
            if (!isOpenState(row.state) && now - row.changedAt > this.retentionMs) {
                this.rows.delete(job);
            }
        }
    }
}
