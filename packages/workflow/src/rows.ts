/** The rows of the scheduler's tables. Only the modules of this package change them. */
import type { ExecutorId, JobId, RackId, ResourceVector, TeamId, ZoneId } from "@waxwingroute/core";
import type {
    EarlierRun,
    EndSource,
    JobState,
    JobSubmission,
    PoolId,
    QueueRules,
    RunEnd,
    StepKey,
    StepSpec,
    TaskKey,
    TeamRules,
} from "./types.js";

/**
 * `unknown`: the task belongs to a known job, but an earlier owner may have started it on an executor that has not
 * answered yet. `active`: it has a run whose end is not recorded yet.
 */
export type TaskState = "waiting" | "unknown" | "active" | "done";

/** `starting`: the start is not confirmed yet. `stopping`: a stop was decided and the end is not recorded yet. */
export type RunState = "starting" | "running" | "stopping";

/** One run of a task. Its resources stay charged to its executor and team until its end is recorded. */
export interface RunRow {
    readonly task: TaskRow;
    readonly number: number;
    readonly executor: ExecutorId;
    readonly resources: ResourceVector;
    readonly startedAt: number;
    state: RunState;
    /** Whether the executor has listed the run, so that it has survived the start. */
    isProven: boolean;
    /** Whether no other run may be started on the executor until this one is proven. */
    readonly isProbe: boolean;
    /** Age above which a listing proves the run, ms; 0: any listing does. */
    readonly provenAfterMs: number;
    /** Whether the run counts in the crash rate of its queue as one that crashed its executor. */
    countsAsCrash: boolean;
    /** Work done, 0 to 100. A long-running task is fully available at 100. */
    percent: number;
    /** When the run last made progress: `percent` rose, or a long-running task was fully available. */
    lastProgressAt: number;
    /** When the executor last listed the run; before that, when the run was started or adopted. */
    lastReportedAt: number;
    /** Tail latency of a serving task, ms; `undefined` until it is reported. */
    tailMs: number | undefined;
    /** Share of full speed at which the executor lets the run work, 0 to 100; `undefined` while unknown. */
    speedPercent: number | undefined;
}

/** What is known of a run that is over, and since when. */
export interface RecordedRun extends Omit<EarlierRun, "ageMs"> {
    readonly recordedAt: number;
}

/** One task of a step. */
export interface TaskRow {
    readonly key: TaskKey;
    readonly step: StepRow;
    readonly index: number;
    /** Set only by `setTaskState`, which keeps `StepRow.waitingCount` up to date. */
    state: TaskState;
    /** Runs whose end is not recorded yet: at most one, unless several are adopted after a change of owner. */
    readonly runs: RunRow[];
    /** Highest run number that was used or reported. */
    lastRunNumber: number;
    /** The last run whose end was recorded, for the log. */
    earlierRun: RecordedRun | undefined;
    /** Numbers of the runs that failed. A set, because the end of a run can be reported more than once. */
    readonly failedRuns: Set<number>;
    /** Numbers of the runs that ended as `crashed`, and as `suspected`. */
    readonly crashedRuns: Set<number>;
    readonly suspectedRuns: Set<number>;
    /** Number of runs that were stopped because they stood still. */
    stalledRuns: number;
    /** Progress that the next run resumes from; empty if none. */
    checkpoint: string;
}

/** The right to start tasks of one step on one executor. */
export interface AdviceTicket {
    readonly ticket: string;
    readonly receivedAt: number;
    readonly validUntil: number;
}

