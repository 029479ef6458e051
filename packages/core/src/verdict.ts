/**
 * The verdict on a failed operation: whether the requested work may have run.
 *
 * Every failure that crosses a module boundary carries a verdict, because only the verdict decides whether a retry is
 * safe.
 */
import { match } from "ts-pattern";
import type { RequestKey } from "./ids.js";

/**
 * - `notRun`: the work did not run and will not run because of this attempt.
 * - `mayHaveRun`: the work may have run, may be running, or may still run.
 * - `ran`: the work ran; its reply may have been lost.
 */
export type Verdict = "notRun" | "mayHaveRun" | "ran";

/** A failure with a stable code, a message for people, and a verdict. */
export interface Failure {
    /** Stable identifier in kebab-case, for example `queue-full`. */
    readonly code: string;
    /** One sentence that says what failed and with which values. */
    readonly message: string;
    readonly verdict: Verdict;
    /** Milliseconds after which another attempt may succeed, if known. */
    readonly retryAfterMs?: number;
    /** Key under which the caller can query the outcome of the request. */
    readonly requestKey?: RequestKey;
}

/**
 * Creates a failure.
 *
 * @example
 * ```ts
 * return Err(createFailure("queue-full", `queue "orders" holds 100 requests, its limit`, "notRun"));
 * ```
 */
export function createFailure(code: string, message: string, verdict: Verdict, retryAfterMs?: number): Failure {
    return retryAfterMs === undefined ? { code, message, verdict } : { code, message, verdict, retryAfterMs };
}

/** Returns the verdict on work that was attempted twice, from the verdicts of both attempts. */
export function mergeVerdicts(firstVerdict: Verdict, secondVerdict: Verdict): Verdict {
    return match([firstVerdict, secondVerdict] as const)
        .with(
            ["ran", "ran"],
            ["ran", "notRun"],
            ["notRun", "ran"],
            ["ran", "mayHaveRun"],
            ["mayHaveRun", "ran"],
            () => "ran" as const,
        )
        .with(["notRun", "notRun"], () => "notRun" as const)
        .otherwise(() => "mayHaveRun" as const);
}

/** Returns whether a retry after this verdict cannot run non-idempotent work twice. */
export function canRetry(verdict: Verdict, isIdempotent: boolean): boolean {
    return match(verdict)
        .with("notRun", () => true)
        .with("mayHaveRun", () => isIdempotent)
        .with("ran", () => false)
        .exhaustive();
}
