/**
 * The jobs of the owner, between the store and the scheduler: adds accepted, finished and cancelled jobs as the store
 * holds them, stores how jobs end, and reports their states for callers.
 */
import type { Clock, JobId } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import { isOpenState } from "@waxwingroute/workflow";
import type { JobChange, JobState, WorkflowScheduler } from "@waxwingroute/workflow";
import type { OwnerJournal } from "./owner-journal.js";
import type { JobEvent, JobEventPath } from "./owner-recovery.js";
import type { JobRecord } from "./store-keys.js";
import { toCancelKey } from "./store-keys.js";

/** The scheduler, journal and callbacks of the owner's jobs. */
export interface OwnerJobsOptions {
    readonly scheduler: WorkflowScheduler;
    readonly journal: OwnerJournal;
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** First epoch of this owner. An earlier owner may have started jobs that were accepted before it. */
    readonly firstEpoch: number;
    /** Called for a job that was accepted in a later epoch than this owner's: another host may own the cell. */
    readonly onLaterEpoch: () => void;
    /** Returns whether tasks of jobs accepted before `firstEpoch` can start, because the scheduler has released them. */
    readonly hasReleasedTasks: () => boolean;
    /** Called with the states that callers can be told. */
    readonly onChanges: (changes: readonly JobChange[]) => void;
    /** Called when the scheduler has something new to decide. */
    readonly onSchedulingNeeded: () => void;
}

/** Applies stored jobs and cancellations to the scheduler, and the scheduler's results to the journal. */
export class OwnerJobs {
    /** States of finished jobs whose end is stored. */
    private readonly finishedStates = new Map<JobId, JobState>();
    private readonly cancelled = new Set<JobId>();
    /** Jobs that are not known yet and are cancelled once they are: a cancellation can overtake its job. */
    private readonly cancelledEarly = new Set<JobId>();
    /** Those of them that the last read of all jobs did not have. */
    private missingJobs: ReadonlySet<JobId> = new Set();
    /** Jobs of a later epoch, kept until it is known whether this owner acquired that epoch itself. */
    private deferred: { readonly event: JobEvent; readonly path: JobEventPath; }[] = [];
    private epoch: number;

    constructor(private readonly options: OwnerJobsOptions) {
        this.epoch = options.firstEpoch;
    }

    /** Number of finished jobs whose states are still kept. */
    get finishedCount(): number {
        return this.finishedStates.size;
    }

    /** Continues in a later epoch that this owner acquired itself. */
    setEpoch(epoch: number): void {
        this.epoch = epoch;
        this.deferred.splice(0).forEach(({ event, path }) => this.applyEvent(event, path));
    }

    /** Applies a job or cancellation from the store. Applying one again has no effect. */
    applyEvent(event: JobEvent, path: JobEventPath): void {
        if (event.kind === "cancel") {
            this.cancel(event.job, path);
        }
        else if (event.record.kind === "finished") {
            this.restoreFinished(event.job, event.record);
        }
        else if (event.record.epoch > this.epoch) {
            this.deferred.push({ event, path });
            this.options.onLaterEpoch();
        }
        else {
            this.add(event.job, event.record, event.revision, path);
        }
    }

    /** Returns whether the end of the job is stored, so that the ends of its runs need not be stored. */
    isEndStored(job: JobId | undefined): boolean {
        return job === undefined || this.finishedStates.has(job)
            || this.options.scheduler.getJobState(job) === undefined;
    }

    /** Reports the scheduler's changes for callers. The end of a job is reported once it is stored. */
    recordChanges(changes: readonly JobChange[]): void {
        const { journal, logger, onChanges, scheduler } = this.options;
        const open = changes.filter(change => isOpenState(change.state));
        if (open.length > 0) {
            onChanges(open);
        }
        for (const change of changes.filter(({ state }) => !isOpenState(state))) {
            const { job, state } = change;
            const hasStoredCancellation = this.cancelled.has(job);
            const remaining = scheduler.findRemainingTasks(job);
            journal.recordFinished({ ...change, remaining, hasStoredCancellation }, () => {
                this.finishedStates.set(job, state);
                if (this.cancelled.delete(job) && !hasStoredCancellation) {
                    journal.removeKeys([toCancelKey(job)]);
                }
                logger.write("info", "job finished", { job, state });
                onChanges([change]);
                this.forgetFinished(job);
            });
        }
    }

