/**
 * Runs a call of an in-process fake with injected faults, and reports the same failures as the HTTP adapters.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err } from "@waxwingroute/core";
import type { FaultInjector } from "./fault-injector.js";

/** Options of every in-process fake. */
export interface FakeOptions {
    readonly clock: Clock;
    /** Milliseconds after which a call without an answer fails. Default 1,000. */
    readonly timeoutMs?: number;
}

/** Failure codes of one kind of stand-in. */
export interface FailureCodes {
    readonly unreachable: string;
    readonly timedOut: string;
}

/** One call of a fake. */
export interface FakeCall<T> {
    /** Name in error messages, for example `write`. */
    readonly operation: string;
    readonly source: string | undefined;
    readonly isWrite: boolean;
    /** Milliseconds until the caller times out. */
    readonly timeoutMs: number;
    /** Performs the call on the state of the fake. Called at most once. */
    readonly run: () => Result<T, Failure> | Promise<Result<T, Failure>>;
}

/** Runs one call. It can still take effect after its timeout was reported to the caller. */
export function runFakeCall<T>(
    clock: Clock,
    faults: FaultInjector,
    codes: FailureCodes,
    call: FakeCall<T>,
): Promise<Result<T, Failure>> {
    return new Promise((resolve, reject) => {
        const expire = () => {
            const message = `${call.operation} got no answer within ${call.timeoutMs} ms`;
            resolve(Err(createFailure(codes.timedOut, message, "mayHaveRun")));
        };
        const timer = clock.schedule(call.timeoutMs, expire);
        const perform = async () => {
            const admission = await faults.waitForAdmission(call.source);
            if (admission === "refuse") {
                timer.cancel();
                resolve(Err(createFailure(codes.unreachable, `${call.operation}: connection refused`, "notRun")));
                return;
            }
            if (admission === "drop") {
                return;
            }
            const result = await call.run();
            if (!faults.decideAnswerLoss(call.source, call.isWrite)) {
                timer.cancel();
                resolve(result);
            }
        };
        perform().catch(reject);
    });
}
