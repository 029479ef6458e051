/**
 * Limits the wait for an answer, so that a lost message cannot block a loop forever.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { Clock, Failure, Result } from "@waxwingroute/core";

/**
 * Waits up to `timeoutMs` for a result. Failures (`mayHaveRun`): `no-answer` (the time ran out), `call-failed` (the promise
 * was rejected).
 */
export async function awaitWithTimeout<T>(
    clock: Clock,
    timeoutMs: number,
    pending: Promise<Result<T, Failure>>,
): Promise<Result<T, Failure>> {
    return new Promise(resolve => {
        const timer = clock.schedule(timeoutMs, () => {
            resolve(Err(createFailure("no-answer", `the call got no answer within ${timeoutMs} ms`, "mayHaveRun")));
        });
        const settle = (result: Result<T, Failure>): void => {
            timer.cancel();
            resolve(result);
        };
        pending.then(settle, (error: unknown) => {
            settle(Err(createFailure("call-failed", `the call failed: ${String(error)}`, "mayHaveRun")));
        });
    });
}