    /** Removes a finished job from the scheduler once its end is stored and none of its runs are left. */
    forgetFinished(job: JobId | undefined): void {
        if (job !== undefined && this.finishedStates.has(job)) {
            this.options.scheduler.forgetJob(job);
        }
    }

    /** Removes all finished jobs without runs from the scheduler. */
    forgetAllFinished(): void {
        [...this.finishedStates.keys()].forEach(job => this.forgetFinished(job));
    }

    /**
     * Removes the cancellations of jobs that no longer exist. `events` are those of a read of all jobs; a job that was
     * stored while they were read may be missing in one, so two reads in a row must not have it.
     */
    applyFullRead(events: readonly JobEvent[]): void {
        const stored = new Set(events.filter(event => event.kind === "record").map(event => event.job));
        const cancellations = events.filter(event => event.kind === "cancel").map(event => event.job);
        const missing = cancellations.filter(job => this.cancelledEarly.has(job) && !stored.has(job));
        for (const job of missing.filter(job => this.missingJobs.has(job))) {
            this.cancelledEarly.delete(job);
            this.options.journal.removeKeys([toCancelKey(job)]);
            this.options.logger.write("info", "cancellation removed", { job, reason: "its job does not exist" });
        }
        this.missingJobs = new Set(missing);
    }

    /** Forgets the state of a job whose record is removed after its retention. */
    forgetExpired(job: JobId): void {
        this.finishedStates.delete(job);
    }

    private restoreFinished(job: JobId, record: Extract<JobRecord, { kind: "finished"; }>): void {
        // If the scheduler knows the job, it ended under this owner, and the record is this owner's own write.
        if (!this.finishedStates.has(job) && this.options.scheduler.getJobState(job) === undefined) {
            this.finishedStates.set(job, record.state);
            this.options.journal.adoptFinished(job);
            if (this.cancelledEarly.delete(job)) {
                this.options.journal.removeKeys([toCancelKey(job)]);
            }
            const { queue, remaining, state } = record;
            if (remaining !== undefined) {
                const { team, tasks } = remaining;
                this.options.scheduler.addEndedJob({ job, queue, team, state, remaining: tasks });
                this.forgetFinished(job);
            }
            this.options.onChanges([{ job, queue, team: record.team, state }]);
        }
    }

    private add(
        job: JobId,
        record: Extract<JobRecord, { kind: "accepted"; }>,
        revision: number,
        path: JobEventPath,
    ): void {
        const {
            clock,
            firstEpoch,
            hasReleasedTasks,
            logger,
            onChanges,
            onSchedulingNeeded,
            scheduler,
        } = this.options;
        if (this.finishedStates.has(job) || scheduler.getJobState(job) !== undefined) {
            return;
        }
        const now = clock.getNow();
        const ageMs = Math.max(0, clock.getWallTime() - record.acceptedAtWallMs);
        // Jobs of earlier epochs are stored on the condition that the epoch is unchanged, and are read after this owner
        // raised it. So all of them are added before the release. Jobs of its own epochs can have been started by no other
        // owner, of this process included: `LeaseOwnership.beginTerm` begins no epoch twice.
        scheduler.addJob(now, {
            job,
            queue: record.queue,
            team: record.team,
            spec: record.spec,
            queueRules: record.queueRules,
            queueRulesVersion: record.queueRulesVersion,
            acceptedAt: now - ageMs,
            mayHaveStarted: record.epoch < firstEpoch && !hasReleasedTasks(),
        });
        logger.write("info", "job known", { job, queue: record.queue, team: record.team, revision, path, ageMs });
        onChanges([{ job, queue: record.queue, team: record.team, state: "queued" }]);
        if (this.cancelledEarly.delete(job)) {
            this.cancel(job, path);
        }
        if (record.spec.schedule !== undefined) {
            scheduler.openDueOccurrences(now, clock.getWallTime());
        }
        onSchedulingNeeded();
    }

    private cancel(job: JobId, path: JobEventPath): void {
        const { journal, logger, onSchedulingNeeded, scheduler } = this.options;
        if (this.cancelled.has(job) || this.cancelledEarly.has(job)) {
            return;
        }
        const state = scheduler.getJobState(job) ?? this.finishedStates.get(job);
        logger.write("info", "job cancelled", { job, path, state: state ?? "not known yet" });
        if (state === undefined) {
            this.cancelledEarly.add(job);
            return;
        }
        if (this.finishedStates.has(job)) {
            journal.removeKeys([toCancelKey(job)]);
            return;
        }
        this.cancelled.add(job);
        scheduler.cancelJob(job);
        onSchedulingNeeded();
    }
}
