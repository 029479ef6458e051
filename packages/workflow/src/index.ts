/**
 * Scheduling of jobs of dependent steps on the executors of one cell. The program `waxwing-node` uses it, through the
 * package `cell`; `waxwing-scheduler` places the tasks of its jobs with the package `placement` instead.
 */
export { isOpenState } from "./job-state.js";
export { parseTaskKey, toStepKey, toTaskKey } from "./keys.js";
export type { TaskKeyParts } from "./keys.js";
export { runNumbersPerEpoch, WorkflowScheduler } from "./scheduler.js";
export type {
    AdviceGrant,
    AdviceRequest,
    AdviceRules,
    AdviceSendResult,
    EarlierRun,
    EndedJob,
    EndSource,
    ExecutorState,
    ExecutorUpdate,
    GivenUpJob,
    JobChange,
    JobSchedule,
    JobSpec,
    JobState,
    JobSubmission,
    ListedRun,
    PoolId,
    ProbeInFlight,
    ProbeSample,
    QueueRules,
    RemainingTasks,
    RunEnd,
    RunOutcome,
    SchedulerOptions,
    SchedulerRules,
    StartDecision,
    StepKey,
    StepSpec,
    StopDecision,
    StopReason,
    TaskKey,
    TeamRules,
    ThrottleDecision,
    TickDecisions,
} from "./types.js";
export { waitingReasons } from "./waiting-reasons.js";
export type { WaitingReason } from "./waiting-reasons.js";
export type { WaitingSample, WaitingStep } from "./waiting-steps.js";
