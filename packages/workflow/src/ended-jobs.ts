/**
 * What is left of jobs that have ended while executors may still hold runs of them. An owner stores it with the end of a
 * job, and the next owner charges these tasks to the team of the job until none of them can run any more.
 */
import { addOccurrence, createJobRow } from "./job-rows.js";
import type { JobRow, StepRow, TaskRow } from "./rows.js";
import { setTaskState } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { getChargedResources } from "./state.js";
import type { EndedJob, RemainingTasks, StepSpec } from "./types.js";

/** Returns the tasks of a job that have a run or may have one that an earlier owner started. */
export function listRemainingTasks(job: JobRow): RemainingTasks[] {
    return [...job.occurrences.values()].flatMap(occurrence =>
        occurrence.steps.map(step => ({
            occurrence: occurrence.number,
            step: step.number,
            resources: getChargedResources(step),
            indexes: step.tasks.filter(canRun).map(task => task.index),
        })).filter(({ indexes }) => indexes.length > 0)
    );
}

function canRun(task: TaskRow): boolean {
    return task.state === "unknown" || task.runs.length > 0;
}

/** Adds the remaining tasks of a job that an earlier owner ended. None of them starts again. */
export function addEndedJob(state: SchedulerState, ended: EndedJob): void {
    const { job, queue, team, remaining } = ended;
    const spec = { payload: "", steps: createSteps(remaining) };
    const submission = { job, queue, team, spec, acceptedAt: 0, mayHaveStarted: false };
    const row = createJobRow(submission, state.getTeam(team), false);
    row.phase = ended.state;
    state.jobs.set(job, row);
    for (const { occurrence, step, indexes } of remaining) {
        const { steps } = row.occurrences.get(occurrence) ?? addOccurrence(state, row, occurrence, 0);
        if (!state.hasReleasedUnknownTasks) {
            indexes.forEach(index => markUnknown(steps[step], index));
            state.hasUnknownTasks = true;
        }
    }
}

function markUnknown(step: StepRow | undefined, index: number): void {
    const task = step?.tasks[index];
    if (task !== undefined) {
        setTaskState(task, "unknown");
    }
}

/** Creates steps as large as the remaining tasks require; only the resources of their tasks matter. */
function createSteps(remaining: readonly RemainingTasks[]): StepSpec[] {
    const steps: StepSpec[] = [];
    for (const { step, resources, indexes } of remaining) {
        const taskCount = Math.max(steps[step]?.taskCount ?? 0, ...indexes.map(index => index + 1));
        while (steps.length <= step) {
            steps.push(emptyStep);
        }
        steps[step] = { ...emptyStep, resources, taskCount };
    }
    return steps;
}

const emptyStep: StepSpec = {
    taskCount: 0,
    resources: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    estimateMs: 0,
    after: [],
    isGang: false,
    prefersOneRack: false,
    canRunCopies: false,
    savesCheckpoints: false,
    isLongRunning: false,
    usesIdleProcessors: false,
};
