/** What the callers' interface can ask of a host of the cell. Adapters translate their protocol to it. */
import type { Failure, JobId, QueueId, Result, TeamId } from "@waxwingroute/core";
import type { JobSpec, JobState } from "@waxwingroute/workflow";

/** Where a call is addressed to. */
export interface QueueTarget {
    readonly queue: QueueId;
    /** The path after the prefix of the queue. */
    readonly subpath: string;
    readonly isPublic: boolean;
}

/** Codes of failures that the callers' interface tells apart. */
export const gatewayFailures = {
    /** This host has no configuration yet. */
    notConfigured: "not-configured",
    unknownQueue: "unknown-queue",
    unknownKey: "unknown-key",
    unknownJob: "unknown-job",
    /** Nothing was done; the caller should come back. */
    unavailable: "unavailable",
    /** The outcome is not known; the caller should send the same id again. */
    outcomeUnknown: "outcome-unknown",
} as const;

export abstract class JobGateway {
    abstract resolveQueue(host: string, path: string): Result<QueueTarget, Failure>;
    /** Returns the team whose key was sent; for public queues without one, the team of the queue. */
    abstract authorize(target: QueueTarget, key: string | undefined): Result<TeamId, Failure>;
    /** Largest body of a call, bytes. */
    abstract getMaxBodyBytes(): number;
    abstract submit(target: QueueTarget, team: TeamId, job: JobId, spec: JobSpec): Promise<Result<void, Failure>>;
    abstract describe(job: JobId): Promise<Result<JobState, Failure>>;
    abstract cancel(job: JobId): Promise<Result<void, Failure>>;
    /** Jobs of the queue for which no task has started; may be two seconds old. */
    abstract countPending(queue: QueueId): Result<number, Failure>;
}
