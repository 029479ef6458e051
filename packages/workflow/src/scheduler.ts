/**
 * The scheduler of one cell: a pure state machine over tables of executors, jobs, queues and teams. It does no input or
 * output and reads no clock. The caller reports what happens, asks for decisions with `tick` and `sendAdvice`, and carries
 * them out.
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
import type { ExecutorId, JobId, QueueId } from "@waxwingroute/core";
import { toId, zeroResources } from "@waxwingroute/core";
import { recordAdvice, sendAdviceRequests } from "./advice-system.js";
import type { EndedRun } from "./end-system.js";
import { applyRunEnd, endJob } from "./end-system.js";
import { stopRunsOfLeavingExecutors } from "./evacuation-system.js";
import { addOccurrence, countOccurrences, createJobRow, takeRateToken } from "./job-rows.js";
import { parseTaskKey } from "./keys.js";
import { placeTasks } from "./placement-system.js";
import { selectRankedSteps } from "./rank.js";
import type { ExecutorRow, JobRow, RunRow, StepRow, TaskRow } from "./rows.js";
import { toRunKey } from "./rows.js";
import { stopStalledRuns } from "./stall-system.js";
import { getChargedResources, SchedulerState } from "./state.js";
import { decideThrottles, needsThrottling } from "./throttling-system.js";
import type {
    AdviceGrant,
    AdviceRequest,
    AdviceSendResult,
    ExecutorUpdate,
    JobState,
    JobSubmission,
    ListedRun,
    RunEnd,
    SchedulerOptions,
    SchedulerRules,
    StepKey,
    TaskKey,
    TickDecisions,
} from "./types.js";
import { listUnknownTasks, updateUnknownUsage } from "./unknown-tasks-system.js";

/** Run numbers of one owner; the next owner begins above them. */
export const runNumbersPerEpoch = 10_000;

export class WorkflowScheduler {
    private readonly state: SchedulerState;

    constructor(options: SchedulerOptions = {}) {
        this.state = new SchedulerState({
            stallFactor: options.stallFactor ?? 6,
            stallFloorMs: options.stallFloorMs ?? 3_000,
            ticketMarginMs: options.ticketMarginMs ?? 250,
            stopMs: options.stopMs ?? 1_000,
        });
    }

    /** Number of jobs in the tables. */
    get jobCount(): number {
        return this.state.jobs.size;
    }

    /** Sets the epoch of the owner, from 1 up, which decides where run numbers begin. */
    setEpoch(epoch: number): void {
        this.state.runNumberBase = (epoch - 1) * runNumbersPerEpoch;
    }

    /** Replaces the declared queues and teams. Jobs of a removed queue keep its last rules. */
    applyRules(rules: SchedulerRules): void {
        for (const queue of rules.queues) {
            const row = this.state.queues.get(queue.queue);
            if (row === undefined) {
                this.state.queues.set(queue.queue, { rules: queue, estimateRatio: 1, grantRate: 0.5 });
            }
            else {
                row.rules = queue;
            }
        }
        rules.teams.forEach(team => {
            this.state.getTeam(team.team).rules = team;
        });
    }

    /** Adds or changes an executor. Its runs stay. */
    updateExecutor(update: ExecutorUpdate): void {
        const row = this.state.executors.ensure(update.executor, () => createExecutorRow(update));
        row.pool = update.pool;
        row.zone = update.zone;
        row.rack = update.rack;
        row.labels = new Set(update.labels);
        row.capacity = update.capacity;
        row.isReady = update.state === "ready";
        row.isReachable = update.state !== "unreachable";
        row.leavesAt = update.leavesAt;
        row.emptyBy = update.emptyBy;
    }

    /** Removes an executor; its runs end as `lost`. The caller makes sure that they no longer run. */
    removeExecutor(now: number, executor: ExecutorId): void {
        this.recordRunsLost(now, executor);
        this.state.executors.delete(executor);
    }

