/** Operations of a host for its callers. Adapters translate a protocol into calls of them. */
import type { Failure, JobId, QueueId, Result, TeamId } from "@waxwingroute/core";
import type { JobSpec, JobState } from "@waxwingroute/workflow";

/** The queue that a call addresses. */
export interface QueueTarget {
    readonly queue: QueueId;
    /** Path after the prefix of the queue. */
    readonly subpath: string;
    /** Whether callers need no key. */
    readonly isPublic: boolean;
}

/** Failure codes that the adapters can tell apart. */
export const gatewayFailures = {
    /** This host has no configuration yet. */
    notConfigured: "not-configured",
    unknownQueue: "unknown-queue",
    unknownKey: "unknown-key",
    unknownJob: "unknown-job",
    /** The job was cancelled before it was submitted, and is not accepted. */
    cancelledJob: "cancelled-job",
    /** A job of another team has the id. Nothing else is told of it. */
    takenId: "taken-id",
    /** Nothing was done; the caller should retry. */
    unavailable: "unavailable",
    /** The outcome is unknown; the caller should send the same job id again. */
    outcomeUnknown: "outcome-unknown",
} as const;

/** Accepts, describes and cancels jobs for callers. */
export abstract class JobGateway {
    /**
     * Waits until the configuration by which the next calls are decided is recent. Resolves after a short time without
     * that if the store cannot be read.
     */
    abstract confirmConfiguration(): Promise<void>;
    /** Returns the queue that the DNS name in the request and the path select. */
    abstract resolveQueue(hostName: string, path: string): Result<QueueTarget, Failure>;
    /** Returns the team of the key, or the team of public jobs if a public queue is called without a known key. */
    abstract authorize(target: QueueTarget, key: string | undefined): Result<TeamId, Failure>;
    /** Returns the size of the largest request body, bytes. */
    abstract getMaxBodyBytes(): number;
    /**
     * Stores a job. Submitting the same id again succeeds without effect. Fails with `cancelledJob` if the team has
     * cancelled the id before, and with `takenId` if a job of another team has it.
     */
    abstract submit(target: QueueTarget, team: TeamId, job: JobId, spec: JobSpec): Promise<Result<void, Failure>>;
    /**
     * Returns the state of a job. A job of another team, unless the call and the job have the same public queue, is
     * answered as one that does not exist, here and by `cancel`.
     */
    abstract describe(target: QueueTarget, team: TeamId, job: JobId): Promise<Result<JobState, Failure>>;
    /**
     * Stores the cancellation of a job of the team; without effect if the job has ended. `unknownJob`: no such job is
     * stored, and one with this id that the team submits later, or whose submission is still on its way, is not accepted.
     */
    abstract cancel(target: QueueTarget, team: TeamId, job: JobId): Promise<Result<void, Failure>>;
    /** Returns the number of jobs in the queue without a started task. The count may be two seconds old. */
    abstract countPending(queue: QueueId): Result<number, Failure>;
}