/** The advisor's answers for one step. */
export interface AdviceState {
    isRequestPending: boolean;
    /** When the last request was sent, and when the advisor last answered one; `undefined`: never. */
    requestedAt: number | undefined;
    answeredAt: number | undefined;
    /** Since when the step waits for an answer because its tickets do not suffice; `undefined`: it does not. */
    dueSince: number | undefined;
    /** No request is sent before this time. */
    retryAt: number;
    /** Calls that failed since the last answer. */
    failuresInRow: number;
    /** Executors that the advisor granted, also those whose ticket has expired. */
    readonly tickets: Map<ExecutorId, AdviceTicket>;
    readonly refused: Set<ExecutorId>;
    /** Executors granted since the step was last placed. */
    newlyGranted: ExecutorId[];
    /** The step is not evaluated for a request before this time, because the last evaluation found none necessary. */
    evaluateAt: number;
}

/** Why a step could not be placed entirely, so that it is evaluated again only if that may have changed. */
export interface BlockedPlacement {
    /** Position in the list of room gains up to which this evaluation holds. */
    gainPosition: number;
    /** Upper bound of the free slots for the step. */
    freeSlots: number;
    /** The gang for which executors were reserved at the evaluation. */
    readonly reservedFor: StepRow | undefined;
    /** Whether the step could use executors that are reserved for a gang. */
    readonly canUseReserved: boolean;
}

/** A proven run of a step that its executor had when it crashed. */
export interface StepLoss {
    /** Number of the crash, in this owner. */
    readonly crash: number;
    readonly ageMs: number;
    /** Whether the run was a probe, which shared its executor with few others. */
    readonly isProbe: boolean;
}

/** One step of an occurrence. */
export interface StepRow {
    readonly key: StepKey;
    readonly occurrence: OccurrenceRow;
    readonly number: number;
    readonly spec: StepSpec;
    readonly tasks: readonly TaskRow[];
    readonly advice: AdviceState;
    /** Number of tasks in the state `waiting`. */
    waitingCount: number;
    /** Set while tasks wait for free slots. */
    blocked: BlockedPlacement | undefined;
    /** Since when a gang finds too little room; `undefined`: it does not. */
    blockedSince: number | undefined;
    /** Since when a probe of the step could start and has not found an executor; `undefined`: none is due. */
    probeDueSince: number | undefined;
    /** Number of the last tick that looked for room for the step. */
    placedInTick: number;
    /** Highest run number of any task. The members of a gang share their run numbers. */
    lastRunNumber: number;
    doneCount: number;
    /** Numbers of the runs of a gang that failed; each counts once for all members. */
    readonly failedGangRuns: Set<number>;
    /** Number of tasks that were the only suspect of a crash, and of tasks with any crash; done tasks are kept. */
    crashedCount: number;
    suspectCount: number;
    /** Proven runs that were lost in crashes, one for each crash, at ages that no run has outlived since. */
    lateLosses: readonly StepLoss[];
    /** Estimated time from the start of this step to the end of the occurrence, ms. */
    criticalPathMs: number;
}

/** One execution of all steps of a job; a job with a schedule has several. */
export interface OccurrenceRow {
    readonly job: JobRow;
    readonly number: number;
    /** Time from which the objective is measured. */
    readonly dueAt: number;
    readonly steps: readonly StepRow[];
    /** Time by which the occurrence should be done. */
    objectiveAt: number;
    isFinished: boolean;
}

/** The same values as `JobState`: the state that `JobChange` reports. */
export type JobPhase = JobState;

/** The end of a run that is applied when its occurrence opens. */
export interface EarlyEnd {
    readonly end: RunEnd;
    readonly source: EndSource;
}

/** An accepted job. */
export interface JobRow {
    readonly id: JobId;
    readonly submission: JobSubmission;
    readonly occurrences: Map<number, OccurrenceRow>;
    /** Number of the next occurrence that becomes due. */
    nextOccurrence: number;
    finishedOccurrences: number;
    /** Ends of runs of occurrences that are not open yet, which an earlier owner opened by its clock. */
    readonly earlyEnds: Map<number, EarlyEnd[]>;
    /** Becomes `failed` or `cancelled` together with `endsAs`, while runs of the job may still be stopping. */
    phase: JobPhase;
    /** Set when the job fails or is cancelled; nothing of it starts any more and its runs are being stopped. */
    endsAs: "failed" | "cancelled" | undefined;
    /** Team to which the runs are charged. */
    readonly team: TeamRow;
    activeRuns: number;
    /** Number of runs that ended as `crashed`, and of probes in flight. */
    crashCount: number;
    probeCount: number;
    /** Submitted beyond the rate of its team; ranks behind the work of others. */
    readonly isOverTeamRate: boolean;
}

