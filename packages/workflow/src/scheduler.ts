/**
 * The scheduler of one cell: a deterministic state machine over tables of executors, jobs, queues and teams. It does no
 * input or output and reads no clock. The caller reports events, asks for decisions with `tick` and
 * `sendAdviceRequests`, and carries them out.
 *
 * @example
 * ```ts
 * const scheduler = new WorkflowScheduler();
 * scheduler.applyRules({ queues: [queue], teams: [] });
 * scheduler.updateExecutor(executor);
 * scheduler.addJob(now, submission);
 * const { starts } = scheduler.tick(now);
 * ```
 */
import type { ExecutorId, JobId, QueueId, TeamId } from "@waxwingroute/core";
import { fitsWithin, toId, zeroResources } from "@waxwingroute/core";
import { recordAdvice, sendAdviceRequests } from "./advice-system.js";
import { clearLateLosses, recordLateLoss, recordSilence, recordSurvivedStart, sampleProbes } from "./crash-system.js";
import type { EndedRun } from "./end-system.js";
import { applyRunEnd, endJob } from "./end-system.js";
import { addEndedJob, listRemainingTasks } from "./ended-jobs.js";
import { stopRunsOfLeavingExecutors } from "./evacuation-system.js";
import { addOccurrence, countOccurrences, createJobRow, takeRateToken } from "./job-rows.js";
import { parseTaskKey } from "./keys.js";
import { decideThrottles, needsThrottling } from "./pacing-system.js";
import { placeTasks } from "./placement-system.js";
import { selectRankedSteps } from "./rank.js";
import type { EarlyEnd, ExecutorRow, JobRow, QueueRow, RecordedRun, RunRow, StepRow, TaskRow } from "./rows.js";
import { setTaskState, toRunKey } from "./rows.js";
import { stopStalledRuns } from "./stall-system.js";
import { getChargedResources, SchedulerState } from "./state.js";
import type {
    AdviceGrant,
    AdviceRequest,
    AdviceSendResult,
    EndedJob,
    EndSource,
    ExecutorUpdate,
    GivenUpJob,
    JobState,
    JobSubmission,
    LateLoss,
    ListedRun,
    PoolId,
    ProbeSample,
    QueueRules,
    RemainingTasks,
    RunEnd,
    SchedulerOptions,
    SchedulerRules,
    StepKey,
    TaskKey,
    TickDecisions,
} from "./types.js";
import { addRunOfUnknownTask, listUnknownTasks, updateUnknownUsage } from "./unknown-tasks-system.js";
import type { WaitingSample } from "./waiting-steps.js";
import { WaitingSteps } from "./waiting-steps.js";

/**
 * Size of the range of run numbers of one epoch. Ranges keep the run numbers of two owners apart, since an executor
 * identifies a run by task and number; a step is assumed to have fewer runs than this in one epoch.
 */
export const runNumbersPerEpoch = 10_000;
/** A job opens no further occurrence while its unfinished ones have this many tasks. */
const maxOpenTasksPerJob = 20_000;

/** Schedules jobs of dependent steps on the executors of one cell. */
export class WorkflowScheduler {
    private readonly state: SchedulerState;
    private readonly waitingSteps = new WaitingSteps();

    constructor(options: SchedulerOptions = {}) {
        this.state = new SchedulerState({
            stallFactor: options.stallFactor ?? 6,
            stallFloorMs: options.stallFloorMs ?? 3_000,
            ticketMarginMs: options.ticketMarginMs ?? 250,
            stopMs: options.stopMs ?? 1_000,
            leaseMs: options.leaseMs ?? 6_000,
        });
    }

    /** Number of jobs, finished ones included until `forgetJob`. */
    get jobCount(): number {
        return this.state.jobs.size;
    }

    /** Sets the epoch of the owner, from 1 up. It decides where the run numbers begin. */
    setEpoch(epoch: number): void {
        this.state.runNumberBase = (epoch - 1) * runNumbersPerEpoch;
    }

