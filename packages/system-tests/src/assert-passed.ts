/**
 * The verdict of a scenario run as a test result.
 */
import type { Failure, Result } from "@waxwingroute/core";

/** Throws the whole message of a failed run; comparing texts would cut it short. */
export function assertPassed(result: Result<unknown, Failure>): void {
    if (result.err) {
        throw new Error(result.val.message);
    }
}
