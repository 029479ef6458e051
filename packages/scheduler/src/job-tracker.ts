/**
 * The jobs of a shard under one right: keeps the placement engine, the journal and the task states consistent.
 *
 * The journal is written first wherever a later owner must know: a job is accepted, a task may start and a worker may
 * forget an outcome only after the commit.
 */
import { createFailure, Err, Ok, parseTaskId, Table, toTaskId } from "@waxwingroute/core";
import type { Failure, JobId, Result, TaskId, WorkerId } from "@waxwingroute/core";
import type { Journal, JournalJob, JournalOutcome } from "@waxwingroute/journal";
import type { PlacementEngine } from "@waxwingroute/placement";
import type { TaskOutcome } from "@waxwingroute/platform";
import { jobSpecSchema } from "@waxwingroute/resources";
import type { JobSpec } from "@waxwingroute/resources";
import type { JobStatus } from "@waxwingroute/transport";
import { match } from "ts-pattern";
import { JobAdmission } from "./job-admission.js";
import { JobEventLog } from "./job-event-log.js";
import type { JobEventInput } from "./job-event-log.js";
import { getJobName, JobRow, TaskState } from "./job-row.js";
import { OutcomeBuffer } from "./outcome-buffer.js";
import type { ShardContext } from "./shard-context.js";

/** Number of restarts after which a failure of a repeatable task is final, except in services. */
const maxFailureRestarts = 3;
/** Upper limit of the doubling delay before a restart, in milliseconds; only tasks of services reach it. */
const maxRestartDelayMs = 30_000;

const taskStateByOutcome: Readonly<Record<JournalOutcome, TaskState>> = {
    succeeded: TaskState.Succeeded,
    failed: TaskState.Failed,
    stopped: TaskState.Stopped,
    mayHaveRun: TaskState.MayHaveRun,
};

/** Accepts, cancels and finishes jobs and records what happens to their tasks. */
export class JobTracker {
    readonly jobs = new Table<JobId, JobRow>();
    readonly events: JobEventLog;
    /** `undefined` after a takeover without the store, until `applyJournal`. */
    journal: Journal | undefined;
    private readonly outcomes: OutcomeBuffer;
    private readonly admission: JobAdmission;
    /** Jobs with a start window that is being committed. */
    private readonly pendingWindowJobs = new Set<JobId>();
    /** Tasks that a worker checkpoints and stops, until their end is recorded. */
    private readonly preempting = new Set<TaskId>();

    constructor(private readonly context: ShardContext, private readonly engine: PlacementEngine) {
        this.events = new JobEventLog(() => context.clock.getWallTime());
        this.outcomes = new OutcomeBuffer(context.clock, () => this.journal);
        this.admission = new JobAdmission({
            context,
            engine,
            jobs: this.jobs,
            getJournal: () => this.journal,
            addEvent: (row, input) => this.addEvent(row, input),
        });
    }

    /** Whether an outcome or an acceptance still waits for its commit. */
    get hasUncommitted(): boolean {
        return this.outcomes.hasPending || this.admission.pendingCount > 0;
    }

    /**
     * Adds the jobs of the journal. Tasks inside a start window that have no outcome become `Unsettled`.
     *
     * With `isComplete` false, `journalJobs` can lack the last records before a store outage. Jobs that are not safe to
     * repeat then start nothing until `applyJournal`, because their windows can be larger than known.
     */
    restoreJobs(journalJobs: Iterable<JournalJob>, isComplete: boolean): void {
        for (const journalJob of journalJobs) {
            const spec = this.parseSpec(journalJob);
            if (spec !== undefined) {
                this.restoreJob(journalJob, spec, isComplete);
            }
        }
    }

    /** Applies a journal that could be opened only after a takeover without the store, and what its copy lacked. */
    applyJournal(journal: Journal): void {
        this.journal = journal;
        for (const journalJob of journal.getJobs().values()) {
            const row = this.jobs.get(journalJob.job);
            const spec = this.parseSpec(journalJob);
            if (row !== undefined) {
                this.reconcileJob(row, journalJob);
            }
            else if (spec !== undefined) {
                this.restoreJob(journalJob, spec, true);
            }
        }
        this.finishEndedJobs();
    }

