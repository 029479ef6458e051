/**
 * The placement engine: tables of workers, teams, jobs and tasks, and systems that process them in a fixed order each
 * tick.
 *
 * The engine does no input or output and reads no clock, so its decisions depend only on the calls that it gets.
 * Capacity is allocated when a start is decided, and released only when the caller records that the task ended or
 * provably did not run.
 */
import type { JobId, ResourceVector, Result, TaskId, TeamId, WorkerId } from "@waxwingroute/core";
import { Err, Ok } from "@waxwingroute/core";
import type { Failure, Verdict } from "@waxwingroute/core";
import { explainJob } from "./explain.js";
import { createJobRow, validateSubmission } from "./job-submission.js";
import { PlacementSystem } from "./placement-system.js";
import { PreemptionSystem } from "./preemption-system.js";
import { adoptTask, recordEndBeforeTakeover } from "./recovery.js";
import { ReservationSystem } from "./reservation-system.js";
import type { TaskRow } from "./rows.js";
import { PlacementState } from "./state.js";
import { computeSummary, listTeamDemands } from "./summaries.js";
import { computeWantedWindowEnd, countWaiting } from "./task-indexes.js";
import { recordTaskOutcome } from "./task-outcomes.js";
import type {
    AdoptedTask,
    Decision,
    EndOutcome,
    EngineSummary,
    JobExplanation,
    JobSubmission,
    PlacementOptions,
    TeamDemand,
    TeamUpdate,
    TickBudget,
    TickResult,
    WindowRequest,
    WorkerUpdate,
} from "./types.js";

/** Most decisions of one tick, unless the caller sets another limit. */
const defaultMaxDecisions = 1000;

/**
 * Places the work of one shard.
 *
 * @example
 * ```ts
 * const engine = new PlacementEngine({ objective: "waiting" });
 * engine.updateWorker({ worker, rack, capacity, isInRotation: true });
 * engine.submitJob(now, { job, team, kind: "batch", taskCount: 10, resources });
 * for (const decision of engine.tick(now).decisions) { ... }
 * ```
 */
export class PlacementEngine {
    private readonly state: PlacementState;
    private readonly placement: PlacementSystem;
    private readonly reservations: ReservationSystem;
    private readonly preemption: PreemptionSystem;

    constructor(options: PlacementOptions = {}) {
        this.state = new PlacementState(options);
        this.placement = new PlacementSystem(this.state);
        this.reservations = new ReservationSystem(this.state);
        this.preemption = new PreemptionSystem(this.state);
    }

    /** Adds or changes a worker. Its tasks keep their capacity, also where they exceed a lowered capacity. */
    updateWorker(change: WorkerUpdate): void {
        this.state.workers.update(change);
    }

    /** Removes a worker. Its tasks still count against the grant of their team until they are recorded as ended. */
    removeWorker(worker: WorkerId): void {
        const row = this.state.workers.findRow(worker);
        if (row === undefined) {
            return;
        }
        for (const reservation of this.state.reservations) {
            if (reservation.parts.some(part => part.workerRow === row)) {
                this.state.removeReservation(reservation);
            }
        }
        this.state.health.remove(row);
        this.state.workers.remove(row);
    }

    /** Sets the weight and the limit of a team. A team with a limit starts no task before `setGrant`. */
    setTeam(change: TeamUpdate): void {
        const team = this.state.ensureTeam(change.team);
        team.weight = change.weight ?? 1;
        team.limit = change.limit;
        team.overLimit = change.overLimit ?? "finish";
        this.state.resumeGrantBlocked(team);
    }

    /** Sets how much a team may use in this shard; `undefined` means no bound for a team without a limit. */
    setGrant(team: TeamId, grant: ResourceVector | undefined): void {
        const row = this.state.ensureTeam(team);
        row.grant = grant;
        this.state.resumeGrantBlocked(row);
    }

    /**
     * Adds a job. Fails with `unschedulable` if its tasks can never run, with `invalid-job` for invalid values and with
     * `job-exists` for the id of a known job; every failure has the verdict `notRun`.
     */
    submitJob(now: number, submission: JobSubmission): Result<void, Failure> {
        this.advanceTo(now);
        const failure = validateSubmission(this.state, submission);
        if (failure !== undefined) {
            return Err(failure);
        }
        const job = createJobRow(this.state, submission);
        this.state.jobs.set(job.id, job);
        this.state.addDemand(job, job.taskCount);
        this.state.refreshWindowRequest(job);
        this.state.queues.refreshJob(job);
        return Ok(undefined);
    }

    /** Cancels a job: drops its waiting tasks; the next ticks stop the running ones. Returns whether the job exists. */
    cancelJob(job: JobId): boolean {
        const row = this.state.jobs.get(job);
        if (row === undefined || row.isCancelled) {
            return row !== undefined;
        }
        this.state.addDemand(row, -countWaiting(row));
        row.isCancelled = true;
        this.state.queues.refreshJob(row);
        this.reservations.releaseReservations(row);
        this.state.tasksToStop.push(...row.running.values());
        this.state.refreshWindowRequest(row);
        this.state.removeJobIfFinished(row);
        return true;
    }

