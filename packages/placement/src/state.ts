/**
 * The tables of the engine, and the operations that change them together so that they agree. The systems read and
 * change them only through this class.
 */
import { Table, toTaskId } from "@waxwingroute/core";
import type { JobId, ResourceVector, TaskId, TeamId } from "@waxwingroute/core";
import { JobQueues } from "./job-queues.js";
import type { JobRow, Reservation, TaskRow, TaskShape, TaskState, TeamRow } from "./rows.js";
import { RunTimeEstimates } from "./run-time-estimates.js";
import { computeWantedWindowEnd, countStartable, countWaiting, takeNextIndex } from "./task-indexes.js";
import { createTeam } from "./team-row.js";
import { fitsGrant, TeamShares } from "./team-shares.js";
import type { Decision, PlacementOptions, PreemptDecision, StartReason } from "./types.js";
import { WorkerHealth } from "./worker-health.js";
import { WorkerTable } from "./worker-table.js";

/** All tables of one engine. */
export class PlacementState {
    now = 0;
    /** Decisions of the current tick. */
    decisions: Decision[] = [];
    maxDecisions = 0;
    readonly options: Required<PlacementOptions>;
    readonly workers = new WorkerTable();
    readonly teams = new Table<TeamId, TeamRow>();
    readonly jobs = new Table<JobId, JobRow>();
    readonly tasks = new Table<TaskId, TaskRow>();
    /** Tasks that hold capacity of a worker, by worker row. */
    readonly workerTasks: Set<TaskRow>[] = [];
    readonly queues: JobQueues;
    readonly shares: TeamShares;
    readonly health: WorkerHealth;
    readonly estimates: RunTimeEstimates;
    readonly reservations = new Set<Reservation>();
    /** Jobs that need a larger start window. */
    readonly jobsWantingWindow = new Set<JobRow>();
    /** Running tasks of cancelled jobs that were not told to stop yet. */
    readonly tasksToStop: TaskRow[] = [];
    private readonly shapes = new Map<string, TaskShape>();
    private searchCursor = 0;
    private nextPruneSize = 1024;

    constructor(options: PlacementOptions) {
        this.options = {
            objective: options.objective ?? "waiting",
            windowSize: options.windowSize ?? 64,
            defaultRunMs: options.defaultRunMs ?? 600_000,
            targetWaitMs: options.targetWaitMs ?? 1_800_000,
            maxReservations: options.maxReservations ?? 4,
            probeIntervalMs: options.probeIntervalMs ?? 15_000,
        };
        this.queues = new JobQueues(this.options.objective);
        this.shares = new TeamShares(this.workers, this.options.objective);
        this.health = new WorkerHealth(this.workers, this.options.probeIntervalMs);
        this.estimates = new RunTimeEstimates(this.options.defaultRunMs);
    }

    get isBudgetExhausted(): boolean {
        return this.decisions.length >= this.maxDecisions;
    }

    ensureTeam(id: TeamId): TeamRow {
        return this.teams.ensure(id, () => createTeam(id));
    }

    ensureShape(resources: ResourceVector): TaskShape {
        const key = `${resources.cpuMillis}/${resources.memoryMb}/${resources.accelerators}`;
        let shape = this.shapes.get(key);
        if (shape === undefined) {
            shape = {
                cpu: resources.cpuMillis,
                memory: resources.memoryMb,
                accelerators: resources.accelerators,
                resources,
                isOpen: true,
                ...this.queues.createTeamHeaps(),
            };
            this.pruneShapes();
            this.shapes.set(key, shape);
        }
        return shape;
    }

    /** Drops the shapes that no task waits for; running tasks keep their own reference. */
    private pruneShapes(): void {
        if (this.shapes.size < this.nextPruneSize) {
            return;
        }
        for (const [key, shape] of this.shapes) {
            if (shape.teams.size === 0) {
                this.shapes.delete(key);
            }
        }
        this.nextPruneSize = 1024 + 2 * this.shapes.size;
    }