    /** Finishes the jobs that ended while their end could not be committed. */
    finishEndedJobs(): void {
        [...this.jobs.values()].forEach(row => this.finishIfEnded(row));
    }

    /** Accepts a job; resolves after the commit. A repeated submission with the same spec succeeds again. */
    submitJob(job: JobId, spec: JobSpec): Promise<Result<JobStatus, Failure>> {
        return this.admission.submitJob(job, spec);
    }

    /** Cancels a job; resolves after the commit. */
    async cancelJob(job: JobId): Promise<Result<JobStatus, Failure>> {
        const row = this.jobs.get(job);
        if (row === undefined) {
            return Err(createFailure("unknown-job", `job "${job}" does not exist`, "notRun"));
        }
        if (row.isCancelled || row.finalState !== undefined) {
            return Ok(row.toStatus());
        }
        if (this.journal === undefined) {
            return Err(
                createFailure(
                    "store-unavailable",
                    "the cancellation cannot be made durable while the store is down: cancel the job again later",
                    "notRun",
                    1_000,
                ),
            );
        }
        const result = await this.journal.append({ kind: "jobCancelled", job, at: this.context.clock.getWallTime() });
        if (result.err) {
            return result;
        }
        row.isCancelled = true;
        this.engine.cancelJob(job);
        this.addEvent(row, { event: "cancelled", job });
        this.context.logger.write("info", "job cancelled", { job });
        this.finishIfEnded(row);
        return Ok(row.toStatus());
    }

    /** Commits collected outcomes and requested start windows, and accepts jobs whose commit became known late. */
    tick(): void {
        this.outcomes.flush();
        this.admission.settlePending();
        this.requestStartWindows();
    }

    setState(task: TaskId, state: TaskState): void {
        const found = this.findTask(task);
        found?.row.setState(found.index, state);
    }

    getState(task: TaskId): TaskState | undefined {
        const found = this.findTask(task);
        return found?.row.getState(found.index);
    }

    /** Marks a task that is being checkpointed, so that its end is not taken for an outcome. */
    markPreempting(task: TaskId): void {
        this.preempting.add(task);
    }

    /** Records the decision to start a task on a worker. */
    recordPlaced(task: TaskId, worker: WorkerId, detail: string): void {
        this.setState(task, TaskState.Starting);
        this.addTaskEvent("placed", task, worker, detail);
    }

    /** Records that a task runs; further calls for a running task change nothing. */
    recordRunning(task: TaskId, worker: WorkerId): void {
        if (this.getState(task) !== TaskState.Running) {
            this.setState(task, TaskState.Running);
            this.engine.recordTaskStarted(this.context.clock.getNow(), task);
            this.addTaskEvent("started", task, worker);
        }
    }

    /** Records that a start had no effect, so that the task waits again. */
    recordNotStarted(task: TaskId): void {
        this.setState(task, TaskState.Waiting);
        this.engine.recordStartFailed(this.context.clock.getNow(), task, "notRun");
    }

    /**
     * Records the end of a task and schedules its restart where that is safe and wanted. `onCommitted` runs when the
     * worker may forget the outcome.
     */
    recordEnded(task: TaskId, worker: WorkerId, outcome: TaskOutcome, onCommitted: () => void): void {
        const found = this.findTask(task);
        if (found === undefined) {
            onCommitted();
            return;
        }
        const { row, index } = found;
        if (this.preempting.delete(task) && outcome === "stopped") {
            this.recordWaiting(task, row, index, "preempted");
            this.addTaskEvent("preempted", task, worker);
            onCommitted();
            return;
        }
        const restartDelayMs = this.decideRestart(row, index, outcome);
        if (restartDelayMs !== undefined) {
            this.addTaskEvent("ended", task, worker, `${outcome}; starts again`);
            const restart = () => this.recordWaiting(task, row, index, outcome);
            this.context.clock.schedule(restartDelayMs, restart);
            onCommitted();
            return;
        }
        // The worker ended a task whose lease ran out: it ran in part, and how far is unknown.
        const finalOutcome = outcome === "leaseExpired" ? "mayHaveRun" : outcome;
        this.recordOutcome(task, row, index, finalOutcome, onCommitted);
        this.addTaskEvent("ended", task, worker, finalOutcome);
    }

