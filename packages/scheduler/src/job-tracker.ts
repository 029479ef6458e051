/**
 * The jobs of a shard under one right: keeps the placement engine, the journal and the states of tasks in step.
 *
 * The journal comes first in each case where a later owner must know: a job is accepted, a task may start and an outcome is
 * forgotten by its worker only after the commit.
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

/** How often a repeatable task that failed is started again. */
const maxFailureRestarts = 3;
/** Longest wait before a service task is started again, in milliseconds. */
const maxRestartDelayMs = 30_000;

const taskStateByOutcome: Readonly<Record<JournalOutcome, TaskState>> = {
    succeeded: TaskState.Succeeded,
    failed: TaskState.Failed,
    stopped: TaskState.Stopped,
    mayHaveRun: TaskState.MayHaveRun,
};

export class JobTracker {
    readonly jobs = new Table<JobId, JobRow>();
    readonly events: JobEventLog;
    journal: Journal | undefined;
    private readonly outcomes: OutcomeBuffer;
    private readonly admission: JobAdmission;
    private readonly pendingWindowJobs = new Set<JobId>();
    private readonly preempting = new Set<TaskId>();

    constructor(private readonly context: ShardContext, private readonly engine: PlacementEngine) {
        this.events = new JobEventLog(() => context.clock.getWallTime());
        this.outcomes = new OutcomeBuffer(context.clock, () => this.journal);
        this.admission = new JobAdmission({
            context,
            engine,
            jobs: this.jobs,
            getJournal: () => this.journal,
            addEvent: (row, step) => this.addEvent(row, step),
        });
    }

    /** Whether all that must last is committed. */
    get hasUncommitted(): boolean {
        return this.outcomes.hasPending || this.admission.pendingCount > 0;
    }

    /**
     * Adds the jobs of the journal. Tasks inside the window without an outcome become `Unsettled`.
     *
     * With `isComplete` false the records can lack the last ones before a store outage: jobs that are not safe to repeat
     * then start nothing until `applyJournal`, because their windows may be larger than known.
     */
    restoreJobs(journalJobs: Iterable<JournalJob>, isComplete: boolean): void {
        for (const journalJob of journalJobs) {
            const spec = this.parseSpec(journalJob);
            if (spec !== undefined) {
                this.restoreJob(journalJob, spec, isComplete);
            }
        }
    }

    /** Takes a journal that could be opened only after a takeover without the store, and catches up with it. */
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

    /** Writes the end of jobs that ended while their end could not be committed. */
    finishEndedJobs(): void {
        [...this.jobs.values()].forEach(row => this.finishIfEnded(row));
    }

    /** Accepts a job; resolves after the commit. A repeated submission with the same content is accepted again. */
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
                    "the cancellation cannot be made durable while the store is down: cancel it again later",
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

    /** Commits collected outcomes and wanted windows, and settles acceptances whose commit came late. */
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

    /** Records that a start was decided. */
    recordPlaced(task: TaskId, worker: WorkerId, detail: string): void {
        this.setState(task, TaskState.Starting);
        this.addTaskEvent("placed", task, worker, detail);
    }

    /** Records that a task runs. */
    recordRunning(task: TaskId, worker: WorkerId): void {
        if (this.getState(task) !== TaskState.Running) {
            this.setState(task, TaskState.Running);
            this.engine.recordTaskStarted(this.context.clock.getNow(), task);
            this.addTaskEvent("started", task, worker);
        }
    }

    /** Records that a start certainly did not happen: the task waits again. */
    recordNotStarted(task: TaskId): void {
        this.setState(task, TaskState.Waiting);
        this.engine.recordStartFailed(this.context.clock.getNow(), task, "notRun");
    }

    /**
     * Records the end of a task and starts it again where that is safe and wanted. `onCommitted` runs when the worker may
     * forget the outcome.
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
        // A task whose lease ran out was ended by its worker: it ran in part, and nothing says how far.
        const final = outcome === "leaseExpired" ? "mayHaveRun" : outcome;
        this.recordOutcome(task, row, index, final, onCommitted);
        this.addTaskEvent("ended", task, worker, final);
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
        const startable = isComplete ? startedThrough : row.isRepeatable ? spec.taskCount : 0;
        this.admission.addToEngine(job, spec, startable, true);
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

    /** Applies what the journal has beyond an incomplete copy of it. */
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

    /** Returns the wait before a task is started again, or `undefined` if its end is final. */
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
        const ended = outcome === "mayHaveRun" ? "leaseExpired" : outcome;
        this.engine.recordTaskEnded(this.context.clock.getNow(), task, ended, false);
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

    private addEvent(row: JobRow, step: JobEventInput): void {
        row.revision = this.events.allocateSequence();
        this.events.add(step, row.toStatus());
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
