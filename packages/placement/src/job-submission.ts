/**
 * Validates submitted jobs and creates their rows.
 */
import type { Failure } from "@waxwingroute/core";
import { createFailure } from "@waxwingroute/core";
import type { JobRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import type { JobSubmission } from "./types.js";

/** Returns why a job cannot be accepted, or `undefined`. */
export function validateSubmission(state: PlacementState, submission: JobSubmission): Failure | undefined {
    const { job, resources, taskCount } = submission;
    if (state.jobs.has(job)) {
        return createFailure("job-exists", `job "${job}" already exists`, "notRun");
    }
    const amounts = [resources.cpuMillis, resources.memoryMb, resources.accelerators];
    if (!Number.isSafeInteger(taskCount) || taskCount < 1) {
        return createFailure(
            "invalid-job",
            `job "${job}" has a task count of ${taskCount}; it must be an integer of at least 1`,
            "notRun",
        );
    }
    const areValid = amounts.every(amount => Number.isSafeInteger(amount) && amount >= 0 && amount < 2 ** 31);
    if (!areValid || amounts.every(amount => amount === 0)) {
        return createFailure(
            "invalid-job",
            `job "${job}" declares (cpuMillis, memoryMb, accelerators) = (${
                amounts.join(", ")
            }) per task; the amounts must be integers from 0 to 2^31 - 1 and not all 0`,
            "notRun",
        );
    }
    return submission.isRestored === true ? undefined : checkSchedulable(state, submission);
}

function checkSchedulable(state: PlacementState, submission: JobSubmission): Failure | undefined {
    const { job, resources, taskCount, team } = submission;
    const count = submission.kind === "gang" ? taskCount : 1;
    const fitCount = state.workers.countFitsWhenEmpty(state.ensureShape(resources), count);
    if (fitCount < count) {
        return createFailure(
            "unschedulable",
            `job "${job}" needs room for ${count} tasks of ${
                formatSize(resources)
            } at a time; the ${state.workers.size} `
                + `workers of this shard have room for ${fitCount} when they are empty`,
            "notRun",
        );
    }
    const limit = state.teams.get(team)?.limit;
    const exceedsLimit = limit !== undefined
        && (resources.cpuMillis * count > limit.cpuMillis || resources.memoryMb * count > limit.memoryMb
            || resources.accelerators * count > limit.accelerators);
    return exceedsLimit
        ? createFailure(
            "unschedulable",
            `job "${job}" needs ${count} tasks of ${formatSize(resources)} at a time, more than the limit of team `
                + `"${team}", ${formatSize(limit)}`,
            "notRun",
        )
        : undefined;
}

function formatSize(resources: JobSubmission["resources"]): string {
    return `${resources.cpuMillis} millis, ${resources.memoryMb} MB, ${resources.accelerators} accelerators`;
}

let nextSequence = 0;

/** Creates the row of a validated job. */
export function createJobRow(state: PlacementState, submission: JobSubmission): JobRow {
    const team = state.ensureTeam(submission.team);
    const shape = state.ensureShape(submission.resources);
    const priority = submission.priority ?? "normal";
    const gangSize = submission.kind === "gang" ? submission.taskCount : 0;
    const jobClass = `${submission.team}/${submission.jobClass ?? submission.kind}`;
    return {
        id: submission.job,
        team,
        kind: submission.kind,
        priority,
        taskCount: submission.taskCount,
        shape,
        queue: state.queues.ensureQueue(team, priority, submission.kind, shape, gangSize),
        jobClass,
        declaredRunMs: submission.estimatedRunMs,
        latestStart: computeLatestStart(state, submission, jobClass),
        sequence: nextSequence++,
        nextIndex: 0,
        windowEnd: Math.min(submission.taskCount, submission.windowEnd ?? submission.taskCount),
        returnedIndexes: [],
        takenIndexes: new Set(),
        running: new Map(),
        reservations: new Set(),
        finishedCount: 0,
        isCancelled: false,
        successCount: 0,
        failureCount: 0,
        lastFailedWorkerRow: -1,
        rackTaskCounts: new Map(),
        workerTaskCounts: new Map(),
        heapIndex: -1,
    };
}

/**
 * Returns the time by which the job should start. It never changes and is not before the submission, so a job is
 * delayed only by jobs that are submitted within a bounded time.
 */
function computeLatestStart(state: PlacementState, submission: JobSubmission, jobClass: string): number {
    if (submission.deadline !== undefined) {
        const runMs = state.estimates.estimate(jobClass, submission.estimatedRunMs);
        return Math.max(state.now, submission.deadline - runMs);
    }
    return submission.kind === "service" ? state.now : state.now + state.options.targetWaitMs;
}
