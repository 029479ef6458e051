/** The jobs of a run: what they consist of, and what their tasks do on an executor. */
import type { RandomSource } from "@waxwingroute/core";
import { advisedQueues, plainQueue } from "./queues.js";
import type { Size } from "./queues.js";
import type { RecordedJob, RecordedRun } from "./run-record.js";
import type { JobStep } from "./types.js";

/** Thousandths of a core of each executor. */
export const executorCpu = 16_000;

/** Returns the job of a task; tasks are named JOB.OCCURRENCE.STEP.INDEX. */
export function getJobOfTask(task: string): string {
    return task.split(".")[0]!;
}

/** Returns the name of a task's step. */
export function getStepOfTask(task: string): string {
    return task.slice(0, task.lastIndexOf("."));
}

/** Returns the number of a task's step. */
export function getStepNumber(task: string): number {
    return Number(task.split(".")[2]);
}

/** Returns the step of a task, if the job is known and has it. */
export function findStepOfTask(job: RecordedJob | undefined, task: string): JobStep | undefined {
    return job?.steps[getStepNumber(task)];
}

/** Returns how long a run works, and whether it fails. Both depend on the spec, the task and the run only. */
export function computeWork(
    spec: string,
    task: string,
    run: number,
): { readonly ms: number; readonly isFailure: boolean; } {
    const base = Number(/ms=(\d+)/.exec(spec)?.[1] ?? 1_000);
    const failPercent = Number(/fail=(\d+)/.exec(spec)?.[1] ?? 0);
    let hash = run;
    for (const character of task) {
        hash = (hash * 31 + character.charCodeAt(0)) >>> 0;
    }
    return { ms: Math.round(base * (0.5 + hash % 1_000 / 1_000)), isFailure: hash % 100 < failPercent };
}

/** Returns how often a step has failed: each failed run of a gang counts once, otherwise the worst task counts. */
export function countFailures(job: RecordedJob, number: number, runs: readonly RecordedRun[]): number {
    const failed = runs.filter(({ task, end }) => getStepNumber(task) === number && end === "failed");
    if (job.steps[number]!.isGang === true) {
        return new Set(failed.map(({ run }) => run)).size;
    }
    const counts = new Map<string, number>();
    failed.forEach(({ task }) => counts.set(task, (counts.get(task) ?? 0) + 1));
    return Math.max(0, ...counts.values());
}

/** The jobs that callers submit. */
export interface WorkloadOptions {
    /** Jobs a second. Default 3. */
    readonly jobsPerSecond?: number;
    /** Jobs a second in the last third of each 15 s. Default `jobsPerSecond`. */
    readonly peakJobsPerSecond?: number;
    /** Share of jobs for the queues with advice. Default 0. */
    readonly advisedShare?: number;
    /** Share of the other jobs that have hundreds of short tasks. Default 0. */
    readonly burstShare?: number;
    /** Share of jobs that are cancelled. Default 0.2. */
    readonly cancelShare?: number;
    /** Share of jobs whose callers leave before the answer and cancel them at once at other hosts. Default 0. */
    readonly leaveShare?: number;
    /** Mean run times of the other tasks, ms, of which each job has one. Default 150 to 6,000. */
    readonly taskMs?: readonly number[];
}

/** What callers submit. */
export type JobDraft = Pick<RecordedJob, "id" | "queue" | "spec" | "steps">;

const defaultTaskMs = [150, 400, 1_000, 2_500, 6_000];
const defaultJobsPerSecond = 3;
const peakIntervalMs = 15_000;

/** Returns the jobs a second at a time since the begin. */
export function computeJobRate(options: WorkloadOptions, nowMs: number): number {
    const { jobsPerSecond = defaultJobsPerSecond, peakJobsPerSecond = jobsPerSecond } = options;
    return nowMs % peakIntervalMs >= peakIntervalMs * 2 / 3 ? peakJobsPerSecond : jobsPerSecond;
}

/** Draws a job. `executorCount` limits the size of gangs, which need room for all members at once. */
export function pickJob(random: RandomSource, options: WorkloadOptions, executorCount: number): JobDraft {
    const { advisedShare = 0, burstShare = 0, taskMs = defaultTaskMs } = options;
    if (advisedShare > 0 && random.getFloat() < advisedShare) {
        return pickAdvisedJob(random, executorCount);
    }
    const id = random.getHex(16);
    const queue = plainQueue.name;
    if (random.getFloat() < burstShare) {
        const count = 200 + random.getInteger(200);
        const step = { count, cpu: 250, memoryMb: 64, estimateMs: 50, after: [] };
        return { id, queue, spec: `ms=${30 + random.getInteger(60)} of ${id}`, steps: [step] };
    }
    const ms = random.pickOne(taskMs)!;
    const fail = random.getFloat() < 0.15 ? 20 : 0;
    const steps = Array.from({ length: 1 + random.getInteger(3) }, (_, number): JobStep => ({
        count: 1 + random.getInteger(8),
        cpu: [500, 1_000, 2_000][random.getInteger(3)]!,
        memoryMb: 256,
        estimateMs: ms,
        after: number === 0 ? [] : [number - 1],
    }));
    return { id, queue, spec: `ms=${ms} fail=${fail} of ${id}`, steps };
}

function pickAdvisedJob(random: RandomSource, executorCount: number): JobDraft {
    const id = random.getHex(16);
    const queue = pickWeighted(random, advisedQueues.map(row => [row, row.weight]));
    const ms = Math.max(50, pickSize(random, queue.workMs));
    const stepCount = random.getFloat() < queue.secondStepShare ? 2 : 1;
    const steps = Array.from({ length: stepCount }, (_, number): JobStep => {
        const cpu = Math.max(100, pickSize(random, queue.cpu));
        const isGang = random.getFloat() < queue.gangShare;
        const count = Math.max(1, pickSize(random, queue.tasks));
        // A gang that needs more than half of what is granted would wait for an empty fleet.
        const places = Math.floor(executorCpu / cpu) * Math.max(2, queue.advice.grantShare * executorCount);
        return {
            count: isGang ? Math.max(1, Math.min(count, Math.floor(places / 2))) : count,
            cpu,
            memoryMb: 256,
            estimateMs: Math.round(ms * (0.8 + 0.4 * random.getFloat())),
            after: number === 0 ? [] : [number - 1],
            ...isGang ? { isGang } : {},
        };
    });
    return { id, queue: queue.name, spec: `ms=${ms} fail=2 of ${id}`, steps };
}

/** Draws from a log-normal distribution. */
function pickSize(random: RandomSource, { mean, spread, most }: Size): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
    return Math.min(most, Math.round(mean * Math.exp(spread * normal - spread * spread / 2)));
}

/** Draws a row as often as its weight says. */
export function pickWeighted<T>(random: RandomSource, rows: readonly (readonly [T, number])[]): T {
    let rest = random.getFloat() * rows.reduce((sum, [, weight]) => sum + weight, 0);
    for (const [row, weight] of rows) {
        rest -= weight;
        if (rest < 0) {
            return row;
        }
    }
    return rows[0]![0];
}
