/**
 * One attempt at a request: the call to the executor and the check of its answer.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { AttemptId, Failure, Result } from "@waxwingroute/core";
import type { ExecutorAnswer } from "@waxwingroute/platform";
import type { ExecutorRow, OccupiedSlot } from "./executor-row.js";
import type { PendingRequest } from "./pending-request.js";

/** An attempt from the call to the executor until its outcome. */
export interface Attempt {
    readonly id: AttemptId;
    readonly pending: PendingRequest;
    readonly row: ExecutorRow;
    readonly slot: OccupiedSlot;
    readonly sentAt: number;
    /** Whether the executor was ejected when the attempt was sent. */
    readonly isProbe: boolean;
    /** Expected service time, which was added to the team's virtual time when the attempt was sent. */
    readonly expectedServiceMs: number;
}

/** The executor's answer to an attempt, or why there is none. */
export type AttemptResult = Result<ExecutorAnswer, Failure>;

/**
 * Calls the executor. An adapter that throws may already have sent the request, so the verdict is then `mayHaveRun`.
 */
export function callExecutor(
    { id, pending, row }: Attempt,
    timeoutMs: number,
    epoch: number,
    onOutcome: (result: AttemptResult) => void,
): void {
    const { executor, access } = row.definition;
    const { isIdempotent, contentType, body } = pending.request;
    const { key: requestKey, queue, team } = pending;
    const onError = (error: unknown) => {
        const message = `the call to executor "${executor}" failed with ${String(error)}`;
        onOutcome(Err(createFailure("executor-lost", message, "mayHaveRun")));
    };
    const request = { attempt: id, requestKey, queue, team, isIdempotent, contentType, body, timeoutMs, epoch };
    try {
        access.execute(request).then(onOutcome, onError);
    }
    catch (error) {
        onError(error);
    }
}

/**
 * Returns the result of an attempt. An answer that carries the id of another attempt may belong to another caller, so
 * it becomes a failure.
 */
export function checkAnswer(attempt: Attempt, result: AttemptResult): AttemptResult {
    if (result.err || result.val.attempt === attempt.id) {
        return result;
    }
    const { executor } = attempt.row.definition;
    const message = `executor "${executor}" answered attempt "${attempt.id}" with the id of attempt "${
        String(result.val.attempt)
    }"`;
    return Err(createFailure("executor-lost", message, "mayHaveRun"));
}
