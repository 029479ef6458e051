/** A synthetic load on a scheduler and its advisor: three kinds of jobs, from long calls and tasks to short ones. */
import type { ExecutorId, ResourceVector } from "@waxwingroute/core";
import { SeededRandom, toId } from "@waxwingroute/core";
import type { PoolId, QueueRules, StepSpec } from "@waxwingroute/workflow";

/** One kind of job. */
export interface LoadKind {
    readonly rules: QueueRules;
    readonly jobsPerSecond: number;
    /** Share of jobs with a second step. */
    readonly secondStepShare: number;
    /** Number of tasks of a step, drawn evenly from this range. */
    readonly minTasks: number;
    readonly maxTasks: number;
    readonly gangShare: number;
    readonly meanTaskMs: number;
    readonly resources: ResourceVector;
    /** Share of the executors that the advisor grants to a step. */
    readonly grantedShare: number;
}

/** A job to submit. */
export interface LoadJob {
    readonly kind: LoadKind;
    readonly team: number;
    readonly steps: readonly StepSpec[];
}

/** Total rate of submissions and the team that submits more for some time. */
export interface LoadOptions {
    readonly seed: number;
    /** Factor on the rates of all kinds. */
    readonly rateFactor: number;
}

export const loadPool = toId<PoolId>("pool");
export const teamCount = 6;
/** Factor on the rate of the hot team, which is team 0. */
const hotFactor = 7.5;

function createKind(
    queue: string,
    rules: Pick<QueueRules, "priority" | "stretchFactor" | "targetLatencyMs"> & {
        callMs: number;
        perExecutorMs: number;
    },
    kind: Omit<LoadKind, "rules">,
): LoadKind {
    const { callMs, perExecutorMs, ...others } = rules;
    return {
        ...kind,
        rules: {
            ...others,
            queue: toId(queue),
            pool: loadPool,
            maxAttempts: 5,
            advice: { callMs, perExecutorMs, validMs: 2_000 },
        },
    };
}

export const loadKinds: readonly LoadKind[] = [
    createKind(
        "plans",
        { priority: 1, stretchFactor: 2.2, targetLatencyMs: 1_200, callMs: 410, perExecutorMs: 5.8 },
        {
            jobsPerSecond: 1.29,
            secondStepShare: 0.2,
            minTasks: 2,
            maxTasks: 8,
            gangShare: 0.4,
            meanTaskMs: 6_200,
            resources: { cpuMillis: 4_500, memoryMb: 4_000, accelerators: 0 },
            grantedShare: 0.35,
        },
    ),
    createKind(
        "batches",
        { priority: 1, stretchFactor: 4, targetLatencyMs: 3_000, callMs: 66, perExecutorMs: 0.94 },
        {
            jobsPerSecond: 3.8,
            secondStepShare: 0.5,
            minTasks: 5,
            maxTasks: 15,
            gangShare: 0,
            meanTaskMs: 2_700,
            resources: { cpuMillis: 980, memoryMb: 1_000, accelerators: 0 },
            grantedShare: 0.45,
        },
    ),
    createKind(
        "confirmations",
        { priority: 0, stretchFactor: 1.5, targetLatencyMs: 600, callMs: 9.3, perExecutorMs: 0.13 },
        {
            jobsPerSecond: 27,
            secondStepShare: 0,
            minTasks: 2,
            maxTasks: 2,
            gangShare: 0.3,
            meanTaskMs: 800,
            resources: { cpuMillis: 1_400, memoryMb: 1_000, accelerators: 0 },
            grantedShare: 0.7,
        },
    ),
];

/** Draws the jobs that are submitted in each interval. */
export class AdviceLoad {
    private readonly random: SeededRandom;
    /** Apart from `random`, so that the jobs of a seed do not depend on what the scheduler decides. */
    private readonly runRandom: SeededRandom;

    constructor(private readonly options: LoadOptions) {
        this.random = new SeededRandom(options.seed);
        this.runRandom = new SeededRandom(options.seed + 1_000_000);
    }

    /** Returns the jobs of an interval. While `isHot`, one team submits many times its usual number. */
    createJobs(intervalMs: number, isHot: boolean): LoadJob[] {
        const jobs: LoadJob[] = [];
        for (const kind of loadKinds) {
            const expected = kind.jobsPerSecond * this.options.rateFactor * intervalMs / 1_000;
            for (let team = 0; team < teamCount; team++) {
                const teamFactor = isHot && team === 0 ? hotFactor : 1;
                const count = this.generateCount(expected * teamFactor / teamCount);
                for (let index = 0; index < count; index++) {
                    jobs.push({ kind, team, steps: this.createSteps(kind) });
                }
            }
        }
        return jobs;
    }

    /** Returns the duration of a run: its estimate, a fifth more or less. */
    generateRunMs({ estimateMs }: StepSpec): number {
        return estimateMs * (0.8 + 0.4 * this.runRandom.getFloat());
    }

    private generateCount(expected: number): number {
        const whole = Math.floor(expected);
        return whole + (this.random.getFloat() < expected - whole ? 1 : 0);
    }

    private createSteps(kind: LoadKind): StepSpec[] {
        const stepCount = this.random.getFloat() < kind.secondStepShare ? 2 : 1;
        return Array.from({ length: stepCount }, (_, index): StepSpec => ({
            taskCount: kind.minTasks + this.random.getInteger(kind.maxTasks - kind.minTasks + 1),
            resources: kind.resources,
            estimateMs: Math.round(kind.meanTaskMs * (0.5 + this.random.getFloat())),
            after: index === 0 ? [] : [index - 1],
            isGang: this.random.getFloat() < kind.gangShare,
            prefersOneRack: false,
            canRunCopies: false,
            savesCheckpoints: false,
            isLongRunning: false,
            usesIdleProcessors: false,
        }));
    }
}

/** Returns whether the advisor grants the executor to a step; the same for each call. */
export function isGrantedTo(kind: LoadKind, step: string, executor: ExecutorId): boolean {
    let hash = 7;
    for (const character of `${step}/${executor}`) {
        hash = Math.imul(hash ^ character.charCodeAt(0), 0x9e3779b1) >>> 0;
        hash ^= hash >>> 15;
    }
    return hash % 1_000 < kind.grantedShare * 1_000;
}
