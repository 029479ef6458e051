/** Builds the rows of a job and opens its steps when the steps they depend on are done. */
import type { JobId } from "@waxwingroute/core";
import { toStepKey, toTaskKey } from "./keys.js";
import type { JobRow, OccurrenceRow, QueueRow, StepRow, TaskRow, TeamRow } from "./rows.js";
import { setTaskState } from "./rows.js";
import type { SchedulerState } from "./state.js";
import type { JobSubmission, StepSpec } from "./types.js";

/** Size of a team's token bucket, in seconds of its rate: the largest burst of jobs within the rate. */
const burstSeconds = 2;

/** Creates the row of a job, without occurrences. */
export function createJobRow(submission: JobSubmission, team: TeamRow, isOverTeamRate: boolean): JobRow {
    return {
        id: submission.job,
        submission,
        occurrences: new Map(),
        nextOccurrence: 0,
        finishedOccurrences: 0,
        earlyEnds: new Map(),
        phase: "queued",
        endsAs: undefined,
        team,
        activeRuns: 0,
        crashCount: 0,
        probeCount: 0,
        isOverTeamRate,
    };
}

/**
 * Takes a token for one job from the bucket of a team, which refills at `weight` tokens a second. Returns whether the
 * job is over the rate because no token was left. A weight of 0 sets no rate.
 */
export function takeRateToken(team: TeamRow, now: number): boolean {
    const rate = team.rules.weight;
    if (rate <= 0) {
        return false;
    }
    const maxTokens = Math.max(1, rate * burstSeconds);
    team.rateTokens = team.rateTokensAt === 0
        ? maxTokens
        : Math.min(maxTokens, team.rateTokens + rate * (now - team.rateTokensAt) / 1_000);
    team.rateTokensAt = now;
    if (team.rateTokens < 1) {
        return true;
    }
    team.rateTokens -= 1;
    return false;
}

/** Returns how many times the job runs. */
export function countOccurrences(job: JobRow): number {
    return job.submission.spec.schedule?.occurrences ?? 1;
}

/** Adds an occurrence to a job and opens the steps that depend on no others. */
export function addOccurrence(state: SchedulerState, job: JobRow, number: number, dueAt: number): OccurrenceRow {
    const steps: StepRow[] = [];
    const occurrence: OccurrenceRow = { job, number, dueAt, steps, objectiveAt: dueAt, isFinished: false };
    const criticalPaths = computeCriticalPaths(job.submission.spec.steps);
    job.submission.spec.steps.forEach((spec, step) => {
        const mayHaveStarted = job.submission.mayHaveStarted && !state.hasReleasedUnknownTasks;
        state.hasUnknownTasks ||= mayHaveStarted;
        steps.push(createStepRow(occurrence, spec, step, criticalPaths[step] ?? 0, mayHaveStarted));
    });
    if (state.unsettledTasks.size > 0) {
        markUnsettledTasks(state, steps);
    }
    job.occurrences.set(number, occurrence);
    setObjective(occurrence, state.queues.get(job.submission.queue));
    openReadySteps(state, occurrence);
    return occurrence;
}

/** Keeps back the tasks that runs of an earlier owner may still execute, as a release of the others does. */
function markUnsettledTasks(state: SchedulerState, steps: readonly StepRow[]): void {
    for (const task of steps.flatMap(step => step.tasks).filter(({ key }) => state.unsettledTasks.has(key))) {
        setTaskState(task, "unknown");
        state.hasUnknownTasks = true;
    }
}

/** Sets the time by which the occurrence should be done. */
function setObjective(occurrence: OccurrenceRow, queue: QueueRow | undefined): void {
    const criticalPathMs = Math.max(0, ...occurrence.steps.map(step => step.criticalPathMs))
        * (queue?.estimateRatio ?? 1);
    occurrence.objectiveAt = occurrence.dueAt + (queue?.rules.targetLatencyMs ?? 0)
        + (queue?.rules.stretchFactor ?? 1) * criticalPathMs;
}

/** Opens each unfinished step whose earlier steps are all done. */
export function openReadySteps(state: SchedulerState, occurrence: OccurrenceRow): void {
    for (const step of occurrence.steps) {
        const isReady = step.doneCount < step.tasks.length
            && step.spec.after.every(number => isStepDone(occurrence.steps[number]));
        if (isReady) {
            state.openStep(step);
        }
    }
}

/** Returns whether all tasks of the step are done; `false` for a step that does not exist. */
export function isStepDone(step: StepRow | undefined): boolean {
    return step !== undefined && step.doneCount === step.tasks.length;
}

function createStepRow(
    occurrence: OccurrenceRow,
    spec: StepSpec,
    number: number,
    criticalPathMs: number,
    mayHaveStarted: boolean,
): StepRow {
    const job: JobId = occurrence.job.id;
    const state = mayHaveStarted ? "unknown" : "waiting";
    const tasks: TaskRow[] = [];
    const step: StepRow = {
        key: toStepKey(job, occurrence.number, number),
        occurrence,
        number,
        spec,
        tasks,
        advice: {
            isRequestPending: false,
            dueSince: undefined,
            requestedAt: undefined,
            answeredAt: undefined,
            retryAt: 0,
            failuresInRow: 0,
            tickets: new Map(),
            refused: new Set(),
            newlyGranted: [],
            evaluateAt: 0,
        },
        waitingCount: state === "waiting" ? spec.taskCount : 0,
        blocked: undefined,
        blockedSince: undefined,
        probeDueSince: undefined,
        placedInTick: 0,
        lastRunNumber: 0,
        doneCount: 0,
        failedGangRuns: new Set(),
        crashedCount: 0,
        suspectCount: 0,
        lateLosses: [],
        criticalPathMs,
    };
    for (let index = 0; index < spec.taskCount; index++) {
        const key = toTaskKey({ job, occurrence: occurrence.number, step: number, index });
        tasks.push({
            key,
            step,
            index,
            state,
            runs: [],
            lastRunNumber: 0,
            earlierRun: undefined,
            failedRuns: new Set(),
            crashedRuns: new Set(),
            suspectedRuns: new Set(),
            stalledRuns: 0,
            checkpoint: "",
        });
    }
    return step;
}

/** Returns for each step the estimated critical path from its start to the end of the job, ms. */
function computeCriticalPaths(steps: readonly StepSpec[]): number[] {
    const criticalPaths = steps.map(step => step.estimateMs);
    for (let number = steps.length - 1; number >= 0; number--) {
        for (const earlier of steps[number]!.after) {
            const ownMs = steps[earlier]?.estimateMs ?? 0;
            criticalPaths[earlier] = Math.max(criticalPaths[earlier] ?? 0, ownMs + criticalPaths[number]!);
        }
    }
    return criticalPaths;
}
