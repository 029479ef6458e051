/**
 * The interfaces between the operator server and the rest of the system, and the JSON values that it responds with.
 */
import type { Failure, HostId, Result, ShardId, ZoneId } from "@waxwingroute/core";
import type { ConfigurationResource, JobResource } from "@waxwingroute/resources";

/** The state of a job as a whole. */
export type JobState = "waiting" | "running" | "succeeded" | "failed" | "cancelled" | "unschedulable" | "mayHaveRun";

/** The status of a job, as the owner of its shard reports it. */
export interface JobStatus {
    readonly name: string;
    readonly team: string;
    readonly kind: JobResource["spec"]["kind"];
    readonly state: JobState;
    /** The shard that the job belongs to, for example `glasgow/0`. */
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
    /** Increases with each change of the job within its shard. */
    readonly revision: number;
}

/** Why a job is in its state. */
export interface JobExplanation {
    readonly job: JobStatus;
    /** The most important reason first. */
    readonly reasons: readonly { readonly code: string; readonly message: string; }[];
    /** Estimated wait until the next start, in milliseconds, if known. */
    readonly estimatedWaitMs?: number;
}

/** Selects the jobs of a list, which is sorted by name. */
export interface JobQuery {
    readonly team?: string;
    /** The list contains only names that sort after this one. */
    readonly afterName?: string;
    /** Maximum number of jobs, 1 to 1,000. */
    readonly limit: number;
}

/** Options of a watch of jobs. */
export interface JobWatchOptions {
    readonly team?: string;
    /** All changes above this revision are reported; `undefined` for changes from now on. */
    readonly afterRevision: number | undefined;
    /** Called with the new status after each change. */
    readonly onEvent: (job: JobStatus) => void;
    /** Ends the watch when aborted. */
    readonly signal: AbortSignal;
}

/** Access to jobs, each on the owner of its shard. */
export abstract class JobGateway {
    /**
     * Succeeds only after the job was written to the journal. Failures: `already-exists`, `unschedulable`, `over-limit`
     * and others.
     */
    abstract submit(job: JobResource): Promise<Result<JobStatus, Failure>>;
    /** Cancels a job. For a job that has already ended it succeeds without a change. Failure: `not-found`. */
    abstract cancel(name: string): Promise<Result<JobStatus, Failure>>;
    abstract describe(name: string): Promise<Result<JobStatus, Failure>>;
    abstract list(query: JobQuery): Promise<Result<readonly JobStatus[], Failure>>;
    /** Resolves when the watch ends. Failure: `revision-compacted` when `afterRevision` is too old. */
    abstract watch(watch: JobWatchOptions): Promise<Result<void, Failure>>;
    abstract explain(name: string): Promise<Result<JobExplanation, Failure>>;
}

/** The configuration revision in effect on one host. */
export interface HostRevision {
    readonly host: HostId;
    readonly zone: ZoneId;
    /** `undefined` if the host has no configuration loaded or did not answer. */
    readonly revision: number | undefined;
    /** Milliseconds since the revision was last confirmed as the newest; `undefined` if it never was. */
    readonly confirmedAgoMs: number | undefined;
    /** Why the host did not answer. */
    readonly problem?: string;
}

/** Access to the schedulers of all hosts. */
export abstract class ClusterGateway {
    abstract listHostRevisions(): Promise<Result<readonly HostRevision[], Failure>>;
    /**
     * Revokes the right of a shard's owner and successor to place work, without their confirmation. Returns the new
     * epoch.
     */
    abstract releaseShard(shard: ShardId, reason: string): Promise<Result<number, Failure>>;
}

/** One line of the response to a watch. */
export type WatchLine =
    | { readonly type: "put"; readonly revision: number; readonly resource: ConfigurationResource; }
    | { readonly type: "delete"; readonly revision: number; readonly kind: string; readonly name: string; }
    | { readonly type: "job"; readonly revision: number; readonly job: JobStatus; }
    /** All changes up to `revision` were sent. */
    | { readonly type: "progress"; readonly revision: number; }
    /** A stored value that cannot be decoded; the last valid value stays in effect. */
    | { readonly type: "problem"; readonly revision: number; readonly code: string; readonly message: string; }
    /** The last line; the client can resume from `revision`. */
    | { readonly type: "end"; readonly revision: number | undefined; readonly code: string; readonly message: string; };