    /** Adds `count` waiting tasks of a job, which may be negative, to the demand of its team. */
    addDemand(job: JobRow, count: number): void {
        const team = job.team;
        team.waitingCount += count;
        team.waitingCpu += job.shape.cpu * count;
        team.waitingMemory += job.shape.memory * count;
        team.waitingAccelerators += job.shape.accelerators * count;
    }

    /** Starts the next task of a job on a worker and records the decision. */
    startTask(job: JobRow, row: number, reason: StartReason, rejectedCount: number, isAllocated = false): TaskRow {
        const index = takeNextIndex(job);
        this.addDemand(job, -1);
        const runMs = job.kind === "service" ? Infinity : this.estimates.estimate(job.jobClass, job.declaredRunMs);
        const task = this.addTask(toTaskId(job.id, index), job, index, row, job.shape, runMs, "starting", isAllocated);
        task.isProbe = reason === "probe";
        this.refreshWindowRequest(job);
        this.queues.refreshJob(job);
        this.decisions.push({
            kind: "start",
            task: task.id,
            job: job.id,
            team: job.team.id,
            worker: this.workers.ids[row] as PreemptDecision["worker"],
            resources: task.shape.resources,
            reason,
            rejectedCount,
        });
        return task;
    }

    /** Adds a task that holds capacity of a worker and of its team. */
    addTask(
        id: TaskId,
        job: JobRow,
        index: number,
        row: number,
        shape: TaskShape,
        runMs: number,
        taskState: TaskState,
        isAllocated: boolean,
    ): TaskRow {
        const task: TaskRow = {
            id,
            job,
            index,
            workerRow: row,
            rack: this.workers.racks[row] as number,
            shape,
            state: taskState,
            startedAt: this.now,
            expectedEnd: this.now + runMs,
            hasEnded: false,
            isProbe: false,
        };
        if (!isAllocated) {
            this.workers.addTasks(row, shape, 1);
        }
        this.tasks.set(id, task);
        job.running.set(index, task);
        (this.workerTasks[row] ??= new Set()).add(task);
        this.addTeamUse(task, 1);
        if (job.kind === "service") {
            this.addSpreadCounts(task, 1);
        }
        if (job.kind === "batch" && job.priority === "normal") {
            job.team.preemptible.push(task);
            this.prunePreemptible(job.team);
        }
        return task;
    }

    /** Removes a task and releases what it held. */
    removeTask(task: TaskRow): void {
        const job = task.job;
        if (task.state === "stopping") {
            this.addStoppingUse(task, -1);
        }
        task.hasEnded = true;
        this.tasks.delete(task.id);
        job.running.delete(task.index);
        this.workerTasks[task.workerRow]?.delete(task);
        this.workers.addTasks(task.workerRow, task.shape, -1);
        this.addTeamUse(task, -1);
        if (job.kind === "service") {
            this.addSpreadCounts(task, -1);
        }
        this.resumeGrantBlocked(job.team);
    }

    /** Activates the queues of a team that fit its grant again. */
    resumeGrantBlocked(team: TeamRow): void {
        this.queues.resumeGrantBlocked(team, queue => fitsGrant(team, queue.shape, 1));
    }

    /** Recomputes the shares of all teams, because the capacity, the weights or the demand may have changed. */
    refreshShares(): void {
        this.shares.refreshActiveWeight(this.teams.values());
        for (const team of this.teams.values()) {
            if (this.shares.refreshShare(team)) {
                this.queues.updateTeamOrder(team);
            }
        }
    }

    /** Marks a task as stopping, so that its resources count as about to be released. */
    markStopping(task: TaskRow): void {
        if (task.state !== "stopping") {
            task.state = "stopping";
            this.addStoppingUse(task, 1);
        }
    }

    /** Undoes `markStopping` for a task that was not told to stop. */
    clearStopping(task: TaskRow): void {
        task.state = "running";
        this.addStoppingUse(task, -1);
    }