    /** Applies the declared queues and teams. A queue or team that is missing from `rules` keeps its last rules. */
    applyRules(rules: SchedulerRules): void {
        for (const queue of rules.queues) {
            const row = this.ensureQueue(queue);
            row.rules = queue;
            row.rulesVersion = Infinity;
        }
        rules.teams.forEach(team => {
            this.state.getTeam(team.team).rules = team;
        });
        this.recordRuleChanges();
    }

    /** Lets steps be evaluated again on all executors, because a queue may have got another pool, or no advisor. */
    private recordRuleChanges(): void {
        for (const executor of this.state.executors.values()) {
            this.state.recordRoomGain(executor);
        }
    }

    /** Returns the rules of a queue, also of one that was removed while jobs of it are open. */
    getQueueRules(queue: QueueId): QueueRules | undefined {
        return this.state.queues.get(queue)?.rules;
    }

    /** Returns whether a queue uses the executors of the pool. */
    isPoolUsed(pool: PoolId): boolean {
        return [...this.state.queues.values()].some(({ rules }) => rules.pool === pool);
    }

    private ensureQueue(rules: QueueRules): QueueRow {
        return this.state.queues.ensure(rules.queue, () => ({
            rules,
            rulesVersion: 0,
            estimateRatio: 1,
            grantRate: 0.5,
            crashRate: 0,
        }));
    }

    /** Applies the rules with which a job was stored, if its queue is known from such jobs only. The newest count. */
    private applyStoredRules(rules: QueueRules, version: number): void {
        const previous = this.state.queues.get(rules.queue)?.rules;
        const row = this.ensureQueue(rules);
        if (version < row.rulesVersion) {
            return;
        }
        row.rules = rules;
        row.rulesVersion = version;
        if (previous?.pool !== rules.pool || previous.advice !== undefined && rules.advice === undefined) {
            this.recordRuleChanges();
        }
    }

    /** Adds or changes an executor. Its runs are kept. */
    updateExecutor(update: ExecutorUpdate): void {
        const row = this.state.executors.ensure(update.executor, () => createExecutorRow(update));
        const isChanged = row.isReady !== (update.state === "ready")
            || row.isReachable !== (update.state !== "unreachable") || row.pool !== update.pool
            || !fitsWithin(update.capacity, row.capacity) || !update.labels.every(label => row.labels.has(label));
        row.pool = update.pool;
        row.zone = update.zone;
        row.rack = update.rack;
        row.labels = new Set(update.labels);
        row.capacity = update.capacity;
        if (row.isReachable && update.state === "unreachable") {
            recordSilence(this.state, row);
        }
        row.isReady = update.state === "ready";
        row.isReachable = update.state !== "unreachable";
        row.leavesAt = update.leavesAt;
        row.emptyBy = update.emptyBy;
        if (isChanged) {
            this.state.recordRoomGain(row);
        }
    }

    /** Removes an executor and ends its runs as `lost`. The caller makes sure that they no longer run. */
    removeExecutor(now: number, executor: ExecutorId): void {
        this.recordRunsLost(now, executor, "removal");
        this.state.executors.delete(executor);
    }

    /** Ends all runs of an executor as `lost`, for example because it restarted. */
    recordRunsLost(now: number, executor: ExecutorId, source: EndSource = "leaseEnd"): void {
        const row = this.state.executors.get(executor);
        if (row !== undefined) {
            row.runsOfUnknownTasks.clear();
            this.state.recordRoomGain(row);
        }
        for (const run of [...row?.runs.values() ?? []]) {
            this.endRun(now, run, "lost", source);
        }
    }

