/** Rows of the scheduler's tables. Only the systems of this package change them. */
import type { ExecutorId, JobId, RackId, ResourceVector, TeamId, ZoneId } from "@waxwingroute/core";
import type { JobState, JobSubmission, PoolId, QueueRules, StepKey, StepSpec, TaskKey, TeamRules } from "./types.js";

/** `unknown`: an earlier owner may have started it on an executor that has not answered yet. */
export type TaskState = "waiting" | "unknown" | "active" | "done";

/** `starting`: the order has no answer yet. `stopping`: a stop was decided and the end is not listed yet. */
export type RunState = "starting" | "running" | "stopping";

/** One run of a task; it holds its room on the executor until its end is recorded. */
export interface RunRow {
    readonly task: TaskRow;
    readonly number: number;
    readonly executor: ExecutorId;
    readonly resources: ResourceVector;
    readonly startedAt: number;
    state: RunState;
    percent: number;
    /** When `percent` last rose. */
    lastProgressAt: number;
    /** Tail of the response times of a serving task, ms; `undefined` until it is reported. */
    tailMs: number | undefined;
    /** Share at which the executor lets the run work, 0 to 100; `undefined` while that is not known. */
    speedPercent: number | undefined;
}

export interface TaskRow {
    readonly key: TaskKey;
    readonly step: StepRow;
    readonly index: number;
    state: TaskState;
    /** Active runs: one, or several copies where the step allows them. */
    readonly runs: RunRow[];
    /** Highest run number used or seen. */
    lastRunNumber: number;
    /** Numbers of the runs that failed; the end of a run can be reported more than once. */
    readonly failedRuns: Set<number>;
    checkpoint: string;
}

/** Answers of the advisor for one step. */
export interface AdviceState {
    isRequestPending: boolean;
    /** Not asked again before this time. */
    retryAt: number;
    readonly tickets: Map<ExecutorId, { readonly ticket: string; readonly validUntil: number; }>;
    readonly refused: Set<ExecutorId>;
}

export interface StepRow {
    readonly key: StepKey;
    readonly occurrence: OccurrenceRow;
    readonly number: number;
    readonly spec: StepSpec;
    readonly tasks: readonly TaskRow[];
    readonly advice: AdviceState;
    /** Run numbers of a gang are shared by its members. */
    lastRunNumber: number;
    doneCount: number;
    /** Numbers of the runs of a gang that failed; they count once for all members. */
    readonly failedGangRuns: Set<number>;
    /** Longest remaining chain of work from this step on, ms. */
    remainingCriticalPathMs: number;
}

export interface OccurrenceRow {
    readonly job: JobRow;
    readonly number: number;
    /** Time from which the objective counts. */
    readonly dueAt: number;
    readonly steps: readonly StepRow[];
    objectiveAt: number;
    isFinished: boolean;
}

export type JobPhase = JobState;

export interface JobRow {
    readonly id: JobId;
    readonly submission: JobSubmission;
    readonly occurrences: Map<number, OccurrenceRow>;
    /** Number of occurrences that became due. */
    nextOccurrence: number;
    finishedOccurrences: number;
    phase: JobPhase;
    /** Set when the job ends early; its runs are being stopped. */
    endsAs: "failed" | "cancelled" | undefined;
    /** Shares the room of this team. */
    readonly team: TeamRow;
    activeRuns: number;
    /** Submitted beyond the rate of its team; comes after the work of others. */
    readonly isOverTeamRate: boolean;
}

export interface TeamRow {
    readonly id: TeamId;
    rules: TeamRules;
    used: ResourceVector;
    /** What tasks of the team may use on executors that have not answered since the change of owner. */
    unknownUsage: ResourceVector;
    /** Jobs that the team may still submit within its rate. */
    rateTokens: number;
    rateTokensAt: number;
}

export interface ExecutorRow {
    readonly id: ExecutorId;
    pool: PoolId;
    zone: ZoneId;
    rack: RackId | undefined;
    labels: ReadonlySet<string>;
    capacity: ResourceVector;
    used: ResourceVector;
    isReady: boolean;
    isReachable: boolean;
    /** Earliest time at which the executor leaves; `undefined`: not known or not leaving. */
    leavesAt: number | undefined;
    /** Time by which the executor should run nothing, because its machine is to be serviced. */
    emptyBy: number | undefined;
    readonly runs: Map<string, RunRow>;
    /** Runs of unknown size, for example of jobs that ended under an earlier owner. Nothing starts beside them. */
    readonly unknownRuns: Set<string>;
    /** Exponentially weighted share of runs that failed. */
    failureRate: number;
    /** Exponentially weighted ratio of measured to expected run time. */
    slowdown: number;
    /** No new work before this time, because of failures. */
    avoidUntil: number;
    /** Share at which tasks that use idle processors should work here, 0 to 100. */
    bestEffortSpeedPercent: number;
    bestEffortSpeedChangedAt: number;
}

export interface QueueRow {
    rules: QueueRules;
    /** Measured run time divided by the estimate, exponentially weighted. */
    estimateRatio: number;
    /** Share of named executors that the advisor granted. */
    grantRate: number;
}

/** Key of a run in `ExecutorRow.runs`. */
export function toRunKey(task: TaskKey, run: number): string {
    return `${task}#${run}`;
}