/** A team, its limit and its usage. */
export interface TeamRow {
    readonly id: TeamId;
    rules: TeamRules;
    used: ResourceVector;
    /** Upper bound of what tasks in the state `unknown` use; counts toward the limit. */
    unknownUsage: ResourceVector;
    /** Token bucket for submissions: jobs that the team may still submit within its rate. */
    rateTokens: number;
    /** When `rateTokens` was last refilled; 0: never. */
    rateTokensAt: number;
}

/** An executor, its capacity and the runs that are charged to it. */
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
    /** Earliest time at which the executor leaves; `undefined`: unknown or not leaving. */
    leavesAt: number | undefined;
    /** Time by which the executor should run nothing, because its machine is due for maintenance. */
    emptyBy: number | undefined;
    /** Runs by `toRunKey`. */
    readonly runs: Map<string, RunRow>;
    /** Number of runs of best-effort steps, and of steps with a latency target. */
    bestEffortRuns: number;
    servingRuns: number;
    /** Number of runs that are not proven, and of those among them that are probes. */
    unprovenRuns: number;
    probeRuns: number;
    /**
     * Keys of listed runs whose task is not known, and so neither their resources, for example of jobs that ended under
     * an earlier owner. Nothing starts on the executor while there is one.
     */
    readonly runsOfUnknownTasks: Map<string, RunOfUnknownTask>;
    /** The last start of a task on the executor. */
    lastStart: { readonly step: StepRow; readonly at: number; } | undefined;
    /** Number of refused starts since the last confirmed one. */
    refusedStarts: number;
    /** Moving average of the share of runs that failed or stalled. */
    failureRate: number;
    /** Moving average of measured run time divided by expected run time. */
    slowdown: number;
    /** The executor gets no work before this time, because runs on it failed or stalled. */
    avoidUntil: number;
    /** Share of full speed at which best-effort tasks may run here, 0 to 100. */
    bestEffortSpeedPercent: number;
    bestEffortSpeedChangedAt: number;
}

/** A listed run whose task is not known. */
export interface RunOfUnknownTask {
    /** Time at which it was first listed, ms. */
    readonly listedAt: number;
    /** Time since which its executor has been reachable, from `listedAt` on, ms; `undefined` while it is not. */
    reachableSince: number | undefined;
}

/** A queue and what was learned from its runs. */
export interface QueueRow {
    rules: QueueRules;
    /** Version of the configuration that has the rules, if they were stored with a job; infinite if they were declared. */
    rulesVersion: number;
    /** Moving average of measured run time divided by the estimate. */
    estimateRatio: number;
    /** Moving average of the share of executors that the advisor granted when it was first asked about them. */
    grantRate: number;
    /** Moving average of the share of starts that crashed their executor. */
    crashRate: number;
}

/** Changes the state of a task. */
export function setTaskState(task: TaskRow, state: TaskState): void {
    task.step.waitingCount += (state === "waiting" ? 1 : 0) - (task.state === "waiting" ? 1 : 0);
    if (task.step.waitingCount === 0) {
        // A later wait begins anew: this one would make the step overdue at once.
        task.step.advice.dueSince = undefined;
    }
    task.state = state;
}

/** Returns the key of a run in `ExecutorRow.runs` and `ExecutorRow.unknownRuns`. */
export function toRunKey(task: TaskKey, run: number): string {
    return `${task}#${run}`;
}