    /** Ends all runs of an executor as `lost`, for example because it restarted. */
    recordRunsLost(now: number, executor: ExecutorId): void {
        this.state.executors.get(executor)?.unknownRuns.clear();
        for (const run of [...this.state.executors.get(executor)?.runs.values() ?? []]) {
            this.endRun(now, run, "lost");
        }
    }

    addJob(now: number, submission: JobSubmission): void {
        if (this.state.jobs.has(submission.job)) {
            return;
        }
        const team = this.state.getTeam(submission.team);
        const job = createJobRow(submission, team, takeRateToken(team, now));
        this.state.jobs.set(submission.job, job);
        if (submission.spec.schedule === undefined) {
            addOccurrence(this.state, job, 0, submission.acceptedAt);
            job.nextOccurrence = 1;
        }
    }

    /** Cancels a job; returns its state afterwards, or `undefined` if it is not known. */
    cancelJob(job: JobId): JobState | undefined {
        const row = this.state.jobs.get(job);
        if (row !== undefined) {
            endJob(this.state, row, "cancelled");
        }
        return row?.phase;
    }

    /** Forgets a finished job of which nothing can run any more; returns whether it was forgotten. */
    forgetJob(job: JobId): boolean {
        const row = this.state.jobs.get(job);
        const canForget = row !== undefined && !this.state.isOpen(row) && row.activeRuns === 0
            && (!this.state.hasUnknownTasks || listUnknownTasks(row).length === 0);
        return canForget && this.state.jobs.delete(job);
    }

    getJobState(job: JobId): JobState | undefined {
        return this.state.jobs.get(job)?.phase;
    }

    /** Returns the jobs of each queue for which no task has started. */
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

