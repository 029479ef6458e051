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
    /** Rough run time of one task, ms. */
    readonly estimateMs: number;
    /** Numbers of the earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** All tasks run together or not at all. */
    readonly isGang: boolean;
    /** The tasks run slower when they are spread over racks. */
    readonly prefersOneRack: boolean;
    /** Label that the executor must have. */
    readonly requiredLabel?: string;
    /** Rack that holds the data; tasks run slower elsewhere. */
    readonly dataRack?: RackId;
    /** Most tasks of the step on one executor. */
    readonly maxPerExecutor?: number;
    /** Copies of a task may run at the same time. */
    readonly canRunCopies: boolean;
    readonly savesCheckpoints: boolean;
    /** The tasks run until the job is cancelled and are restarted however they end. */
    readonly isLongRunning: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image?: string;
    /** Tail latency that a serving task has to keep, ms. */
    readonly targetMs?: number;
    /** The processors of the step are not counted; its tasks use what others leave idle. */
    readonly usesIdleProcessors: boolean;
    /** Tasks of a long-running step that may be away at one time because of the scheduler. */
    readonly maxUnavailable?: number;
}

/** When a job runs several times. Times are wall-clock milliseconds since 1970. */
export interface JobSchedule {
    readonly startAtWallMs: number;
    readonly intervalMs: number;
    readonly occurrences: number;
}

/** A job as its caller described it. */
export interface JobSpec {
    /** Opaque text that every task gets. */
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
}

/** How eligibility of executors is asked from the advisor of a queue. */
export interface AdviceRules {
    /** Fixed time of one call, ms. */
    readonly callMs: number;
    /** Further time for each executor named, ms. */
    readonly perExecutorMs: number;
    /** How long an answer may be used, ms. */
    readonly validMs: number;
}

/** What operators declare for a queue. */
export interface QueueRules {
    readonly queue: QueueId;
    readonly pool: PoolId;
    /** 0 comes first. */
    readonly priority: number;
    /** Runs of a task that may fail before the job fails. */
    readonly maxAttempts: number;
    /** Part of a job's objective: times its longest chain of work. */
    readonly stretchFactor: number;
    /** Part of a job's objective, ms. */
    readonly targetLatencyMs: number;
    readonly advice?: AdviceRules;
}

/** What operators declare for a team. A limit of 0 in a resource means none. */
export interface TeamRules {
    readonly team: TeamId;
    readonly weight: number;
    readonly limit: ResourceVector;
}

export interface SchedulerRules {
    readonly queues: readonly QueueRules[];
    readonly teams: readonly TeamRules[];
}

/** `leaving`: no new work; `unreachable`: its tasks are unknown until it answers or its leases have run out. */
export type ExecutorState = "ready" | "leaving" | "unreachable";

export interface ExecutorUpdate {
    readonly executor: ExecutorId;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly rack: RackId | undefined;
    readonly labels: readonly string[];
    readonly capacity: ResourceVector;
    readonly state: ExecutorState;
    /** Earliest time at which the executor leaves with everything that runs on it; absent: not known or not leaving. */
    readonly leavesAt?: number;
    /**
     * Time by which the executor should run nothing, because its machine is to be serviced; absent: not planned. Until then
     * tasks without checkpoints may end.
     */
    readonly emptyBy?: number;
}

/**
 * How a run ended. `lapsed`: its lease ran out. `memberEnded`: another member of the gang ended. `incomplete`: the gang
 * was not complete in time. `lost`: the executor was lost or restarted. `notStarted`: the order was refused.
 */
export type RunOutcome =
    | "done"
    | "failed"
    | "stopped"
    | "lapsed"
    | "memberEnded"
    | "incomplete"
    | "lost"
    | "notStarted";

export interface RunEnd {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    readonly outcome: RunOutcome;
    /** Progress that a later run can resume from; empty if none. */
    readonly checkpoint: string;
}

/** A run as its executor lists it. */
export interface ListedRun {
    readonly task: TaskKey;
    readonly run: number;
    readonly checkpoint: string;
    /** Work done, 0 to 100. */
    readonly percent: number;
    /** For a serving task the tail of its response times, ms; rough, over the last half second. */
    readonly tailMs?: number;
}

export interface StartDecision {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    readonly payload: string;
    readonly checkpoint: string;
    readonly ticket: string | undefined;
    /** Time left until the objective of the job, for the log, ms. */
    readonly slackMs: number;
}

export type StopReason = "cancelled" | "gangBroken" | "stalled" | "superseded" | "executorLeaving";

export interface StopDecision {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    readonly reason: StopReason;
    /** Work done when the stop was decided, 0 to 100. */
    readonly percent: number;
}

/** A question to the advisor of a queue: which of these executors may run the step. */
export interface AdviceRequest {
    readonly step: StepKey;
    readonly queue: QueueId;
    readonly executors: readonly ExecutorId[];
}

/** `postponed`: this question has to wait, though others may be sent. `noCaller`: none can be sent now. */
export type AdviceSendResult = "sent" | "postponed" | "noCaller";

export interface AdviceGrant {
    readonly executor: ExecutorId;
    readonly ticket: string;
}

export type JobState = "queued" | "running" | "succeeded" | "failed" | "cancelled";

export interface JobChange {
    readonly job: JobId;
    readonly queue: QueueId;
    readonly state: JobState;
}

/** The share at which a task that uses idle processors may work. */
export interface ThrottleDecision {
    readonly executor: ExecutorId;
    readonly task: TaskKey;
    readonly run: number;
    /** 0 to 100. */
    readonly percent: number;
}

/** Everything that one tick decided. */
export interface TickDecisions {
    readonly starts: readonly StartDecision[];
    readonly stops: readonly StopDecision[];
    readonly throttles: readonly ThrottleDecision[];
    readonly changes: readonly JobChange[];
}

export interface SchedulerOptions {
    /** Longest run of a task without progress before it is moved, as a multiple of its expected time. Default 6. */
    readonly stallFactor?: number;
    /** Shortest time before a run counts as stalled, ms. Default 3,000. */
    readonly stallFloorMs?: number;
    /** Time that an answer of an advisor must still be valid when a start is sent, ms. Default 250. */
    readonly ticketMarginMs?: number;
    /** Longest time from a stop to its end, ms. Default 1,000. */
    readonly stopMs?: number;
}
