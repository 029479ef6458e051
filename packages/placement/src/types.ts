/**
 * Public types of the placement engine. All times are milliseconds of one monotonic clock, which the caller reads.
 */
import type { JobId, RackId, ResourceVector, TaskId, TeamId, WorkerId } from "@waxwingroute/core";

/**
 * - `batch`: independent tasks, packed tightly.
 * - `service`: tasks without an end, spread over racks and then workers.
 * - `gang`: tasks that start together or not at all.
 */
export type JobKind = "batch" | "service" | "gang";

/** `urgent` work is placed first and may preempt tasks of teams that use more than their share. */
export type Priority = "urgent" | "normal";

/**
 * - `waiting`: teams within their share are served in the order of the latest start time of their work.
 * - `fairness`: teams are served strictly in the order of their weighted dominant share.
 */
export type Objective = "waiting" | "fairness";

/** How a task ended. `preempted` tasks were checkpointed and wait again. */
export type EndOutcome = "succeeded" | "failed" | "stopped" | "leaseExpired" | "preempted";

/** The state of a worker as the caller knows it. */
export interface WorkerUpdate {
    readonly worker: WorkerId;
    readonly rack: RackId;
    readonly capacity: ResourceVector;
    /** `false` while it drains, leaves or cannot be reached: it gets no new task, and its tasks keep their capacity. */
    readonly isInRotation: boolean;
}

/** The share and limits of a team. */
export interface TeamUpdate {
    readonly team: TeamId;
    /** Relative share when the fleet is full, above 0. Default 1. */
    readonly weight?: number;
    /** Fleet-wide upper limit; a job whose task exceeds it is unschedulable. Default: none. */
    readonly limit?: ResourceVector;
    /** `preempt` checkpoints running work above a lowered grant; `finish` lets it end. Default `finish`. */
    readonly overLimit?: "finish" | "preempt";
}

/** A job to place. */
export interface JobSubmission {
    readonly job: JobId;
    readonly team: TeamId;
    readonly kind: JobKind;
    /** Default `normal`. */
    readonly priority?: Priority;
    readonly taskCount: number;
    /** Resources of one task. */
    readonly resources: ResourceVector;
    /** Time at which the work should have ended. Default: none. */
    readonly deadline?: number;
    /** Expected run time of one task, in milliseconds. Default: learned from the job class. */
    readonly estimatedRunMs?: number;
    /** Jobs of one class have similar run times. Default: the kind of the job. */
    readonly jobClass?: string;
    /** End of the journaled start window: tasks with a lower index may start. Default `taskCount`, for no window. */
    readonly windowEnd?: number;
    /** `true` for a job that was accepted before; it is never refused as unschedulable. Default `false`. */
    readonly isRestored?: boolean;
}

/** A task that was found running, or that may be running, when the caller took over. */
export interface AdoptedTask {
    readonly task: TaskId;
    readonly team: TeamId;
    readonly worker: WorkerId;
    readonly resources: ResourceVector;
    /** `true` if it is not known whether the task runs. Default `false`. */
    readonly isUncertain?: boolean;
}

/** Why a task was placed where it was. */
export type StartReason = "bestFit" | "spread" | "gang" | "reservation" | "backfill" | "probe";

/** Start a task on a worker. The capacity is allocated already. */
export interface StartDecision {
    readonly kind: "start";
    readonly task: TaskId;
    readonly job: JobId;
    readonly team: TeamId;
    readonly worker: WorkerId;
    readonly resources: ResourceVector;
    readonly reason: StartReason;
    /** Number of workers that were checked and had no room. */
    readonly rejectedCount: number;
}

/** Checkpoint and stop a running task. It waits again after `recordTaskEnded` with the outcome `preempted`. */
export interface PreemptDecision {
    readonly kind: "preempt";
    readonly task: TaskId;
    readonly job: JobId;
    readonly team: TeamId;
    readonly worker: WorkerId;
    readonly reason: "urgent" | "overLimit";
    /** The job that gets the capacity, for reason `urgent`. */
    readonly forJob?: JobId;
    /** Number of running tasks that were considered and not preempted. */
    readonly rejectedCount: number;
}

/** Stop a task of a cancelled job. */
export interface StopDecision {
    readonly kind: "stop";
    readonly task: TaskId;
    readonly job: JobId;
    readonly team: TeamId;
    readonly worker: WorkerId;
    readonly reason: "cancelled";
}

export type Decision = StartDecision | PreemptDecision | StopDecision;

/** Bounds on the work of one tick. */
export interface TickBudget {
    /** Largest number of decisions. Default 1,000. A gang that has begun is completed. */
    readonly maxDecisions?: number;
}

/** What a tick decided. */
export interface TickResult {
    readonly decisions: readonly Decision[];
    /** `true` if the budget was used up, so that work may be left; call `tick` again soon. */
    readonly isBudgetExhausted: boolean;
}

/**
 * Why the next task of a job waits:
 *
 * - `nothingWaiting`: the job has no waiting task.
 * - `unschedulable`: the workers, even if empty, or the limit of the team are too small.
 * - `window`: the journal has not committed a larger start window.
 * - `grant`: the grant of the team does not allow for the next start.
 * - `drained`: the workers in rotation, even if empty, are too few or too small.
 * - `reservation`: capacity is held for the job until running work ends.
 * - `share`: no worker has room, and the team is above its share.
 * - `capacity`: no worker has room.
 */
export type WaitReason =
    | "nothingWaiting"
    | "unschedulable"
    | "window"
    | "grant"
    | "drained"
    | "reservation"
    | "share"
    | "capacity";

/** The state of a job, explained for users. */
export interface JobExplanation {
    readonly job: JobId;
    readonly team: TeamId;
    readonly waitingCount: number;
    readonly runningCount: number;
    readonly finishedCount: number;
    readonly reason: WaitReason;
    /** One sentence with the values behind the reason. */
    readonly message: string;
    /** Expected milliseconds until the reserved capacity is free, if any is reserved. */
    readonly expectedWaitMs: number | undefined;
}

/** A job that needs a larger start window. Once the journal holds `windowEnd`, tasks with a lower index may start. */
export interface WindowRequest {
    readonly job: JobId;
    readonly windowEnd: number;
}

/** Resources that a team uses and resources that its waiting tasks need. */
export interface TeamDemand {
    readonly team: TeamId;
    readonly used: ResourceVector;
    /** Sum over all waiting tasks. */
    readonly waiting: ResourceVector;
}

/** Totals for metrics. */
export interface EngineSummary {
    readonly workerCount: number;
    readonly jobCount: number;
    readonly taskCount: number;
    readonly waitingCount: number;
    readonly ejectedWorkerCount: number;
    readonly reservationCount: number;
    readonly capacity: ResourceVector;
    readonly used: ResourceVector;
}

/** Settings of the engine. */
export interface PlacementOptions {
    /** Default `waiting`. */
    readonly objective?: Objective;
    /** Tasks per start window. Default 64. */
    readonly windowSize?: number;
    /** Expected run time of work without an estimate, in milliseconds. Default 600,000. */
    readonly defaultRunMs?: number;
    /** Milliseconds within which work without a deadline should start; decides its order. Default 1,800,000. */
    readonly targetWaitMs?: number;
    /** Most blocked jobs that hold a reservation at a time, besides one gang and preemptions. Default 4. */
    readonly maxReservations?: number;
    /**
     * Time before the first probe of an ejected worker, in milliseconds. Each failed probe doubles it, up to 16 times
     * this value. Default 15,000.
     */
    readonly probeIntervalMs?: number;
}