    /** Records that a task does not run any more and that its outcome is unknown. */
    recordLost(task: TaskId, worker: WorkerId | undefined, reason: string): void {
        const found = this.findTask(task);
        if (found === undefined) {
            return;
        }
        const { row, index } = found;
        this.preempting.delete(task);
        if (row.isRepeatable && !row.isCancelled) {
            this.recordWaiting(task, row, index, "leaseExpired");
            this.addTaskEvent("ended", task, worker, `lost: ${reason}; starts again`);
        }
        else {
            this.recordOutcome(task, row, index, "mayHaveRun", () => undefined);
            this.addTaskEvent("ended", task, worker, `may have run: ${reason}`);
            this.context.logger.write("warn", "task may have run and is not started again", { task, worker, reason });
        }
    }

    private parseSpec({ job, spec }: JournalJob): JobSpec | undefined {
        const parsed = jobSpecSchema.safeParse(spec);
        if (!parsed.success) {
            const error = parsed.error.message;
            this.context.logger.write("error", "job in the journal cannot be read and is left alone", { job, error });
        }
        return parsed.data;
    }

    private restoreJob(
        { job, startedThrough, outcomes, cancelledAt, finished }: JournalJob,
        spec: JobSpec,
        isComplete: boolean,
    ): void {
        const row = new JobRow(job, getJobName(job), spec, this.context.shard);
        row.isCancelled = cancelledAt !== undefined;
        row.finalState = finished?.state;
        this.jobs.set(job, row);
        visitOutcomes(outcomes, (index, outcome) => row.setState(index, taskStateByOutcome[outcome]));
        if (row.finalState !== undefined) {
            return;
        }
        const windowEnd = isComplete ? startedThrough : row.isRepeatable ? spec.taskCount : 0;
        this.admission.addToEngine(job, spec, windowEnd, true);
        const now = this.context.clock.getNow();
        for (let index = 0; index < spec.taskCount; index++) {
            const state = row.getState(index);
            if (state !== TaskState.Waiting) {
                this.engine.recordTaskEnded(now, toTaskId(job, index), "succeeded", false);
            }
            else if (index < startedThrough) {
                row.setState(index, TaskState.Unsettled);
            }
        }
        if (row.isCancelled) {
            this.engine.cancelJob(job);
        }
    }

    /** Applies the records of the journal that the incomplete copy of it lacked. */
    private reconcileJob(row: JobRow, { job, startedThrough, outcomes, cancelledAt }: JournalJob): void {
        const now = this.context.clock.getNow();
        visitOutcomes(outcomes, (index, outcome) => {
            if (row.getState(index) === TaskState.Waiting) {
                row.setState(index, taskStateByOutcome[outcome]);
                this.engine.recordTaskEnded(now, toTaskId(job, index), "succeeded", false);
            }
        });
        for (let index = 0; index < startedThrough && !row.isRepeatable; index++) {
            if (row.getState(index) === TaskState.Waiting) {
                this.recordOutcome(toTaskId(job, index), row, index, "mayHaveRun", () => undefined);
            }
        }
        this.engine.extendStartWindow(job, startedThrough);
        if (cancelledAt !== undefined && !row.isCancelled) {
            row.isCancelled = true;
            this.engine.cancelJob(job);
        }
    }

