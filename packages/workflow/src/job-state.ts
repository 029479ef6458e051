/** Classification of job states. */
import type { JobState } from "./types.js";

/** Returns whether tasks of a job in this state may still start or run; the other states are final. */
export function isOpenState(state: JobState): boolean {
    return state === "queued" || state === "running";
}