    /** Adds a job, unless it is already known. The occurrences of a schedule are added by `openDueOccurrences`. */
    addJob(now: number, submission: JobSubmission): void {
        if (this.state.jobs.has(submission.job)) {
            return;
        }
        if (submission.queueRules !== undefined) {
            this.applyStoredRules(submission.queueRules, submission.queueRulesVersion ?? 0);
        }
        const team = this.state.getTeam(submission.team);
        const job = createJobRow(submission, team, takeRateToken(team, now));
        this.state.jobs.set(submission.job, job);
        if (submission.spec.schedule === undefined) {
            addOccurrence(this.state, job, 0, submission.acceptedAt);
            job.nextOccurrence = 1;
        }
    }

    /** Charges what is left of a job that an earlier owner ended, unless the job is already known. */
    addEndedJob(ended: EndedJob): void {
        if (!this.state.jobs.has(ended.job)) {
            addEndedJob(this.state, ended);
        }
    }

    /** Returns the tasks of a job of which executors may hold runs, and its team; `undefined` if there are none. */
    findRemainingTasks(job: JobId): { readonly team: TeamId; readonly tasks: readonly RemainingTasks[]; } | undefined {
        const row = this.state.jobs.get(job);
        const tasks = row === undefined ? [] : listRemainingTasks(row);
        return row === undefined || tasks.length === 0 ? undefined : { team: row.team.id, tasks };
    }

    /** Cancels a job unless it has ended. Returns its state afterwards, or `undefined` if the job is not known. */
    cancelJob(job: JobId): JobState | undefined {
        const row = this.state.jobs.get(job);
        if (row !== undefined) {
            endJob(this.state, row, "cancelled");
        }
        return row?.phase;
    }

    /** Deletes an ended job if none of its tasks can still run. Returns whether it was deleted. */
    forgetJob(job: JobId): boolean {
        const row = this.state.jobs.get(job);
        const canForget = row !== undefined && !this.state.isOpen(row) && row.activeRuns === 0
            && (!this.state.hasUnknownTasks || listUnknownTasks(row).length === 0);
        return canForget && this.state.jobs.delete(job);
    }

    /** Returns the state of a job, or `undefined` if the job is not known. */
    getJobState(job: JobId): JobState | undefined {
        return this.state.jobs.get(job)?.phase;
    }

    /** Returns for each queue the number of jobs of which no task has started. */
    countPending(): Map<QueueId, number> {
        const counts = new Map<QueueId, number>();
        for (const job of this.state.jobs.values()) {
            if (job.phase === "queued") {
                const queue = job.submission.queue;
                counts.set(queue, (counts.get(queue) ?? 0) + 1);
            }
        }
        return counts;
    }

    /** Adopts a run that an executor lists. `false`: its task is done or its job not open, and it must be stopped. */
    adoptRun(now: number, executor: ExecutorId, listed: ListedRun): boolean {
        const task = this.findTask(listed.task) ?? this.openOccurrenceOfRun(now, listed.task);
        if (task === undefined || task.state === "done" || !this.state.isOpen(task.step.occurrence.job)) {
            return false;
        }
        const row = this.findRun(executor, listed.task, listed.run);
        if (row === undefined) {
            const run: RunRow = {
                task,
                number: listed.run,
                executor,
                resources: getChargedResources(task.step),
                startedAt: now,
                state: "running",
                isProven: true,
                isProbe: false,
                provenAfterMs: 0,
                countsAsCrash: false,
                percent: listed.percent,
                lastProgressAt: now,
                lastReportedAt: now,
                tailMs: listed.tailMs,
                speedPercent: undefined,
            };
            this.state.addRun(run);
            this.state.markJobRunning(task.step.occurrence.job);
        }
        return true;
    }

