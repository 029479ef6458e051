/**
 * Checks invariants on the runs that fake executors report: no task runs twice at a time, after an acknowledged success
 * or too many failures, or before the steps that it depends on, and no executor or team runs more than its limit.
 */
import type { ExecutorId, JobId, TeamId } from "@waxwingroute/core";
import type { RunOutcome, StepSpec, TaskKey } from "@waxwingroute/workflow";
import { parseTaskKey, toTaskKey } from "@waxwingroute/workflow";

/** What the checker has to know of a job before the first start of its tasks. */
export interface CheckedJob {
    readonly team: TeamId;
    readonly steps: readonly StepSpec[];
}

/** The limits that are checked. */
export interface InvariantCheckerOptions {
    /** Processors of each executor, in thousandths. */
    readonly executorCpuMillis: number;
    /** Processors that a team may use at a time, in thousandths; a team that is not listed has no limit. */
    readonly teamCpuMillis: ReadonlyMap<TeamId, number>;
    /** Number of failed runs after which a task must not run again. */
    readonly maxAttempts: number;
}

interface TaskRecord {
    readonly running: Map<number, ExecutorId>;
    /** Runs that ended as done, with the number of starts of the task at that time. */
    readonly doneRuns: Map<number, number>;
    readonly failedRuns: Set<number>;
    /** Failed runs whose ends are acknowledged. */
    readonly acknowledgedFailures: Set<number>;
    isDoneAcknowledged: boolean;
    starts: number;
}

/**
 * Part of its limit by which a team may exceed it, as the platform documents it. One more task is allowed in addition.
 */
const limitTolerance = 0.1;

/** Records starts and ends of runs and collects violations of the invariants. */
export class InvariantChecker {
    readonly violations: string[] = [];
    private readonly tasks = new Map<TaskKey, TaskRecord>();
    private readonly jobs = new Map<JobId, CheckedJob>();
    private readonly owners = new Map<number, string>();

    constructor(private readonly options: InvariantCheckerOptions) {}

    /** Number of runs that were started, over all tasks. */
    get startCount(): number {
        return [...this.tasks.values()].reduce((sum, task) => sum + task.starts, 0);
    }

    /** Records that an owner begins with an epoch as its fencing token; no other one may ever act with it. */
    recordOwner(host: string, epoch: number): void {
        const other = this.owners.get(epoch);
        if (other !== undefined) {
            this.violations.push(`epoch ${epoch}: an owner on ${host} after one on ${other}`);
        }
        this.owners.set(epoch, host);
    }

    registerJob(job: JobId, checked: CheckedJob): void {
        this.jobs.set(job, checked);
    }

    recordStart(executor: ExecutorId, task: TaskKey, run: number): void {
        const record = this.getRecord(task);
        record.starts += 1;
        for (const [other, place] of record.running) {
            this.violations.push(`${task}: run ${run} on ${executor} while run ${other} is on ${place}`);
        }
        if (record.isDoneAcknowledged) {
            this.violations.push(`${task}: run ${run} on ${executor} after an acknowledged end`);
        }
        if (record.acknowledgedFailures.size >= this.options.maxAttempts) {
            this.violations.push(`${task}: run ${run} after ${record.acknowledgedFailures.size} failed runs`);
        }
        record.running.set(run, executor);
        this.checkStepOrder(task);
        this.checkLimits(executor, task);
    }

    recordEnd(task: TaskKey, run: number, outcome: RunOutcome): void {
        const record = this.getRecord(task);
        record.running.delete(run);
        if (outcome === "done") {
            record.doneRuns.set(run, record.starts);
        }
        else if (outcome === "failed") {
            record.failedRuns.add(run);
        }
    }

    recordLost(task: TaskKey, run: number): void {
        this.getRecord(task).running.delete(run);
    }

    /** `hasLapsed`: the leases of the executor have expired between the end and its acknowledgement. */
    recordAcknowledged(task: TaskKey, run: number, hasLapsed: boolean): void {
        const record = this.getRecord(task);
        const startsAtEnd = record.doneRuns.get(run);
        record.isDoneAcknowledged ||= startsAtEnd !== undefined;
        if (startsAtEnd !== undefined && !hasLapsed && record.starts > startsAtEnd) {
            this.violations.push(`${task}: started again after run ${run} had ended, which is acknowledged now`);
        }
        if (record.failedRuns.has(run)) {
            record.acknowledgedFailures.add(run);
        }
    }

    isDone(task: TaskKey): boolean {
        return (this.tasks.get(task)?.doneRuns.size ?? 0) > 0;
    }

    private checkStepOrder(task: TaskKey): void {
        const parts = parseTaskKey(task)!;
        const steps = this.jobs.get(parts.job)?.steps ?? [];
        for (const earlier of steps[parts.step]?.after ?? []) {
            const { isGang, taskCount } = steps[earlier]!;
            const done = Array.from({ length: taskCount }, (_, index) => toTaskKey({ ...parts, step: earlier, index }))
                .filter(key => this.isDone(key)).length;
            // One end of a gang counts for all its members.
            if (done < (isGang ? 1 : taskCount)) {
                this.violations.push(
                    `${task}: started while ${done} of ${taskCount} tasks of step ${earlier} were done`,
                );
            }
        }
    }

    private checkLimits(executor: ExecutorId, task: TaskKey): void {
        const { executorCpuMillis, teamCpuMillis } = this.options;
        const own = this.findSpec(task);
        if (own === undefined) {
            return;
        }
        let onExecutor = 0;
        let ofTeam = 0;
        for (const [key, record] of this.tasks) {
            const spec = this.findSpec(key);
            for (const place of record.running.values()) {
                onExecutor += place === executor ? spec?.cpuMillis ?? 0 : 0;
                ofTeam += spec?.team === own.team ? spec.cpuMillis : 0;
            }
        }
        if (onExecutor > executorCpuMillis) {
            this.violations.push(
                `${task}: ${executor} uses ${onExecutor} of ${executorCpuMillis} thousandths of a processor`,
            );
        }
        const limit = teamCpuMillis.get(own.team) ?? Infinity;
        if (ofTeam > limit * (1 + limitTolerance) + own.cpuMillis) {
            this.violations.push(
                `${task}: team ${own.team} uses ${ofTeam} of ${limit} thousandths of a processor`,
            );
        }
    }

    private findSpec(task: TaskKey): { readonly team: TeamId; readonly cpuMillis: number; } | undefined {
        const parts = parseTaskKey(task)!;
        const job = this.jobs.get(parts.job);
        const step = job?.steps[parts.step];
        return job === undefined || step === undefined
            ? undefined
            : { team: job.team, cpuMillis: step.resources.cpuMillis };
    }

    private getRecord(task: TaskKey): TaskRecord {
        const existing = this.tasks.get(task);
        if (existing !== undefined) {
            return existing;
        }
        const created: TaskRecord = {
            running: new Map(),
            doneRuns: new Map(),
            failedRuns: new Set(),
            acknowledgedFailures: new Set(),
            isDoneAcknowledged: false,
            starts: 0,
        };
        this.tasks.set(task, created);
        return created;
    }
}
