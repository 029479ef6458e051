/**
 * The tables of one scheduler and the bookkeeping that keeps them consistent: every run that is added or removed goes
 * through `addRun` and `removeRun`, so that room and limits are charged exactly once.
 */
import type { ExecutorId, JobId, QueueId, ResourceVector, TeamId } from "@waxwingroute/core";
import { addResources, fitsWithin, resourceNames, subtractResources, Table, zeroResources } from "@waxwingroute/core";
import type { ExecutorRow, JobRow, QueueRow, RunRow, StepRow, TaskRow, TeamRow } from "./rows.js";
import { toRunKey } from "./rows.js";
import type { JobChange, SchedulerOptions, StartDecision, StopDecision, StopReason } from "./types.js";

export type ResolvedOptions = Required<SchedulerOptions>;

/** Executors that the most urgent blocked gang waits for. Tasks after it may use them only if they end soon. */
export interface Reservation {
    readonly step: StepRow;
    readonly executors: ReadonlySet<ExecutorId>;
}

export class SchedulerState {
    readonly executors = new Table<ExecutorId, ExecutorRow>();
    readonly jobs = new Table<JobId, JobRow>();
    readonly queues = new Table<QueueId, QueueRow>();
    readonly teams = new Table<TeamId, TeamRow>();
    /** Steps whose earlier steps are done and that still have tasks to start. */
    readonly openSteps = new Set<StepRow>();
    readonly starts: StartDecision[] = [];
    readonly stops: StopDecision[] = [];
    readonly changes: JobChange[] = [];
    /** Executors that a blocked gang waits for; decided anew with each tick. */
    reservation: Reservation | undefined;
    /** Whether tasks that an earlier owner may have started can start, because all executors have been settled. */
    isSettled = false;
    /** Whether some task may be in the state `unknown`. */
    hasUnknownTasks = false;
    /** Run numbers of this owner are above this one. */
    runNumberBase = 0;

    constructor(readonly options: ResolvedOptions) {}

    getTeam(id: TeamId): TeamRow {
        return this.teams.ensure(id, () => ({
            id,
            rules: { team: id, weight: 0, limit: zeroResources },
            used: zeroResources,
            unknownUsage: zeroResources,
            rateTokens: 0,
            rateTokensAt: 0,
        }));
    }

    addRun(run: RunRow): void {
        const { task, executor } = run;
        const row = this.executors.get(executor);
        if (row !== undefined) {
            row.runs.set(toRunKey(task.key, run.number), run);
            row.used = addResources(row.used, run.resources);
        }
        const job = task.step.occurrence.job;
        job.team.used = addResources(job.team.used, run.resources);
        job.activeRuns += 1;
        task.runs.push(run);
        task.lastRunNumber = Math.max(task.lastRunNumber, run.number);
        task.step.lastRunNumber = Math.max(task.step.lastRunNumber, run.number);
        if (task.state !== "done") {
            task.state = "active";
        }
    }

    removeRun(run: RunRow): void {
        const { task, executor } = run;
        const index = task.runs.indexOf(run);
        if (index < 0) {
            return;
        }
        task.runs.splice(index, 1);
        const row = this.executors.get(executor);
        if (row?.runs.delete(toRunKey(task.key, run.number)) === true) {
            row.used = subtractResources(row.used, run.resources);
        }
        const job = task.step.occurrence.job;
        job.team.used = subtractResources(job.team.used, run.resources);
        job.activeRuns -= 1;
        if (task.state === "active" && task.runs.length === 0) {
            task.state = "waiting";
        }
    }

    stopRun(run: RunRow, reason: StopReason): void {
        if (run.state !== "stopping") {
            run.state = "stopping";
            this.stops.push({
                executor: run.executor,
                task: run.task.key,
                run: run.number,
                reason,
                percent: run.percent,
            });
        }
    }

    /** Returns whether the job may still start tasks. */
    isOpen(job: JobRow): boolean {
        return job.endsAs === undefined && (job.phase === "queued" || job.phase === "running");
    }
}

/** Returns what an executor can still take. */
export function getFreeResources(row: ExecutorRow): ResourceVector {
    return subtractResources(row.capacity, row.used);
}

/** Returns what a task of the step charges to its executor and team. */
export function getChargedResources(step: StepRow): ResourceVector {
    return step.spec.usesIdleProcessors ? { ...step.spec.resources, cpuMillis: 0 } : step.spec.resources;
}

/** Returns how many tasks of a size fit into the room. */
export function countFits(needed: ResourceVector, available: ResourceVector): number {
    let count = Number.MAX_SAFE_INTEGER;
    for (const name of resourceNames) {
        if (needed[name] > 0) {
            count = Math.min(count, Math.floor(available[name] / needed[name]));
        }
    }
    return count;
}

/** Returns whether the team stays within its limit with `more` running. A limit of 0 in a resource means none. */
export function allowsMore(team: TeamRow, more: ResourceVector): boolean {
    const limit = team.rules.limit;
    const bound = {
        cpuMillis: limit.cpuMillis === 0 ? Infinity : limit.cpuMillis,
        memoryMb: limit.memoryMb === 0 ? Infinity : limit.memoryMb,
        accelerators: limit.accelerators === 0 ? Infinity : limit.accelerators,
    };
    return fitsWithin(addResources(addResources(team.used, team.unknownUsage), more), bound);
}

/** Returns the tasks of a step that could start now. */
export function listWaitingTasks(step: StepRow): TaskRow[] {
    return step.tasks.filter(task => task.state === "waiting");
}
