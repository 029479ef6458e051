/** Builds and parses the keys of steps and tasks. */
import type { JobId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import type { StepKey, TaskKey } from "./types.js";

/** The parts of a task key. */
export interface TaskKeyParts {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Builds the key `<job>.<occurrence>.<step>`. */
export function toStepKey(job: JobId, occurrence: number, step: number): StepKey {
    return toId<StepKey>(`${job}.${occurrence}.${step}`);
}

/** Builds the key `<job>.<occurrence>.<step>.<index>`. */
export function toTaskKey(parts: TaskKeyParts): TaskKey {
    return toId<TaskKey>(`${parts.job}.${parts.occurrence}.${parts.step}.${parts.index}`);
}

/** Parses a task key; returns `undefined` if the text is not one. */
export function parseTaskKey(text: string): TaskKeyParts | undefined {
    const [job, ...rest] = text.split(".");
    const numbers = rest.map(Number);
    const isValid = job !== undefined && job !== "" && numbers.length === 3
        && numbers.every(number => Number.isSafeInteger(number) && number >= 0);
    if (!isValid) {
        return undefined;
    }
    return { job: toId<JobId>(job), occurrence: numbers[0]!, step: numbers[1]!, index: numbers[2]! };
}
