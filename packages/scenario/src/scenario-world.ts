/**
 * What a scenario acts on: the system under test and the platform below it. One implementation runs in process on a
 * manual clock, another starts real processes.
 */
import type { Failure, Result, Verdict } from "@waxwingroute/core";
import type { ControlCommand, RecordsReport } from "@waxwingroute/stand-ins";
import type { JobState, JobSubmission, ProcessState, RequestState, RequestSubmission } from "./types.js";

/** What became of a submitted job. */
export interface JobRecord {
    readonly state: JobState;
    /** Verdict of a refusal. */
    readonly verdict?: Verdict;
    readonly message?: string;
}

/** What became of a submitted request. */
export interface RequestRecord {
    /** First bytes of the body; different for each request. */
    readonly marker: string;
    readonly isIdempotent: boolean;
    readonly state: RequestState;
    /** Whether the answer was the whole echo of this request's body; `undefined` without an answer. */
    readonly isWhole?: boolean;
    /** Verdict of a refused or lost request. */
    readonly verdict?: Verdict;
    readonly message?: string;
}

/** Everything that expectations are checked against. */
export interface Observation {
    /** What the stand-ins recorded. */
    readonly report: RecordsReport;
    readonly jobs: ReadonlyMap<string, JobRecord>;
    readonly requests: readonly RequestRecord[];
    /** Zone of each worker. */
    readonly zones: ReadonlyMap<string, string>;
}

/** A resource to write. */
export interface ResourceWrite {
    /** `Team`, `Key`, `Queue` or `Drain`. */
    readonly resource: string;
    readonly name: string;
    readonly spec: Readonly<Record<string, unknown>>;
    /** Host whose operator process to call. Default: each in turn. */
    readonly at?: string;
}

/** The world of a scenario. A method fails when its step cannot be carried out, which ends the scenario. */
export abstract class ScenarioWorld {
    /** Milliseconds on the clock of the world. */
    abstract getNow(): number;
    /** Lets `durationMs` pass. */
    abstract wait(durationMs: number): Promise<void>;
    /** Returns whether the name is a worker or executor of the stand-ins. */
    abstract isEndpoint(name: string): boolean;
    abstract startProcess(name: string): Promise<Result<void, Failure>>;
    /** Asks a process to end and waits for it; fails if it does not end by itself with status 0. */
    abstract stopProcess(name: string): Promise<Result<void, Failure>>;
    abstract killProcess(name: string): Promise<Result<void, Failure>>;
    abstract pauseProcess(name: string): Promise<Result<void, Failure>>;
    abstract resumeProcess(name: string): Promise<Result<void, Failure>>;
    abstract getProcessState(name: string): Promise<Result<ProcessState, Failure>>;
    /** Opens or cuts the network between two hosts, zones or parts of the platform, in both directions. */
    abstract setLink(from: string, to: string, isOpen: boolean): Promise<Result<void, Failure>>;
    /** Applies a command to the stand-ins. */
    abstract applyControl(command: ControlCommand): Promise<Result<void, Failure>>;
    /** Creates a resource, or replaces it. */
    abstract writeResource(write: ResourceWrite, mode: "create" | "replace"): Promise<Result<void, Failure>>;
    abstract revokeKey(name: string, at?: string): Promise<Result<void, Failure>>;
    abstract submitJob(job: JobSubmission): Promise<Result<void, Failure>>;
    /** Sends requests without waiting for their answers. */
    abstract submitRequests(submission: RequestSubmission): Promise<Result<void, Failure>>;
    abstract observe(): Promise<Result<Observation, Failure>>;
    /** Ends everything that the world started. */
    abstract close(): Promise<void>;
}
