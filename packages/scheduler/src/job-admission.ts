/**
 * Acceptance of jobs: a job is in the engine before its commit, but starts nothing until the journal holds it.
 */
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { Failure, JobId, Result, Table, TeamId } from "@waxwingroute/core";
import type { Journal } from "@waxwingroute/journal";
import type { PlacementEngine } from "@waxwingroute/placement";
import { toDeadlineWallTime } from "@waxwingroute/resources";
import type { JobSpec } from "@waxwingroute/resources";
import type { JobStatus } from "@waxwingroute/transport";
import type { JobEventInput } from "./job-event-log.js";
import { getJobName, JobRow } from "./job-row.js";
import type { ShardContext } from "./shard-context.js";

/** Jobs of at least this priority are urgent. */
const urgentPriority = 900;

export interface JobAdmissionOptions {
    readonly context: ShardContext;
    readonly engine: PlacementEngine;
    readonly jobs: Table<JobId, JobRow>;
    /** Returns the journal; `undefined` while the store is down. */
    readonly getJournal: () => Journal | undefined;
    readonly addEvent: (row: JobRow, step: JobEventInput) => void;
}

export class JobAdmission {
    /** Jobs whose acceptance is not committed yet, or not known to be. */
    private readonly pendingJobs = new Set<JobId>();

    constructor(private readonly options: JobAdmissionOptions) {}

    get pendingCount(): number {
        return this.pendingJobs.size;
    }

    isPending(job: JobId): boolean {
        return this.pendingJobs.has(job);
    }

    /** Accepts a job; resolves after the commit. A repeated submission with the same content is accepted again. */
    async submitJob(job: JobId, spec: JobSpec): Promise<Result<JobStatus, Failure>> {
        const known = this.options.jobs.get(job);
        if (known !== undefined && !this.pendingJobs.has(job)) {
            return JSON.stringify(known.spec) === JSON.stringify(spec)
                ? Ok(known.toStatus())
                : Err(createFailure("job-exists", `job "${job}" exists with another content`, "notRun"));
        }
        if (known !== undefined) {
            return Err(createFailure("job-pending", `job "${job}" is being accepted; ask again`, "mayHaveRun", 500));
        }
        const journal = this.options.getJournal();
        if (journal === undefined) {
            return Err(
                createFailure(
                    "store-unavailable",
                    "jobs cannot be made durable while the store is down: submit it again later",
                    "notRun",
                    1_000,
                ),
            );
        }
        const submitted = this.addToEngine(job, spec, 0, false);
        if (!submitted.ok) {
            return submitted;
        }
        const row = new JobRow(job, getJobName(job), spec, this.options.context.shard);
        this.options.jobs.set(job, row);
        this.pendingJobs.add(job);
        return this.commitJob(journal, row);
    }

    /** Adds a job to the placement engine, with its deadline on the monotonic clock. */
    addToEngine(job: JobId, spec: JobSpec, startedThrough: number, isRestored: boolean): Result<void, Failure> {
        const { clock } = this.options.context;
        const now = clock.getNow();
        const deadline = toDeadlineWallTime(spec);
        return this.options.engine.submitJob(now, {
            job,
            team: toId<TeamId>(spec.team),
            kind: spec.kind,
            priority: spec.priority >= urgentPriority ? "urgent" : "normal",
            taskCount: spec.taskCount,
            resources: spec.resources,
            deadline: deadline === undefined ? undefined : now + deadline - clock.getWallTime(),
            estimatedRunMs: spec.estimatedRunMs,
            windowEnd: startedThrough,
            isRestored,
        });
    }

    /** Accepts jobs whose commit was unknown and turned out to have taken effect. */
    settlePending(): void {
        for (const job of this.pendingJobs) {
            const row = this.options.jobs.get(job);
            if (row !== undefined && this.options.getJournal()?.getJobs().has(job) === true) {
                this.acceptPending(row);
            }
        }
    }

    private async commitJob(journal: Journal, row: JobRow): Promise<Result<JobStatus, Failure>> {
        const { job, spec } = row;
        const accepted = journal.append({
            kind: "jobAccepted",
            job,
            spec,
            at: this.options.context.clock.getWallTime(),
        });
        // Repeatable tasks need no narrow window: after a takeover they may start again in any case.
        const startedThrough = row.isRepeatable ? spec.taskCount : 0;
        const windowReserved = startedThrough > 0
            ? journal.append({ kind: "windowReserved", job, startedThrough })
            : Promise.resolve(Ok(undefined));
        const result = await accepted;
        if (result.err) {
            if (result.val.verdict === "notRun") {
                this.dropPending(job);
            }
            return result;
        }
        this.acceptPending(row);
        if ((await windowReserved).ok) {
            this.options.engine.extendStartWindow(job, startedThrough);
        }
        return Ok(row.toStatus());
    }

    private acceptPending(row: JobRow): void {
        if (this.pendingJobs.delete(row.job)) {
            this.options.addEvent(row, {
                event: "accepted",
                job: row.job,
                detail: `${row.spec.taskCount} tasks for team ${row.spec.team}`,
            });
            this.options.context.logger.write("info", "job accepted", {
                job: row.job,
                team: row.spec.team,
                tasks: row.spec.taskCount,
            });
        }
    }

    private dropPending(job: JobId): void {
        this.pendingJobs.delete(job);
        this.options.engine.cancelJob(job);
        this.options.jobs.delete(job);
    }
}
