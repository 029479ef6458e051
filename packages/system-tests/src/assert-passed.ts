/**
 * Assertion that a scenario run passed.
 */
import type { Failure, Result } from "@waxwingroute/core";

/** Throws the message of a failed run, in full: an assertion that compares texts would truncate it. */
export function assertPassed(result: Result<unknown, Failure>): void {
    if (result.err) {
        throw new Error(result.val.message);
    }
}
