/**
 * What the operator server needs of the rest of the system, and the shapes that it answers with.
 */
import type { Failure, HostId, Result, ShardId, ZoneId } from "@waxwingroute/core";
import type { ConfigurationResource, JobResource } from "@waxwingroute/resources";

export type JobState = "waiting" | "running" | "succeeded" | "failed" | "cancelled" | "unschedulable" | "mayHaveRun";

/** A job as its shard owner sees it. */
export interface JobStatus {
    readonly name: string;
    readonly team: string;
    readonly kind: JobResource["spec"]["kind"];
    readonly state: JobState;
    /** Home shard, for example `glasgow/0`. */
    readonly shard: string;
    /** Number of tasks in each state. */
    readonly tasks: {
        readonly waiting: number;
        /** Placed, but not confirmed by the worker yet. */
        readonly starting: number;
        readonly running: number;
        readonly succeeded: number;
        readonly failed: number;
        readonly stopped: number;
        readonly mayHaveRun: number;
    };
    /** Rises with each change of the job within its shard. */
    readonly revision: number;
}

/** Why a job is in its state. */
export interface JobExplanation {
    readonly job: JobStatus;
    /** Most important first. */
    readonly reasons: readonly { readonly code: string; readonly message: string; }[];
    /** Estimated wait until the next start, in milliseconds, if known. */
    readonly estimatedWaitMs?: number;
}

/** Which jobs to list, sorted by name. */
export interface JobQuery {
    readonly team?: string;
    /** Name after which the list begins. */
    readonly afterName?: string;
    /** Most jobs, 1 to 1,000. */
    readonly limit: number;
}

/** A watch of jobs. */
export interface JobWatchOptions {
    readonly team?: string;
    /** Revision above which events are wanted; `undefined` for events from now on. */
    readonly afterRevision: number | undefined;
    /** Called with each change. */
    readonly onEvent: (job: JobStatus) => void;
    /** Ends the watch. */
    readonly signal: AbortSignal;
}

/** Access to jobs on their shard owners. */
export abstract class JobGateway {
    /** Succeeds only when the job is journalled. Failures: `already-exists`, `unschedulable`, `over-limit`, and others. */
    abstract submit(job: JobResource): Promise<Result<JobStatus, Failure>>;
    /** Cancels a job; a job that has ended succeeds unchanged. Failure: `not-found`. */
    abstract cancel(name: string): Promise<Result<JobStatus, Failure>>;
    abstract describe(name: string): Promise<Result<JobStatus, Failure>>;
    abstract list(query: JobQuery): Promise<Result<readonly JobStatus[], Failure>>;
    /** Resolves when the watch ends. Failure: `revision-compacted` when `from` is too old. */
    abstract watch(watch: JobWatchOptions): Promise<Result<void, Failure>>;
    abstract explain(name: string): Promise<Result<JobExplanation, Failure>>;
}

/** The configuration revision in force on one host. */
export interface HostRevision {
    readonly host: HostId;
    readonly zone: ZoneId;
    /** `undefined` if the host has nothing loaded or did not answer. */
    readonly revision: number | undefined;
    /** Milliseconds since the revision was confirmed as the newest; `undefined` if never. */
    readonly confirmedAgoMs: number | undefined;
    /** Why the host did not answer. */
    readonly problem?: string;
}

/** Access to the other hosts of the system. */
export abstract class ClusterGateway {
    abstract listHostRevisions(): Promise<Result<readonly HostRevision[], Failure>>;
    /** Ends the right of a shard's owner and successor although they cannot confirm it. Returns the new epoch. */
    abstract releaseShard(shard: ShardId, reason: string): Promise<Result<number, Failure>>;
}

/** One line of a watch. */
export type WatchLine =
    | { readonly type: "put"; readonly revision: number; readonly resource: ConfigurationResource; }
    | { readonly type: "delete"; readonly revision: number; readonly kind: string; readonly name: string; }
    | { readonly type: "job"; readonly revision: number; readonly job: JobStatus; }
    /** The watch has seen everything up to `revision`. */
    | { readonly type: "progress"; readonly revision: number; }
    /** A stored value that cannot be read; the last good value stays in force. */
    | { readonly type: "problem"; readonly revision: number; readonly code: string; readonly message: string; }
    /** The last line; the client resumes from `revision`. */
    | { readonly type: "end"; readonly revision: number | undefined; readonly code: string; readonly message: string; };
