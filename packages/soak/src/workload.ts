/** The jobs of a run: what they consist of, and what their tasks do on an executor. */
import type { RandomSource } from "@waxwingroute/core";
import type { JobStep } from "./protocol.js";
import type { RecordedJob } from "./run-record.js";

/** Returns the job of a task; tasks are named JOB.OCCURRENCE.STEP.INDEX. */
export function getJobOfTask(task: string): string {
    return task.split(".")[0]!;
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

/** Sizes of jobs. */
export interface WorkloadOptions {
    /** Jobs a second. Default 3. */
    readonly jobsPerSecond?: number;
    /** Share of jobs with hundreds of short tasks. Default 0. */
    readonly burstShare?: number;
    /** Share of jobs that are cancelled. Default 0.2. */
    readonly cancelShare?: number;
    /** Mean run times of tasks, ms, of which each job has one. Default 150 to 6,000. */
    readonly taskMs?: readonly number[];
}

const defaultTaskMs = [150, 400, 1_000, 2_500, 6_000];

/** Draws a job. */
export function pickJob(
    random: RandomSource,
    { burstShare = 0, taskMs = defaultTaskMs }: WorkloadOptions,
): Omit<RecordedJob, "attempts" | "states"> {
    const id = random.getHex(16);
    if (random.getFloat() < burstShare) {
        const count = 200 + random.getInteger(200);
        const step = { count, cpu: 250, memoryMb: 64, estimateMs: 50, after: [] };
        return { id, spec: `ms=${30 + random.getInteger(60)} of ${id}`, steps: [step] };
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
    return { id, spec: `ms=${ms} fail=${fail} of ${id}`, steps };
}