    /**
     * Charges a run that has to be stopped to its executor until its end is recorded. If its task is not known, its
     * resources are not known either, and until then nothing else starts on the executor.
     */
    adoptRunToStop(now: number, executor: ExecutorId, listed: ListedRun): void {
        const task = this.findTask(listed.task);
        if (task === undefined) {
            addRunOfUnknownTask(this.state.executors.get(executor), listed, now);
        }
        else if (this.findRun(executor, listed.task, listed.run) === undefined) {
            this.state.addRun({
                task,
                number: listed.run,
                executor,
                resources: getChargedResources(task.step),
                startedAt: now,
                state: "stopping",
                isProven: true,
                isProbe: false,
                provenAfterMs: 0,
                countsAsCrash: false,
                percent: 0,
                lastProgressAt: now,
                lastReportedAt: now,
                tailMs: undefined,
                speedPercent: undefined,
            });
        }
    }

    /** Records that an executor confirmed a start. It may still crash under it. */
    recordStarted(now: number, executor: ExecutorId, task: TaskKey, run: number): void {
        const row = this.findRun(executor, task, run);
        if (row?.state === "starting") {
            row.state = "running";
            row.lastProgressAt = now;
            this.state.markJobRunning(row.task.step.occurrence.job);
            this.state.executors.get(executor)!.refusedStarts = 0;
        }
    }

    /** Records that an executor lists a run, with the progress of the run. */
    recordRunning(now: number, executor: ExecutorId, listed: ListedRun): void {
        this.recordStarted(now, executor, listed.task, listed.run);
        const run = this.findRun(executor, listed.task, listed.run);
        if (run === undefined) {
            return;
        }
        recordSurvivedStart(this.state, now, run);
        clearLateLosses(run.task.step, now - run.startedAt);
        run.lastReportedAt = now;
        const isLongRunning = run.task.step.spec.isLongRunning;
        if (listed.percent > run.percent || isLongRunning && listed.percent >= 100) {
            run.lastProgressAt = now;
        }
        // The percentage of a long-running task falls again when the task becomes less available.
        run.percent = isLongRunning ? listed.percent : Math.max(run.percent, listed.percent);
        if (listed.checkpoint !== "") {
            run.task.checkpoint = listed.checkpoint;
        }
        run.tailMs = listed.tailMs ?? run.tailMs;
    }

    /** Records that an executor crashed under proven runs, which were of the given ages. */
    recordLateLosses(runs: readonly LateLoss[]): void {
        this.state.lateCrashCount += 1;
        for (const loss of runs) {
            const step = this.findTask(loss.task)?.step;
            if (step !== undefined) {
                recordLateLoss(step, { ...loss, crash: this.state.lateCrashCount });
            }
        }
    }

    /** Records the end of a run, also of one that this owner did not start. Returns whether its task is known. */
    recordEnd(now: number, end: RunEnd, source: EndSource = "listing"): boolean {
        const executor = this.state.executors.get(end.executor);
        if (executor?.runsOfUnknownTasks.delete(toRunKey(end.task, end.run)) === true) {
            this.state.recordRoomGain(executor);
        }
        const task = this.findTask(end.task);
        if (task === undefined) {
            return this.recordEarlyEnd({ end, source });
        }
        applyRunEnd(this.state, now, {
            task,
            number: end.run,
            row: this.findRun(end.executor, end.task, end.run),
            outcome: end.outcome,
            checkpoint: end.checkpoint,
            executor: end.executor,
            source,
        });
        return true;
    }

    /**
     * Keeps the end of a run whose occurrence is not open yet: the clock of the owner that opened it was ahead, or more
     * occurrences than a job has open at a time have ended. Returns whether the job has the occurrence.
     */
    private recordEarlyEnd(early: EarlyEnd): boolean {
        const parts = parseTaskKey(early.end.task);
        const job = parts === undefined ? undefined : this.state.jobs.get(parts.job);
        if (
            parts === undefined || job === undefined || parts.occurrence < job.nextOccurrence
            || parts.occurrence >= countOccurrences(job)
        ) {
            return false;
        }
        const kept = job.earlyEnds.get(parts.occurrence) ?? [];
        kept.push(early);
        job.earlyEnds.set(parts.occurrence, kept);
        return true;
    }

