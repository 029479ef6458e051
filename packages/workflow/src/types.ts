/**
 * What callers submit, what operators declare, and what the scheduler decides.
 *
 * All times are milliseconds of the owner's monotonic clock unless a field says otherwise.
 */
import type { ExecutorId, Id, JobId, QueueId, RackId, ResourceVector, TeamId, ZoneId } from "@waxwingroute/core";

/** A set of executors that serve the same queues. */
export type PoolId = Id<"pool">;
/** `<job>.<occurrence>.<step>`. */
export type StepKey = Id<"step">;
/** `<job>.<occurrence>.<step>.<index>`. */
export type TaskKey = Id<"workflowTask">;

/** One step of a job: tasks that share a size and start after the same earlier steps. */
export interface StepSpec {
    readonly taskCount: number;
    /** What each task needs while it runs. */
    readonly resources: ResourceVector;
    /** Estimated run time of one task, ms. */
    readonly estimateMs: number;
    /** Numbers of the earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** All tasks run together or not at all. */
    readonly isGang: boolean;
    /** The tasks run more slowly when they are spread over racks. */
    readonly prefersOneRack: boolean;
    /** Label that an executor must have. */
    readonly requiredLabel?: string;
    /** Rack that holds the data; the tasks run more slowly elsewhere. */
    readonly dataRack?: RackId;
    /** Largest number of tasks of the step on one executor. */
    readonly maxPerExecutor?: number;
    /** Copies of a task may run at the same time. The scheduler does not read this and starts no copies. */
    readonly canRunCopies: boolean;
    readonly savesCheckpoints: boolean;
    /** The tasks run until the job is cancelled and are restarted however they end. */
    readonly isLongRunning: boolean;
    /** Image that the tasks run; tasks of the same image behave alike. */
    readonly image?: string;
    /** Target for the tail latency of a serving task, ms. */
    readonly targetMs?: number;
    /** Best-effort step: its processors are not charged, and its tasks use those that other tasks leave idle. */
    readonly usesIdleProcessors: boolean;
    /** Largest number of tasks of a long-running step that the scheduler may make unavailable at one time. */
    readonly maxUnavailable?: number;
}

/** When and how often a job runs. `startAtWallMs` is wall-clock milliseconds since 1970. */
export interface JobSchedule {
    readonly startAtWallMs: number;
    readonly intervalMs: number;
    readonly occurrences: number;
}

