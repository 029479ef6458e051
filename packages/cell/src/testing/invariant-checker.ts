/**
 * Judges what fake executors ran, from their own records: no task in two places, none again after an acknowledged end or too
 * many failures, none before its earlier steps, and neither an executor nor a team with more running than its bound.
 */
import type { ExecutorId, JobId, TeamId } from "@waxwingroute/core";
import type { RunOutcome, StepSpec, TaskKey } from "@waxwingroute/workflow";
import { parseTaskKey, toTaskKey } from "@waxwingroute/workflow";

/** What the judge has to know of a job before its first start. */
export interface CheckedJob {
    readonly team: TeamId;
    readonly steps: readonly StepSpec[];
}

export interface InvariantCheckerOptions {
    /** Processors of each executor, thousandths. */
    readonly executorCpuMillis: number;
    /** Processors that a team may have running, thousandths; a team that is not listed has no limit. */
    readonly teamCpuMillis: ReadonlyMap<TeamId, number>;
    /** Runs of a task that may fail. */
    readonly maxAttempts: number;
}

interface TaskRecord {
    readonly running: Map<number, ExecutorId>;
    readonly done: Set<number>;
    /** Failed runs whose ends are acknowledged. */
    readonly failed: Set<number>;
    readonly acknowledgedFailures: Set<number>;
    isDoneAcknowledged: boolean;
    starts: number;
}

/** Part of its limit by which a team may exceed it; bound of the platform's pages. One task more is allowed besides. */
const limitOverage = 0.1;

export class InvariantChecker {
    readonly violations: string[] = [];
    private readonly tasks = new Map<TaskKey, TaskRecord>();
    private readonly jobs = new Map<JobId, CheckedJob>();

    constructor(private readonly options: InvariantCheckerOptions) {}

    /** Number of starts of all tasks. */
    get startCount(): number {
        return [...this.tasks.values()].reduce((sum, task) => sum + task.starts, 0);
    }

    registerJob(job: JobId, judged: CheckedJob): void {
        this.jobs.set(job, judged);
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
        this.checkOrder(task);
        this.checkBounds(executor, task);
    }

    recordEnd(task: TaskKey, run: number, outcome: RunOutcome): void {
        const record = this.getRecord(task);
        record.running.delete(run);
        if (outcome === "done") {
            record.done.add(run);
        }
        else if (outcome === "failed") {
            record.failed.add(run);
        }
    }

    recordLost(task: TaskKey, run: number): void {
        this.getRecord(task).running.delete(run);
    }

    recordAcknowledged(task: TaskKey, run: number): void {
        const record = this.getRecord(task);
        record.isDoneAcknowledged ||= record.done.has(run);
        if (record.failed.has(run)) {
            record.acknowledgedFailures.add(run);
        }
    }

    isDone(task: TaskKey): boolean {
        return (this.tasks.get(task)?.done.size ?? 0) > 0;
    }

    private checkOrder(task: TaskKey): void {
        const parts = parseTaskKey(task)!;
        const steps = this.jobs.get(parts.job)?.steps ?? [];
        for (const earlier of steps[parts.step]?.after ?? []) {
            const { isGang, taskCount } = steps[earlier]!;
            const done = Array.from({ length: taskCount }, (_, index) => toTaskKey({ ...parts, step: earlier, index }))
                .filter(key => this.isDone(key)).length;
            // One end of a gang stands for all its members.
            if (done < (isGang ? 1 : taskCount)) {
                this.violations.push(
                    `${task}: started while ${done} of ${taskCount} tasks of step ${earlier} were done`,
                );
            }
        }
    }

    private checkBounds(executor: ExecutorId, task: TaskKey): void {
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
            this.violations.push(`${task}: ${executor} runs ${onExecutor} of ${executorCpuMillis} processors`);
        }
        const limit = teamCpuMillis.get(own.team) ?? Infinity;
        if (ofTeam > limit * (1 + limitOverage) + own.cpuMillis) {
            this.violations.push(`${task}: team ${own.team} runs ${ofTeam} of ${limit} processors`);
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
            done: new Set(),
            failed: new Set(),
            acknowledgedFailures: new Set(),
            isDoneAcknowledged: false,
            starts: 0,
        };
        this.tasks.set(task, created);
        return created;
    }
}
