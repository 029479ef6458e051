/**
 * What the stand-ins saw in one run: runs of tasks, jobs with every attempt to submit them, disruptions, and processes
 * that ended. The checks read nothing else.
 */
import { writeFileSync } from "node:fs";
import type { JobStep } from "./types.js";

/** How a run ended. */
export type RunEndKind = "done" | "failed" | "stopped" | "lapsed" | "crashed" | "broken" | "alone";

/** A task that an executor has started. */
export interface RecordedRun {
    readonly executor: string;
    readonly task: string;
    readonly job: string;
    readonly run: number;
    readonly token: number;
    /** The host that sent the order. */
    readonly sender: string;
    readonly spec: string;
    /** Whether the executor carried out the order seconds after it arrived. */
    readonly isLate: boolean;
    readonly startedAt: number;
    endedAt?: number;
    end?: RunEndKind;
    /** When the end was acknowledged. */
    acknowledgedAt?: number;
    /** Whether the executor's lease lapsed between the end and its acknowledgement. */
    hasLapsed: boolean;
}

/** One attempt to hand a job in. `status` is 0 without an answer. */
export interface SubmitAttempt {
    readonly host: string;
    readonly sentAt: number;
    readonly status: number;
}

/** A job of a caller. */
export interface RecordedJob {
    readonly id: string;
    /** Name of the queue. */
    readonly queue: string;
    readonly spec: string;
    readonly steps: readonly JobStep[];
    readonly attempts: SubmitAttempt[];
    acceptedAt?: number;
    cancelSentAt?: number;
    cancelledAt?: number;
    /** When a host first showed the job as succeeded. */
    succeededAt?: number;
    /** States that hosts showed, with the time of each change. */
    readonly states: { readonly at: number; readonly host: string; readonly state: string; }[];
}

/** A request that got no answer. */
export interface UnansweredRequest {
    readonly host: string;
    readonly sentAt: number;
    readonly tookMs: number;
    /** Whether the caller gave up, rather than the connection ended. */
    readonly isTimedOut: boolean;
    readonly what: string;
}

/** A request on a connection that was open when it was sent. */
export interface KeptCall {
    readonly host: string;
    readonly method: string;
    readonly job: string;
    readonly sentAt: number;
    readonly endedAt: number;
    /** Whether the whole answer arrived. */
    readonly isAnswered: boolean;
}

/** A time in which a part was disturbed. */
interface Disruption {
    /** Without it, no host was disturbed, but another part. */
    readonly host: string | undefined;
    /** Whether it is a stop of a host by its operator. */
    readonly isPlanned: boolean;
    readonly from: number;
    to: number;
}

/** The record of one run. Times are milliseconds since its begin. */
export class RunRecord {
    readonly runs: RecordedRun[] = [];
    readonly jobs = new Map<string, RecordedJob>();
    readonly unanswered: UnansweredRequest[] = [];
    readonly keptCalls: KeptCall[] = [];
    /** When hosts got SIGTERM. */
    readonly plannedStops: { readonly host: string; readonly at: number; }[] = [];
    /** Processes that ended without being told to. */
    readonly faults: { readonly host: string; readonly at: number; readonly description: string; }[] = [];
    /** Starts that brought an executor over its capacity. */
    readonly overloads: string[] = [];
    /** Starts that an executor refused because of their tickets. */
    ticketRefusals = 0;
    /** When a host first asked the advice service about a step, whether or not the call arrived. */
    readonly firstAdviceCalls = new Map<string, number>();
    /** When hosts called the advice service, ms since the begin. */
    readonly adviceCallTimes: number[] = [];
    private readonly disruptions: Disruption[] = [];
    private readonly lines: string[] = [];
    private readonly beganAt = performance.now();

    get now(): number {
        return performance.now() - this.beganAt;
    }

    write(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        const values = Object.entries(fields).map(([name, value]) =>
            `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
        );
        this.lines.push(`${(this.now / 1_000).toFixed(3).padStart(8)} ${event} ${values.join(" ")}`.trimEnd());
    }

    /** Notes that hosts, or with an empty list other parts only, are disturbed until the returned function is called. */
    beginDisruption(hosts: readonly string[], isPlanned = false): () => void {
        const begun = (hosts.length > 0 ? hosts : [undefined]).map((host): Disruption => ({
            host,
            isPlanned,
            from: this.now,
            to: Infinity,
        }));
        this.disruptions.push(...begun);
        return () => {
            begun.forEach(disruption => {
                disruption.to = this.now;
            });
        };
    }

    /** Whether a host was undisturbed in the `spanMs` before a time. */
    isInTouch(host: string, at: number, spanMs: number): boolean {
        return !this.disruptions.some(({ host: disturbed, from, to }) =>
            disturbed === host && from <= at && to >= at - spanMs
        );
    }

    /** Whether no part was disturbed between two times. */
    isUndisturbed(since: number, until: number): boolean {
        return !this.disruptions.some(({ from, to }) => from <= until && to >= since);
    }

    /** Whether a part was disturbed by something else than a planned stop between two times. */
    hasUnplannedDisruption(since: number, until: number): boolean {
        return this.disruptions.some(({ from, to, isPlanned }) => !isPlanned && from <= until && to >= since);
    }

    writeTo(file: string): void {
        writeFileSync(file, `${this.lines.join("\n")}\n`);
    }
}
