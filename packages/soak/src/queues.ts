/** The queues of a run. Those with advice differ in the size, urgency and number of their jobs. */
import type { QueueAdvice, QueueConfiguration } from "./types.js";

/** Queue of the jobs that any executor may run. */
export const plainQueue: QueueConfiguration = {
    name: "plain",
    prefix: "/cut/",
    priority: 1,
    targetLatencyMs: 3_000,
    stretchFactor: 4,
};

/** A mean, the spread of a log-normal distribution around it, and a limit. */
export interface Size {
    readonly mean: number;
    readonly spread: number;
    readonly most: number;
}

/** A queue with advice, and the jobs that callers submit to it. */
export interface AdvisedQueue extends QueueConfiguration {
    readonly advice: QueueAdvice;
    /** How often its jobs are drawn beside those of the others. */
    readonly weight: number;
    /** Share of the jobs that have a second step. */
    readonly secondStepShare: number;
    /** Share of the steps that are gangs. */
    readonly gangShare: number;
    readonly tasks: Size;
    /** Thousandths of a core. */
    readonly cpu: Size;
    readonly workMs: Size;
}

const validMs = 2_000;

/** Few large jobs, many jobs of medium size, and very many short and urgent ones. */
export const advisedQueues: readonly AdvisedQueue[] = [
    {
        name: "large",
        prefix: "/large/",
        priority: 1,
        targetLatencyMs: 1_200,
        stretchFactor: 2.2,
        advice: { callMs: 410, perExecutorMs: 5.8, validMs, grantShare: 0.35 },
        weight: 1.3,
        secondStepShare: 0.2,
        gangShare: 0.5,
        tasks: { mean: 5, spread: 0.6, most: 26 },
        cpu: { mean: 4_500, spread: 0.4, most: 7_600 },
        workMs: { mean: 6_200, spread: 0.5, most: 16_000 },
    },
    {
        name: "medium",
        prefix: "/medium/",
        priority: 2,
        targetLatencyMs: 3_000,
        stretchFactor: 4,
        advice: { callMs: 66, perExecutorMs: 0.94, validMs, grantShare: 0.45 },
        weight: 3.8,
        secondStepShare: 0.5,
        gangShare: 0,
        tasks: { mean: 10, spread: 0.8, most: 60 },
        cpu: { mean: 980, spread: 0.45, most: 2_900 },
        workMs: { mean: 2_700, spread: 0.5, most: 6_800 },
    },
    {
        name: "short",
        prefix: "/short/",
        priority: 0,
        targetLatencyMs: 600,
        stretchFactor: 1.5,
        advice: { callMs: 9.3, perExecutorMs: 0.13, validMs, grantShare: 0.7 },
        weight: 27,
        secondStepShare: 0,
        gangShare: 0.3,
        tasks: { mean: 2, spread: 0.8, most: 12 },
        cpu: { mean: 1_400, spread: 0.45, most: 4_200 },
        workMs: { mean: 800, spread: 0.5, most: 2_000 },
    },
];

/** Returns a queue by its name. */
export function findQueue(name: string): QueueConfiguration | undefined {
    return name === plainQueue.name ? plainQueue : advisedQueues.find(queue => queue.name === name);
}
