/**
 * Keeps what was submitted in a scenario and what became of it.
 */
import type { Failure, Result, Verdict } from "@waxwingroute/core";
import { isWholeEcho } from "@waxwingroute/stand-ins";
import { match } from "ts-pattern";
import type { JobRecord, RequestRecord } from "./scenario-world.js";
import type { RequestSubmission } from "./types.js";

/** One request to send. */
export interface OutgoingRequest {
    readonly queue: string;
    readonly body: Buffer;
    readonly isIdempotent: boolean;
    readonly deadlineMs: number;
    /** Name of the key to present, if the scenario names one. */
    readonly key: string | undefined;
    /** Host to send to, if the scenario names one. */
    readonly at: string | undefined;
    readonly hasRequestKey: boolean;
}

/** What a caller got. */
export type RequestReply =
    | { readonly kind: "answered"; readonly body: Buffer; }
    | { readonly kind: "refused" | "lost"; readonly verdict: Verdict; readonly message: string; };

/** Options of `Submissions`. */
export interface SubmissionsOptions {
    /** Sends one request. */
    readonly send: (request: OutgoingRequest) => Promise<RequestReply>;
    readonly wait: (durationMs: number) => Promise<void>;
    /** Part of each marker that differs between runs. */
    readonly runId: string;
}

/** The submissions of one scenario. */
export class Submissions {
    readonly jobs = new Map<string, JobRecord>();
    readonly requests: RequestRecord[] = [];

    constructor(private readonly options: SubmissionsOptions) {}

    /** Notes that a job was sent and, when it is known, what became of it. Only `notRun` is a refusal. */
    async trackJob(name: string, answer: Promise<Result<void, Failure>>): Promise<void> {
        this.jobs.set(name, { state: "waiting" });
        const result = await answer;
        if (result.ok) {
            this.jobs.set(name, { state: "accepted" });
            return;
        }
        const { verdict, message } = result.val;
        this.jobs.set(name, { state: verdict === "notRun" ? "refused" : "lost", verdict, message });
    }

    /** Sends the requests of a step; their answers are noted as they come. */
    async sendAll(submission: RequestSubmission): Promise<void> {
        for (let index = 0; index < submission.count; index++) {
            if (index > 0 && submission.everyMs !== undefined) {
                await this.options.wait(submission.everyMs);
            }
            void this.sendOne(submission);
        }
    }

    private async sendOne(submission: RequestSubmission): Promise<void> {
        const position = this.requests.length;
        const marker = `request-${position}-${this.options.runId}`;
        const isIdempotent = submission.isIdempotent ?? false;
        const body = Buffer.from(`${marker} `.padEnd(submission.bodyBytes ?? 64, "x"));
        this.requests.push({ marker, isIdempotent, state: "waiting" });
        const reply = await this.options.send({
            queue: submission.queue,
            body,
            isIdempotent,
            deadlineMs: submission.deadlineMs ?? 10_000,
            key: submission.key,
            at: submission.at,
            hasRequestKey: submission.hasRequestKeys ?? false,
        });
        this.requests[position] = match(reply)
            .returnType<RequestRecord>()
            .with({ kind: "answered" }, answer => {
                return { marker, isIdempotent, state: "answered", isWhole: isWholeEcho(body, answer.body) };
            })
            .otherwise(({ kind, verdict, message }) => ({ marker, isIdempotent, state: kind, verdict, message }));
    }
}