    /** Takes over a run that an executor lists. Returns whether it belongs to an open job; otherwise it has to be stopped. */
    adoptRun(now: number, executor: ExecutorId, listed: ListedRun): boolean {
        const task = this.findTask(listed.task);
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
                percent: listed.percent,
                lastProgressAt: now,
                tailMs: listed.tailMs,
                speedPercent: undefined,
            };
            this.state.addRun(run);
            this.markRunning(task);
        }
        return true;
    }

    /**
     * Charges a run that has to be stopped to its executor until its end is recorded. If the task is not known, neither is
     * the room that it takes, and nothing starts on the executor.
     */
    adoptOrphanedRun(now: number, executor: ExecutorId, listed: ListedRun): void {
        const task = this.findTask(listed.task);
        if (task === undefined) {
            this.state.executors.get(executor)?.unknownRuns.add(toRunKey(listed.task, listed.run));
        }
        else if (this.findRun(executor, listed.task, listed.run) === undefined) {
            this.state.addRun({
                task,
                number: listed.run,
                executor,
                resources: getChargedResources(task.step),
                startedAt: now,
                state: "stopping",
                percent: 0,
                lastProgressAt: now,
                tailMs: undefined,
                speedPercent: undefined,
            });
        }
    }

    /** Records that a start was answered, or that a run is listed, with its progress. */
    recordRunning(now: number, executor: ExecutorId, listed: ListedRun): void {
        const run = this.findRun(executor, listed.task, listed.run);
        if (run === undefined) {
            return;
        }
        if (run.state === "starting") {
            run.state = "running";
            run.lastProgressAt = now;
        }
        const isLongRunning = run.task.step.spec.isLongRunning;
        if (listed.percent > run.percent || isLongRunning && listed.percent >= 100) {
            run.lastProgressAt = now;
        }
        // The share of a long-running task falls again when it is no longer at work.
        run.percent = isLongRunning ? listed.percent : Math.max(run.percent, listed.percent);
        if (listed.checkpoint !== "") {
            run.task.checkpoint = listed.checkpoint;
        }
        run.tailMs = listed.tailMs ?? run.tailMs;
    }

    /** Records the end of a run, also of one that this owner did not start. Returns whether its job is known. */
    recordEnd(now: number, end: RunEnd): boolean {
        this.state.executors.get(end.executor)?.unknownRuns.delete(toRunKey(end.task, end.run));
        const task = this.findTask(end.task);
        if (task === undefined) {
            return false;
        }
        applyRunEnd(this.state, now, {
            task,
            number: end.run,
            row: this.findRun(end.executor, end.task, end.run),
            outcome: end.outcome,
            checkpoint: end.checkpoint,
        });
        return true;
    }

    /** Lists the runs charged to an executor. */
    listRuns(executor: ExecutorId): { readonly task: TaskKey; readonly run: number; }[] {
        return [...this.state.executors.get(executor)?.runs.values() ?? []].map(run => ({
            task: run.task.key,
            run: run.number,
        }));
    }

    /** Lets tasks start whose whereabouts were unknown after a change of owner, except those that may still run. */
    releaseUnknownTasks(unsettled: ReadonlySet<TaskKey> = new Set()): void {
        this.state.isSettled = true;
        for (const job of this.state.jobs.values()) {
            for (const occurrence of job.occurrences.values()) {
                for (const step of occurrence.steps) {
                    step.tasks.filter(task => task.state === "unknown" && !unsettled.has(task.key)).forEach(task => {
                        task.state = "waiting";
                    });
                }
            }
        }
    }

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

    /** Offers questions to advisors to `send`, the most urgent first. */
    sendAdviceRequests(now: number, send: (decision: AdviceRequest) => AdviceSendResult): void {
        sendAdviceRequests(this.state, now, selectRankedSteps(this.state, now), send);
    }

    /** Opens occurrences whose time has come. `wallNow` is wall-clock milliseconds since 1970. */
    openDueOccurrences(now: number, wallNow: number): void {
        for (const job of this.state.jobs.values()) {
            const schedule = job.submission.spec.schedule;
            while (schedule !== undefined && this.state.isOpen(job) && job.nextOccurrence < countOccurrences(job)) {
                const dueIn = schedule.startAtWallMs + job.nextOccurrence * schedule.intervalMs - wallNow;
                if (dueIn > 0) {
                    break;
                }
                addOccurrence(this.state, job, job.nextOccurrence, now + dueIn);
                job.nextOccurrence += 1;
            }
        }
    }

    /** Records that an executor did not confirm a pace; it is decided again with the next tick. */
    recordThrottleUnconfirmed(executor: ExecutorId, task: TaskKey, run: number): void {
        const row = this.findRun(executor, task, run);
        if (row !== undefined) {
            row.speedPercent = undefined;
        }
    }

    /** Returns whether the response times of serving tasks on the executor decide how fast others may work. */
    needsFrequentReports(executor: ExecutorId): boolean {
        const row = this.state.executors.get(executor);
        return row !== undefined && needsThrottling(row);
    }

    /** Stops stalled runs, places tasks, and returns everything decided since the last tick. */
    tick(now: number): TickDecisions {
        stopStalledRuns(this.state, now);
        updateUnknownUsage(this.state);
        stopRunsOfLeavingExecutors(this.state, now);
        placeTasks(this.state, now, selectRankedSteps(this.state, now));
        return {
            starts: this.state.starts.splice(0),
            stops: this.state.stops.splice(0),
            throttles: decideThrottles(this.state, now),
            changes: this.state.changes.splice(0),
        };
    }

    private markRunning(task: TaskRow): void {
        const job: JobRow = task.step.occurrence.job;
        if (job.phase === "queued") {
            job.phase = "running";
            this.state.changes.push({ job: job.id, queue: job.submission.queue, state: "running" });
        }
    }

    private endRun(now: number, run: RunRow, outcome: EndedRun["outcome"]): void {
        applyRunEnd(this.state, now, { task: run.task, number: run.number, row: run, outcome, checkpoint: "" });
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
        unknownRuns: new Set(),
        failureRate: 0,
        slowdown: 1,
        avoidUntil: 0,
        bestEffortSpeedPercent: 100,
        bestEffortSpeedChangedAt: 0,
    };
}