    /**
     * Adds a task that already runs or may run. It holds capacity even if that exceeds what its worker has. Fails with
     * `unknown-job`, with `unknown-worker`, or with `task-elsewhere` for a task that is known on another worker.
     */
    adoptTask(now: number, adopted: AdoptedTask): Result<void, Failure> {
        this.advanceTo(now);
        return adoptTask(this.state, adopted);
    }

    /** Lets tasks with an index below `windowEnd` start, because the journal now records that they may have started. */
    extendStartWindow(job: JobId, windowEnd: number): void {
        const row = this.state.jobs.get(job);
        if (row !== undefined && windowEnd > row.windowEnd) {
            row.windowEnd = windowEnd;
            this.state.refreshWindowRequest(row);
            this.state.queues.refreshJob(row);
        }
    }

    /** Returns the jobs that need a larger start window, each until `extendStartWindow` gives it one. */
    collectWindowRequests(): WindowRequest[] {
        return [...this.state.jobsWantingWindow].map(job => ({
            job: job.id,
            windowEnd: computeWantedWindowEnd(job, this.state.options.windowSize),
        }));
    }

    /** Returns the use and the demand of every team, by which the limits of teams are divided among shards. */
    collectTeamDemands(): TeamDemand[] {
        return listTeamDemands(this.state);
    }

    /** Records that a worker confirmed a start. */
    recordTaskStarted(now: number, task: TaskId): void {
        this.advanceTo(now);
        const row = this.state.tasks.get(task);
        if (row !== undefined && row.state !== "stopping") {
            row.expectedEnd += now - row.startedAt;
            row.startedAt = now;
            row.state = "running";
        }
    }

    /**
     * Records that a start failed. With `notRun` the task waits again; otherwise it may run, and it keeps its capacity
     * until `recordTaskEnded`.
     */
    recordStartFailed(now: number, task: TaskId, verdict: Verdict): void {
        this.advanceTo(now);
        const row = this.state.tasks.get(task);
        if (row === undefined) {
            return;
        }
        recordTaskOutcome(this.state, row, "failed");
        if (verdict === "notRun") {
            this.state.removeTask(row);
            this.returnIndex(row);
        }
        else if (row.state !== "stopping") {
            row.state = "uncertain";
        }
    }

    /**
     * Records that a task ended, or that a task of a restored job had ended before, and returns whether the job is
     * finished. `preempted` tasks wait again; others do so with `isRetried`.
     */
    recordTaskEnded(now: number, task: TaskId, outcome: EndOutcome, isRetried = outcome === "preempted"): boolean {
        this.advanceTo(now);
        const row = this.state.tasks.get(task);
        if (row === undefined) {
            return recordEndBeforeTakeover(this.state, task, isRetried);
        }
        recordTaskOutcome(this.state, row, outcome);
        this.state.removeTask(row);
        if (isRetried && !row.job.isCancelled) {
            this.returnIndex(row);
        }
        else {
            row.job.finishedCount++;
        }
        return this.state.removeJobIfFinished(row.job);
    }

    /** Runs each system once and returns the decisions. */
    tick(now: number, budget: TickBudget = {}): TickResult {
        const state = this.state;
        this.advanceTo(now);
        const decisions: Decision[] = [];
        state.decisions = decisions;
        state.maxDecisions = budget.maxDecisions ?? defaultMaxDecisions;
        state.refreshShares();
        this.stopCancelled();
        this.preemption.preemptAboveGrants();
        this.reservations.startReadyJobs();
        state.queues.resumePaused(now);
        state.queues.openFittingShapes(state.workers);
        this.placement.run();
        this.reservations.fillHeldCapacity();
        this.preemption.preemptForUrgent();
        this.reservations.reserveNext();
        return { decisions, isBudgetExhausted: state.isBudgetExhausted };
    }

    /** Explains why a job waits; `undefined` if it is not known or has ended. */
    explain(job: JobId): JobExplanation | undefined {
        const row = this.state.jobs.get(job);
        return row === undefined ? undefined : explainJob(this.state, row);
    }

    /** Returns totals for metrics. */
    getSummary(): EngineSummary {
        return computeSummary(this.state);
    }

    private advanceTo(now: number): void {
        this.state.now = Math.max(this.state.now, now);
    }

    private stopCancelled(): void {
        const { state } = this;
        while (state.tasksToStop.length > 0 && !state.isBudgetExhausted) {
            const task = state.tasksToStop.pop() as TaskRow;
            if (task.hasEnded) {
                continue;
            }
            state.markStopping(task);
            state.decisions.push({
                kind: "stop",
                task: task.id,
                job: task.job.id,
                team: task.job.team.id,
                worker: state.workers.ids[task.workerRow] as WorkerId,
                reason: "cancelled",
            });
        }
    }

    private returnIndex(task: TaskRow): void {
        const job = task.job;
        if (!job.isCancelled) {
            job.returnedIndexes.push(task.index);
            this.state.addDemand(job, 1);
            this.state.queues.refreshJob(job);
        }
        this.state.removeJobIfFinished(job);
    }
}