    /**
     * Opens the occurrences up to that of a run which an executor lists, because an earlier owner found it due. Returns its
     * task, or `undefined` if the job does not have it or cannot open as many occurrences.
     */
    private openOccurrenceOfRun(now: number, key: TaskKey): TaskRow | undefined {
        const parts = parseTaskKey(key);
        const job = parts === undefined ? undefined : this.state.jobs.get(parts.job);
        if (parts === undefined || job?.submission.spec.schedule === undefined) {
            return undefined;
        }
        while (job.nextOccurrence <= parts.occurrence && this.state.isOpen(job) && canOpenOccurrence(job)) {
            this.openNextOccurrence(now, job, now);
        }
        return this.findTask(key);
    }

    private openNextOccurrence(now: number, job: JobRow, dueAt: number): void {
        const occurrence = job.nextOccurrence;
        addOccurrence(this.state, job, occurrence, dueAt);
        job.nextOccurrence += 1;
        this.applyEarlyEnds(now, job, occurrence);
    }

    private applyEarlyEnds(now: number, job: JobRow, occurrence: number): void {
        const kept = job.earlyEnds.get(occurrence) ?? [];
        job.earlyEnds.delete(occurrence);
        kept.forEach(({ end, source }) => this.recordEnd(now, end, source));
    }

    /** Lists the runs charged to an executor. */
    listRuns(executor: ExecutorId): { readonly task: TaskKey; readonly run: number; }[] {
        return [...this.state.executors.get(executor)?.runs.values() ?? []].map(run => ({
            task: run.task.key,
            run: run.number,
        }));
    }

    /**
     * Sets tasks in the state `unknown` to `waiting`, except those in `unsettled`, which may still run. Returns their
     * number.
     */
    releaseUnknownTasks(unsettled: ReadonlySet<TaskKey> = new Set(), now = 0): number {
        this.state.hasReleasedUnknownTasks = true;
        this.state.unsettledTasks = unsettled;
        let released = 0;
        for (const job of this.state.jobs.values()) {
            for (const task of listUnknownTasks(job).filter(({ key }) => !unsettled.has(key))) {
                setTaskState(task, "waiting");
                task.earlierRun ??= createUnlistedRun(now);
                released += 1;
            }
        }
        return released;
    }

    /** Records the advisor's answer about the executors in `asked`; `grants` is `undefined` if the call failed. */
    recordAdvice(
        now: number,
        step: StepKey,
        asked: readonly ExecutorId[],
        grants: readonly AdviceGrant[] | undefined,
    ): void {
        const row = this.findStep(step);
        if (row !== undefined) {
            recordAdvice(this.state, now, row, asked, grants);
        }
    }

    /** Passes requests for advisors to `send`, in the order of `AdviceOrder`. */
    sendAdviceRequests(now: number, send: (request: AdviceRequest) => AdviceSendResult): void {
        sendAdviceRequests(this.state, now, selectRankedSteps(this.state, now), send);
    }

    /** Adds the occurrences of scheduled jobs that are due. `wallNow` is wall-clock milliseconds since 1970. */
    openDueOccurrences(now: number, wallNow: number): void {
        for (const job of this.state.jobs.values()) {
            const schedule = job.submission.spec.schedule;
            while (schedule !== undefined && this.state.isOpen(job) && canOpenOccurrence(job)) {
                const dueInMs = schedule.startAtWallMs + job.nextOccurrence * schedule.intervalMs - wallNow;
                if (dueInMs > 0) {
                    break;
                }
                this.openNextOccurrence(now, job, now + dueInMs);
            }
        }
    }

    /** Records that an executor did not confirm a throttle decision; the next tick decides it again. */
    recordThrottleUnconfirmed(executor: ExecutorId, task: TaskKey, run: number): void {
        const row = this.findRun(executor, task, run);
        if (row !== undefined) {
            row.speedPercent = undefined;
        }
    }

