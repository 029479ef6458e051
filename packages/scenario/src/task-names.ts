/**
 * Names of jobs and tasks as scenarios write them. The system may put the home zone before a job's name, so that the task
 * `cuts/0` of a scenario is `glasgow.cuts/0` on its worker; names themselves have no dots.
 */
import { parseTaskId } from "@waxwingroute/core";

/** Returns the name of the job of a task, without a zone; empty for an id that is not one of a task. */
export function getJobName(task: string): string {
    const job = parseTaskId(task)?.job ?? "";
    return job.slice(job.lastIndexOf(".") + 1);
}

/** Returns whether a task is the one that a scenario calls `name`, with or without its zone. */
export function isTaskNamed(task: string, name: string): boolean {
    return task === name || task.slice(task.lastIndexOf(".") + 1) === name;
}