    private requestStartWindows(): void {
        const { journal } = this;
        if (journal === undefined) {
            return;
        }
        for (const { job, windowEnd } of this.engine.collectWindowRequests()) {
            if (!this.admission.isPending(job) && !this.pendingWindowJobs.has(job)) {
                this.pendingWindowJobs.add(job);
                void journal.append({ kind: "windowReserved", job, startedThrough: windowEnd }).then(result => {
                    this.pendingWindowJobs.delete(job);
                    if (result.ok) {
                        this.engine.extendStartWindow(job, windowEnd);
                    }
                });
            }
        }
    }

    /** Returns the delay before a task is started again, in milliseconds, or `undefined` if its end is final. */
    private decideRestart(row: JobRow, index: number, outcome: TaskOutcome): number | undefined {
        if (row.isCancelled || !row.isRepeatable || outcome === "stopped") {
            return undefined;
        }
        const restarts = row.restarts.get(index) ?? 0;
        const isWanted = match({ kind: row.spec.kind, outcome })
            .with({ kind: "service" }, () => true)
            .with({ outcome: "succeeded" }, () => false)
            .with({ outcome: "leaseExpired" }, () => true)
            .otherwise(() => restarts < maxFailureRestarts);
        if (!isWanted) {
            return undefined;
        }
        row.restarts.set(index, restarts + 1);
        return outcome === "leaseExpired" ? 0 : Math.min(100 * 2 ** restarts, maxRestartDelayMs);
    }

    private recordWaiting(task: TaskId, row: JobRow, index: number, outcome: TaskOutcome | "preempted"): void {
        row.setState(index, TaskState.Waiting);
        this.engine.recordTaskEnded(this.context.clock.getNow(), task, outcome, true);
        this.finishIfEnded(row);
    }

    private recordOutcome(
        task: TaskId,
        row: JobRow,
        index: number,
        outcome: JournalOutcome,
        onCommitted: () => void,
    ): void {
        row.setState(index, taskStateByOutcome[outcome]);
        const engineOutcome = outcome === "mayHaveRun" ? "leaseExpired" : outcome;
        this.engine.recordTaskEnded(this.context.clock.getNow(), task, engineOutcome, false);
        this.outcomes.add(row.job, outcome, index, () => {
            onCommitted();
            this.finishIfEnded(row);
        });
    }

    private finishIfEnded(row: JobRow): void {
        if (!row.hasEnded || row.finalState !== undefined || this.journal === undefined) {
            return;
        }
        const state = row.isCancelled
            ? "cancelled"
            : row.countTasks(TaskState.Succeeded) === row.spec.taskCount
            ? "succeeded"
            : "ended";
        row.finalState = state;
        void this.journal.append({ kind: "jobFinished", job: row.job, state, at: this.context.clock.getWallTime() });
        this.addEvent(row, { event: "finished", job: row.job, detail: state });
        this.context.logger.write("info", "job finished", { job: row.job, state });
    }

    private addTaskEvent(
        event: "placed" | "started" | "ended" | "preempted",
        task: TaskId,
        worker: WorkerId | undefined,
        detail?: string,
    ): void {
        const row = this.findTask(task)?.row;
        if (row !== undefined) {
            this.addEvent(row, { event, job: row.job, task, worker, detail });
        }
    }

    private addEvent(row: JobRow, input: JobEventInput): void {
        row.revision = this.events.allocateSequence();
        this.events.add(input, row.toStatus());
    }

    private findTask(task: TaskId): { readonly row: JobRow; readonly index: number; } | undefined {
        const parsed = parseTaskId(task);
        const row = parsed === undefined ? undefined : this.jobs.get(parsed.job);
        return parsed === undefined || row === undefined || parsed.index >= row.spec.taskCount
            ? undefined
            : { row, index: parsed.index };
    }
}

function visitOutcomes(
    outcomes: JournalJob["outcomes"],
    visit: (index: number, outcome: JournalOutcome) => void,
): void {
    for (const [outcome, ranges] of Object.entries(outcomes)) {
        for (const [first, last] of ranges ?? []) {
            for (let index = first; index <= last; index++) {
                visit(index, outcome as JournalOutcome);
            }
        }
    }
}
