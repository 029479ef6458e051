/**
 * The stored form of the tasks that may run on after their job has ended. Its size is checked before it is decoded: the
 * next owner creates a row for each task up to the last index of each step, in each occurrence, and a few bytes of a
 * damaged record can stand for any number of them.
 */
import type { RemainingTasks } from "@waxwingroute/workflow";
import { z } from "zod";

/** Limits of a job, as checked when it is submitted. */
const maxSteps = 500;
const maxTasksPerStep = 5_000;
const maxTasksPerJob = 20_000;
/** Most tasks of all occurrences: open ones have less than twice `maxTasksPerJob`, and ended ones may have runs too. */
const maxTasks = 4 * maxTasksPerJob;

const countSchema = z.number().int().min(0);
const rangeSchema = z.tuple([countSchema, countSchema.max(maxTasksPerStep - 1)]);
/** Occurrence, step, the resources of each task, and ranges of indexes. */
const rowSchema = z.tuple([
    countSchema,
    countSchema.max(maxSteps - 1),
    z.number(),
    z.number(),
    z.number(),
    z.array(rangeSchema),
]);
type StoredRow = z.infer<typeof rowSchema>;

/** Accepts what a job can have. */
export const remainingTasksSchema = z.array(rowSchema).refine(isPossible, "more tasks than a job can have");

function isPossible(rows: readonly StoredRow[]): boolean {
    const occurrences = new Set<number>();
    const taskCounts = new Map<number, number>();
    let indexCount = 0;
    for (const [occurrence, step, , , , ranges] of rows) {
        occurrences.add(occurrence);
        // Each step of a job has a task at least.
        taskCounts.set(step, taskCounts.get(step) ?? 1);
        for (const [first, last] of ranges) {
            indexCount += Math.max(0, last - first + 1);
            taskCounts.set(step, Math.max(taskCounts.get(step) ?? 1, last + 1));
        }
    }
    // The steps before the last one that are not listed have one each.
    let tasksOfJob = Math.max(-1, ...taskCounts.keys()) + 1 - taskCounts.size;
    taskCounts.forEach(count => {
        tasksOfJob += count;
    });
    return tasksOfJob <= maxTasksPerJob && tasksOfJob * occurrences.size <= maxTasks && indexCount <= maxTasks;
}

/** Returns the stored form of the tasks. */
export function encodeRemainingTasks(tasks: readonly RemainingTasks[]): StoredRow[] {
    return tasks.map(({ occurrence, step, resources, indexes }) => [
        occurrence,
        step,
        resources.cpuMillis,
        resources.memoryMb,
        resources.accelerators,
        toRanges(indexes),
    ]);
}

/** Returns the tasks that a checked stored form stands for. */
export function decodeRemainingTasks(rows: readonly StoredRow[]): RemainingTasks[] {
    return rows.map(([occurrence, step, cpuMillis, memoryMb, accelerators, ranges]) => ({
        occurrence,
        step,
        resources: { cpuMillis, memoryMb, accelerators },
        indexes: fromRanges(ranges),
    }));
}

/** Returns ascending numbers as ranges of consecutive ones, the first and the last of each. */
function toRanges(numbers: readonly number[]): [number, number][] {
    const ranges: [number, number][] = [];
    for (const number of numbers) {
        const last = ranges.at(-1);
        if (last?.[1] === number - 1) {
            last[1] = number;
        }
        else {
            ranges.push([number, number]);
        }
    }
    return ranges;
}

function fromRanges(ranges: readonly (readonly [number, number])[]): number[] {
    return ranges.flatMap(([first, last]) =>
        Array.from({ length: Math.max(0, last - first + 1) }, (_, offset) => first + offset)
    );
}