    /** Holds capacity for a job. */
    addReservation(reservation: Reservation): void {
        this.reservations.add(reservation);
        reservation.job.reservations.add(reservation);
        this.queues.reservationCandidates.remove(reservation.job.queue.candidate);
        if (reservation.purpose === "gang") {
            // The gang starts on the workers that it holds, so no others are searched for.
            this.queues.pause(reservation.job.queue, Infinity);
        }
        for (const part of reservation.parts) {
            this.workers.addHolds(part.workerRow, reservation.job.shape, part.count);
        }
    }

    removeReservation(reservation: Reservation): void {
        if (!this.reservations.delete(reservation)) {
            return;
        }
        const job = reservation.job;
        job.reservations.delete(reservation);
        for (const part of reservation.parts) {
            this.workers.addHolds(part.workerRow, job.shape, -part.count);
        }
        this.queues.addCandidate(job.queue);
        if (reservation.purpose === "gang" && job.queue.state === "paused") {
            this.queues.setState(job.queue, "active");
        }
    }

    /** Records whether a job needs a larger start window. */
    refreshWindowRequest(job: JobRow): void {
        if (!job.isCancelled && job.windowEnd < computeWantedWindowEnd(job, this.options.windowSize)) {
            this.jobsWantingWindow.add(job);
        }
        else {
            this.jobsWantingWindow.delete(job);
        }
    }

    /** Moves the start position of searches by `step` and returns it, so that searches in turn reach all rows. */
    advanceSearchCursor(step: number): number {
        this.searchCursor = (this.searchCursor + step) % 0x40000000;
        return this.searchCursor;
    }

    /** Removes a job if it has no waiting and no running task left, and returns whether it did. */
    removeJobIfFinished(job: JobRow): boolean {
        const isFinished = job.isCancelled || job.finishedCount >= job.taskCount;
        if (!isFinished || job.running.size > 0 || !job.isCancelled && countWaiting(job) > 0) {
            return false;
        }
        this.jobs.delete(job.id);
        this.jobsWantingWindow.delete(job);
        return true;
    }

    /** Returns how many tasks of a job may start now beyond those that its reservations cover. */
    countUnreserved(job: JobRow): number {
        let reserved = 0;
        for (const reservation of job.reservations) {
            for (const part of reservation.parts) {
                reserved += part.count;
            }
        }
        return countStartable(job) - reserved;
    }

    private addTeamUse(task: TaskRow, sign: 1 | -1): void {
        const team = task.job.team;
        team.usedCpu += sign * task.shape.cpu;
        team.usedMemory += sign * task.shape.memory;
        team.usedAccelerators += sign * task.shape.accelerators;
        team.runningCount += sign;
        if (task.job.priority === "urgent") {
            team.urgentCpu += sign * task.shape.cpu;
            team.urgentMemory += sign * task.shape.memory;
            team.urgentAccelerators += sign * task.shape.accelerators;
        }
        if (this.shares.refreshShare(team)) {
            this.queues.updateTeamOrder(team);
        }
    }

    private addStoppingUse(task: TaskRow, sign: 1 | -1): void {
        const team = task.job.team;
        team.stoppingCpu += sign * task.shape.cpu;
        team.stoppingMemory += sign * task.shape.memory;
        team.stoppingAccelerators += sign * task.shape.accelerators;
    }

    private addSpreadCounts(task: TaskRow, sign: 1 | -1): void {
        const job = task.job;
        job.rackTaskCounts.set(task.rack, (job.rackTaskCounts.get(task.rack) ?? 0) + sign);
        job.workerTaskCounts.set(task.workerRow, (job.workerTaskCounts.get(task.workerRow) ?? 0) + sign);
    }

    private prunePreemptible(team: TeamRow): void {
        if (team.preemptible.length > 64 && team.preemptible.length > 4 * team.runningCount) {
            team.preemptible = team.preemptible.filter(task => !task.hasEnded);
        }
    }
}
