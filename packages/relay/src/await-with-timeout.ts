/**
 * A bound on the wait for an answer. Lost messages must not stop a loop.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { Clock, Failure, Result } from "@waxwingroute/core";

/** Waits up to `waitMs` for a result. A wait that ends and a promise that rejects become failures (`mayHaveRun`). */
export async function awaitWithTimeout<T>(
    clock: Clock,
    timeoutMs: number,
    pending: Promise<Result<T, Failure>>,
): Promise<Result<T, Failure>> {
    return new Promise(resolve => {
        const timer = clock.schedule(timeoutMs, () => {
            resolve(Err(createFailure("no-answer", `no answer within ${timeoutMs} ms`, "mayHaveRun")));
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
