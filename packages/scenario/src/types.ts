/**
 * The steps of a scenario, as the parser returns them. Durations are in milliseconds.
 */
import type { ResourceName } from "@waxwingroute/core";
import type { ExecutorMode, HostListMode } from "@waxwingroute/stand-ins";

/** A bound on a count. */
export interface Bound {
    readonly kind: "atLeast" | "atMost" | "exactly";
    readonly value: number;
}

/** Tasks of one job, team or zone. */
export interface TaskGroup {
    readonly by: "job" | "team" | "zone";
    readonly name: string;
}

export type TaskState = "running" | "started" | "succeeded" | "failed" | "stopped";
export type RequestState = "answered" | "refused" | "lost" | "waiting";
export type JobState = "accepted" | "refused" | "lost" | "waiting";
export type ProcessState = "running" | "ready" | "ended";

/** What a scenario expects. */
export type Expectation =
    | {
        readonly kind:
            | "noOvercommit"
            | "noTaskInTwoPlaces"
            | "noRequestRunTwice"
            | "noExecutorOverload"
            | "noRefusedWorkRun"
            | "everyAnswerWhole";
    }
    | {
        readonly kind: "teamBound";
        readonly name: string;
        readonly amount: ResourceName | "slots";
        readonly value: number;
    }
    | { readonly kind: "task"; readonly name: string; readonly isRunning: boolean; }
    | { readonly kind: "tasks"; readonly state: TaskState; readonly bound: Bound; readonly group?: TaskGroup; }
    | { readonly kind: "requests"; readonly state: RequestState; readonly bound: Bound; }
    | { readonly kind: "job"; readonly name: string; readonly state: JobState; }
    | { readonly kind: "process"; readonly name: string; readonly state: ProcessState; };

/** A job to submit. */
export interface JobSubmission {
    readonly name: string;
    readonly team: string;
    /** Default `batch`. */
    readonly jobKind?: "batch" | "service" | "gang";
    /** Default 1. */
    readonly tasks?: number;
    /** Default `run 200ms`. */
    readonly command?: string;
    /** Default 100. */
    readonly cpuMillis?: number;
    /** Default 64. */
    readonly memoryMb?: number;
    /** Default 0. */
    readonly accelerators?: number;
    readonly priority?: number;
    readonly estimatedRunMs?: number;
    readonly isSafeToRepeat?: boolean;
    readonly zone?: string;
    /** Key to present. Default: the first key that was declared for the team. */
    readonly key?: string;
    /** Entry host to submit at. Default: each in turn. */
    readonly at?: string;
}

/** Requests to submit; the step does not wait for their answers. */
export interface RequestSubmission {
    readonly count: number;
    readonly queue: string;
    readonly isIdempotent?: boolean;
    /** Default 10,000. */
    readonly deadlineMs?: number;
    /** Length of the body. Default 64. */
    readonly bodyBytes?: number;
    /** Time between two requests. Default 0: all at once. */
    readonly everyMs?: number;
    /** Whether a request key is fetched first and a lost request is sent once more with it. Default false. */
    readonly hasRequestKeys?: boolean;
    readonly key?: string;
    readonly at?: string;
}

/** What a step does. */
export type Action =
    | { readonly kind: "start" | "stop" | "kill" | "pause" | "resume"; readonly name: string; }
    | { readonly kind: "setStore"; readonly isUp: boolean; }
    | { readonly kind: "setLink"; readonly from: string; readonly to: string; readonly isOpen: boolean; }
    | { readonly kind: "slow"; readonly target: string; readonly delayMs: number; }
    | { readonly kind: "loseAnswers"; readonly target: string; readonly count: number; }
    | { readonly kind: "expireLease"; readonly task: string; }
    | { readonly kind: "revokeKey"; readonly name: string; readonly at?: string; }
    | {
        readonly kind: "declare" | "change";
        readonly resource: string;
        readonly name: string;
        readonly spec: Readonly<Record<string, unknown>>;
        readonly at?: string;
    }
    | { readonly kind: "drain"; readonly name: string; readonly isDraining: boolean; }
    | {
        readonly kind: "setExecutor";
        readonly target: string;
        readonly mode: ExecutorMode;
        readonly queue?: string;
        readonly delayMs: number;
    }
    | { readonly kind: "setFailing"; readonly target: string; readonly isFailing: boolean; }
    | { readonly kind: "setHostList"; readonly mode: HostListMode; }
    | { readonly kind: "submitJob"; } & JobSubmission
    | { readonly kind: "submitRequests"; } & RequestSubmission
    | { readonly kind: "wait"; readonly durationMs: number; }
    | {
        readonly kind: "expect";
        readonly expectation: Expectation;
        /** Time within which it must come true; 0 for now. */
        readonly withinMs: number;
        /** The step as written. */
        readonly text: string;
    };

/** A step with its place in the file; both from 1. */
export type Step = Action & { readonly line: number; readonly column: number; };