    /** Returns whether the executor must report often, because its latencies decide the speed of best-effort tasks. */
    needsFrequentReports(executor: ExecutorId): boolean {
        const row = this.state.executors.get(executor);
        return row !== undefined && needsThrottling(row);
    }

    /**
     * Returns which open steps did not start their tasks for some time, and why. Its cost is bounded, but higher than that
     * of a tick, so it is called about once a second.
     */
    sampleWaitingSteps(now: number): WaitingSample {
        return this.waitingSteps.sample(this.state, now);
    }

    /** Returns which probes are in flight and which steps wait for one. Called about once a second. */
    sampleProbes(now: number): ProbeSample {
        return sampleProbes(this.state, now, selectRankedSteps(this.state, now).map(({ step }) => step));
    }

    /** Returns the jobs that were given up for their crashes since the previous call. */
    takeGivenUpJobs(): readonly GivenUpJob[] {
        return this.state.givenUp.splice(0);
    }

    /** Stops runs that are stalled or must leave, places tasks, and returns all decisions since the previous tick. */
    tick(now: number): TickDecisions {
        stopStalledRuns(this.state, now);
        updateUnknownUsage(this.state, now);
        stopRunsOfLeavingExecutors(this.state, now);
        placeTasks(this.state, now, selectRankedSteps(this.state, now));
        return {
            starts: this.state.starts.splice(0),
            stops: this.state.stops.splice(0),
            throttles: decideThrottles(this.state, now),
            changes: this.state.changes.splice(0),
        };
    }

    private endRun(now: number, run: RunRow, outcome: EndedRun["outcome"], source: EndSource): void {
        const { task, number, executor } = run;
        applyRunEnd(this.state, now, { task, number, row: run, outcome, checkpoint: "", executor, source });
    }

    private findRun(executor: ExecutorId, task: TaskKey, run: number): RunRow | undefined {
        return this.state.executors.get(executor)?.runs.get(toRunKey(task, run));
    }

    private findStep(key: StepKey): StepRow | undefined {
        const task = this.findTask(toId<TaskKey>(`${key}.0`));
        return task?.step;
    }

    private findTask(key: TaskKey): TaskRow | undefined {
        const parts = parseTaskKey(key);
        const job = parts === undefined ? undefined : this.state.jobs.get(parts.job);
        return parts === undefined
            ? undefined
            : job?.occurrences.get(parts.occurrence)?.steps[parts.step]?.tasks[parts.index];
    }
}

/** Returns what is known of the runs of a task that only an earlier owner can have started. */
function createUnlistedRun(now: number): RecordedRun {
    return { run: 0, executor: undefined, outcome: "neverListed", source: "release", recordedAt: now };
}

/** Returns whether the job has a further occurrence, and not too many unfinished ones, which may all be due at once. */
function canOpenOccurrence(job: JobRow): boolean {
    const tasks = job.submission.spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
    const unfinished = job.nextOccurrence - job.finishedOccurrences;
    return job.nextOccurrence < countOccurrences(job) && (unfinished === 0 || unfinished * tasks < maxOpenTasksPerJob);
}

function createExecutorRow(update: ExecutorUpdate): ExecutorRow {
    return {
        id: update.executor,
        pool: update.pool,
        zone: update.zone,
        rack: update.rack,
        labels: new Set(update.labels),
        capacity: update.capacity,
        used: zeroResources,
        isReady: false,
        isReachable: false,
        leavesAt: undefined,
        emptyBy: undefined,
        runs: new Map(),
        bestEffortRuns: 0,
        servingRuns: 0,
        unprovenRuns: 0,
        probeRuns: 0,
        runsOfUnknownTasks: new Map(),
        lastStart: undefined,
        refusedStarts: 0,
        failureRate: 0,
        slowdown: 1,
        avoidUntil: 0,
        bestEffortSpeedPercent: 100,
        bestEffortSpeedChangedAt: 0,
    };
}