/** A job as its caller described it. */
export interface JobSpec {
    /** Opaque text that is passed to every task. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly schedule?: JobSchedule;
}

/** An accepted job. */
export interface JobSubmission {
    readonly job: JobId;
    readonly queue: QueueId;
    readonly team: TeamId;
    readonly spec: JobSpec;
    /** Time of the acceptance. */
    readonly acceptedAt: number;
    /** Whether an earlier owner may have started tasks of the job. */
    readonly mayHaveStarted: boolean;
    /** Rules of the queue at the acceptance, used if the queue has been removed since. Default: the job then waits. */
    readonly queueRules?: QueueRules;
    /** Version of the configuration that has these rules. Default 0: not known. */
    readonly queueRulesVersion?: number;
}

/** Tasks of one step of an ended job of which executors may still hold runs. */
export interface RemainingTasks {
    readonly occurrence: number;
    readonly step: number;
    /** What each of the tasks is charged. */
    readonly resources: ResourceVector;
    readonly indexes: readonly number[];
}

/** A job that an earlier owner ended while executors may still have held runs of it. */
export interface EndedJob {
    readonly job: JobId;
    readonly queue: QueueId;
    readonly team: TeamId;
    /** How it ended. */
    readonly state: JobState;
    readonly remaining: readonly RemainingTasks[];
}

/** Cost of a call to the advisor of a queue, which says where a step may run, and validity of its answers. */
export interface AdviceRules {
    /** Fixed time of one call, ms. */
    readonly callMs: number;
    /** Additional time for each executor in the call, ms. */
    readonly perExecutorMs: number;
    /** How long an answer may be used, ms. */
    readonly validMs: number;
}

/** What operators declare for a queue. */
export interface QueueRules {
    readonly queue: QueueId;
    readonly pool: PoolId;
    /** 0: urgent, ranked before all others of its tier; all other values rank alike. */
    readonly priority: number;
    /** Number of failed runs of a task, or of a gang, at which the job fails. */
    readonly maxAttempts: number;
    /**
     * A job should be done `stretchFactor` times its estimated critical path plus `targetLatencyMs` after it is due;
     * this time is called its objective.
     */
    readonly stretchFactor: number;
    /** The part of the objective that does not depend on the critical path, ms. */
    readonly targetLatencyMs: number;
    readonly advice?: AdviceRules;
}

/** What operators declare for a team. */
export interface TeamRules {
    readonly team: TeamId;
    /** Submission rate in jobs per second; jobs beyond it rank behind the work of other teams. 0: no rate. */
    readonly weight: number;
    /** Resources that the tasks of the team may use together; a limit of 0 in a resource means no limit. */
    readonly limit: ResourceVector;
}

/** All declared queues and teams. */
export interface SchedulerRules {
    readonly queues: readonly QueueRules[];
    readonly teams: readonly TeamRules[];
}

/** `leaving`: gets no new work. `unreachable`: its tasks are unknown until it answers or its leases have expired. */
export type ExecutorState = "ready" | "leaving" | "unreachable";

/** An executor as its registry knows it now. */
export interface ExecutorUpdate {
    readonly executor: ExecutorId;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly rack: RackId | undefined;
    readonly labels: readonly string[];
    readonly capacity: ResourceVector;
    readonly state: ExecutorState;
    /** Earliest time at which the executor leaves and its runs are lost; absent: unknown or not leaving. */
    readonly leavesAt?: number;
    /**
     * Time by which the executor should run nothing, because its machine is due for maintenance; absent: not planned.
     * Until then, tasks without checkpoints may run to their end.
     */
    readonly emptyBy?: number;
}

/**
 * How a run ended. `lapsed`: its lease expired. `memberEnded`: another member of the gang ended. `incomplete`: the gang
 * was not complete in time. `lost`: the executor was lost or restarted. `notStarted`: the start was refused.
 * `ticketRefused`: the start was refused for its ticket, which is of an earlier life of the executor or too old. `crashed`:
 * the executor crashed before it had listed the run, the only such run on it. `suspected`: the same, with other such runs.
 */
export type RunOutcome =
    | "done"
    | "failed"
    | "stopped"
    | "lapsed"
    | "memberEnded"
    | "incomplete"
    | "lost"
    | "notStarted"
    | "ticketRefused"
    | "crashed"
    | "suspected";

/**
 * How an owner learned that a run is over. `listing`: its executor listed the end. `absence`: a complete listing has
 * neither the run nor its end. `refusal`, `notSent`: the start was refused, or never sent. `restart`, `replaced`: its
 * executor restarted, or another one has its address. `leaseEnd`: all leases of its silent executor have expired by the
 * last reading of the executor's clock. `silenceBound`: the same without a reading, by the time since the last order of
 * an earlier owner. `removal`: its executor was removed. `storedEnd`: an earlier owner stored the end. `release`: no
 * executor that an earlier owner used can still run the task.
 */
export type EndSource =
    | "listing"
    | "absence"
    | "refusal"
    | "notSent"
    | "restart"
    | "replaced"
    | "leaseEnd"
    | "silenceBound"
    | "removal"
    | "storedEnd"
    | "release";

/** What an owner believes of the last run of a task when it starts the task again, for the log. */
export interface EarlierRun {
    /** 0 if the task may have had a run that no executor listed to this owner. */
    readonly run: number;
    readonly executor: ExecutorId | undefined;
    readonly outcome: RunOutcome | "neverListed";
    readonly source: EndSource;
    /** Time since the owner learned of it, ms. */
    readonly ageMs: number;
}

/** How a run ended on its executor, and the progress that it saved. */
export interface RunEnd {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    readonly outcome: RunOutcome;
    /** Progress that a later run can resume from; empty if none. */
    readonly checkpoint: string;
    /** Number by which its executor lists the end and forgets it; absent if it does not list it. */
    readonly sequence?: number;
}

/** A run as its executor lists it. */
export interface ListedRun {
    readonly task: TaskKey;
    readonly run: number;
    readonly checkpoint: string;
    /** Work done, 0 to 100. */
    readonly percent: number;
    /** For a serving task, its approximate tail latency over the last half second, ms. */
    readonly tailMs?: number;
}

/** A proven run that its executor had when it crashed. */
export interface LateLoss {
    readonly task: TaskKey;
    /** Upper bound of the age of the run at the crash, ms. */
    readonly ageMs: number;
    readonly isProbe: boolean;
}

/** An order to start a run on an executor, which is charged for it from this decision on. */
export interface StartDecision {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    readonly payload: string;
    readonly checkpoint: string;
    /** Ticket of the advisor's grant; `undefined` where the queue has no advisor. */
    readonly ticket: string | undefined;
    /** Slack of the step before the objective of its job, for the log, ms. */
    readonly slackMs: number;
    /** Whether the executor gets no other start until it is known to have survived this one. */
    readonly isProbe: boolean;
    /** Age above which a listing shows that the executor has survived the start of a probe, ms. Default 0: any listing does. */
    readonly provenAfterMs?: number;
    /** Absent for the first start of a task. */
    readonly earlierRun?: EarlierRun;
}

/**
 * Why a run is stopped. `cancelled`: its job was cancelled or failed. `gangBroken`: a run of its gang ended without
 * success. `stalled`: it makes no progress. `superseded`: its task is already done. `executorLeaving`: its executor
 * leaves or its machine is due for maintenance.
 */
export type StopReason = "cancelled" | "gangBroken" | "stalled" | "superseded" | "executorLeaving";

/** A run to be stopped. */
export interface StopDecision {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    readonly reason: StopReason;
    /** Work done when the stop was decided, 0 to 100. */
    readonly percent: number;
}

/** A request to the advisor of a queue: which of these executors may run the step? */
export interface AdviceRequest {
    readonly step: StepKey;
    readonly queue: QueueId;
    readonly executors: readonly ExecutorId[];
    /** Whether the step has waited for so long that no host is kept free of its call for shorter ones. */
    readonly isOverdue: boolean;
}

/** `postponed`: this request has to wait, but others can be sent. `noHost`: no host is free for any request now. */
export type AdviceSendResult = "sent" | "postponed" | "noHost";

/** The advisor's permission to run a step on an executor. The start carries the ticket. */
export interface AdviceGrant {
    readonly executor: ExecutorId;
    readonly ticket: string;
}

export type JobState = "queued" | "running" | "succeeded" | "failed" | "cancelled";

/** A job that entered another state. */
export interface JobChange {
    readonly job: JobId;
    readonly queue: QueueId;
    /** Absent for a job whose end was stored by a version that did not store its team. */
    readonly team?: TeamId;
    readonly state: JobState;
}

/** A job that is given up because a task of it has crashed its executors. */
export interface GivenUpJob {
    readonly job: JobId;
    readonly task: TaskKey;
    /** Crashes with no other suspect, and with others. */
    readonly crashes: number;
    readonly suspicions: number;
}

/** A probe that is in flight. */
export interface ProbeInFlight {
    readonly task: TaskKey;
    readonly executor: ExecutorId;
    readonly ageMs: number;
}

/** The probes in flight, and the steps with tasks that wait for one. */
export interface ProbeSample {
    readonly inFlight: readonly ProbeInFlight[];
    readonly waiting: number;
    /** The step that ranks first among those that wait. */
    readonly next: StepKey | undefined;
}

/** The share of its full speed at which a best-effort task may run. */
export interface ThrottleDecision {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    /** 0 (paused) to 100 (full speed). */
    readonly percent: number;
}

/** Everything that was decided since the previous tick. */
export interface TickDecisions {
    readonly starts: readonly StartDecision[];
    readonly stops: readonly StopDecision[];
    readonly throttles: readonly ThrottleDecision[];
    readonly changes: readonly JobChange[];
}

/** Thresholds and time limits of the scheduler. Each has a default. */
export interface SchedulerOptions {
    /** A run is stalled after this many hundredths of its expected time without progress. Default 6. */
    readonly stallFactor?: number;
    /** Shortest time without progress after which a run is stalled, ms. Default 3,000. */
    readonly stallFloorMs?: number;
    /** Time for which an advisor's ticket must still be valid when a start is decided, ms. Default 250. */
    readonly ticketMarginMs?: number;
    /** Longest time from a stop decision to the end of the run, ms. Default 1,000. */
    readonly stopMs?: number;
    /** Longest time for which a silent executor keeps runs, ms. Default 6,000. */
    readonly leaseMs?: number;
}
