/**
 * Takes over what a new owner learns of tasks that started or ended before its takeover.
 */
import type { Failure, Result, TaskId } from "@waxwingroute/core";
import { createFailure, Err, Ok, parseTaskId } from "@waxwingroute/core";
import type { JobRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { countWaiting, markIndexTaken } from "./task-indexes.js";
import type { AdoptedTask } from "./types.js";

/** Adds a task that already runs or may run. */
export function adoptTask(state: PlacementState, adopted: AdoptedTask): Result<void, Failure> {
    const parsed = parseTaskId(adopted.task);
    const job = parsed === undefined ? undefined : state.jobs.get(parsed.job);
    const row = state.workers.findRow(adopted.worker);
    if (parsed === undefined || job === undefined || parsed.index >= job.taskCount) {
        return Err(createFailure("unknown-job", `task "${adopted.task}" is not a task of any known job`, "mayHaveRun"));
    }
    if (row === undefined) {
        return Err(
            createFailure("unknown-worker", `worker "${adopted.worker}" of an adopted task is not known`, "mayHaveRun"),
        );
    }
    const known = state.tasks.get(adopted.task);
    if (known !== undefined && known.workerRow !== row) {
        return Err(createFailure(
            "task-elsewhere",
            `task "${adopted.task}" is known on worker "${state.workers.ids[known.workerRow]}", not on `
                + `"${adopted.worker}"`,
            "mayHaveRun",
        ));
    }
    if (known !== undefined) {
        if (known.state !== "stopping" && adopted.isUncertain !== true) {
            known.state = "running";
        }
        return Ok(undefined);
    }
    takeTaskIndex(state, job, parsed.index);
    const runMs = job.kind === "service"
        ? Infinity
        : state.estimates.estimate(job.jobClass, job.declaredRunMs);
    const shape = state.ensureShape(adopted.resources);
    const taskState = adopted.isUncertain === true ? "uncertain" : "running";
    state.addTask(adopted.task, job, parsed.index, row, shape, runMs, taskState, false);
    return Ok(undefined);
}

/** Records for a restored job that a task ended before the takeover or must not start again. */
export function recordEndBeforeTakeover(state: PlacementState, task: TaskId, isRetried: boolean): boolean {
    const parsed = parseTaskId(task);
    const job = parsed === undefined ? undefined : state.jobs.get(parsed.job);
    if (parsed === undefined || job === undefined || isRetried || parsed.index >= job.taskCount) {
        return false;
    }
    const previousWaiting = countWaiting(job);
    takeTaskIndex(state, job, parsed.index);
    // A second report of the same end takes no index, so it is not counted again.
    job.finishedCount += previousWaiting - countWaiting(job);
    return state.removeJobIfFinished(job);
}

/** Marks an index as taken, and updates the demand, the window request and the queue of the job. */
function takeTaskIndex(state: PlacementState, job: JobRow, index: number): void {
    const previousWaiting = countWaiting(job);
    markIndexTaken(job, index);
    state.addDemand(job, countWaiting(job) - previousWaiting);
    state.refreshWindowRequest(job);
    state.queues.refreshJob(job);
}
