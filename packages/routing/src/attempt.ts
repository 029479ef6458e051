/**
 * One attempt at a job: the call of the executor and the check of its answer.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { AttemptId, Failure, Result } from "@waxwingroute/core";
import type { ExecutorAnswer } from "@waxwingroute/platform";
import type { ExecutorRow, OccupiedSlot } from "./executor-row.js";
import type { PendingRequest } from "./pending-request.js";

export interface Attempt {
    readonly id: AttemptId;
    readonly pending: PendingRequest;
    readonly row: ExecutorRow;
    readonly slot: OccupiedSlot;
    readonly sentAt: number;
    /** Whether the executor was out of rotation when the attempt was sent. */
    readonly isProbe: boolean;
    /** Service time that the team was charged when the attempt was sent. */
    readonly chargedMs: number;
}

export type AttemptResult = Result<ExecutorAnswer, Failure>;

/** Calls the executor. An adapter that throws may have sent the request. */
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
        const message = `the call of executor "${executor}" ended with ${String(error)}`;
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

/** Returns the result of an attempt. An answer with the id of another attempt belongs to another caller: it is a failure. */
export function checkAnswer(attempt: Attempt, result: AttemptResult): AttemptResult {
    if (result.err || result.val.attempt === attempt.id) {
        return result;
    }
    const { executor } = attempt.row.definition;
    const message = `executor "${executor}" answered attempt "${attempt.id}" with the id "${
        String(result.val.attempt)
    }"`;
    return Err(createFailure("executor-lost", message, "mayHaveRun"));
}
