/**
 * Runs work that no caller waits for: loops, watches, timers and calls in the background. An error in such work would
 * otherwise be unhandled and end the process, although it concerns one message, one executor or one call.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err } from "@waxwingroute/core";
import type { LogFields, LogWriter } from "./logger.js";

/** The log and the clock of a supervisor. */
export interface SupervisorOptions {
    readonly logger: LogWriter;
    readonly clock: Clock;
    /** Pause before a loop that has failed starts again, ms. Default 250. */
    readonly restartDelayMs?: number;
    /** Shortest time between two log lines of one operation, ms. Default 1,000. */
    readonly logIntervalMs?: number;
}

/** A loop that runs for as long as `isStopped` returns false. */
export interface SupervisedLoop {
    /** Name of the loop in log lines. */
    readonly operation: string;
    /** Fields of the log lines, which name the input, such as the executor. */
    readonly fields?: LogFields;
    readonly isStopped: () => boolean;
    /** Runs the loop; it is called again if it fails. */
    readonly run: () => Promise<void>;
}

/** Number of failures of one operation that were not logged, and when it was last logged. */
interface FailureRecord {
    loggedAt: number;
    suppressed: number;
}

/**
 * Logs the errors of supervised work as `unexpected error`, with the operation, its fields and the stack, and lets the
 * process go on.
 *
 * @example
 * ```ts
 * supervisor.start("store.probe", { host }, () => this.probe());
 * ```
 */
export class Supervisor {
    private readonly failures = new Map<string, FailureRecord>();
    private count = 0;

    constructor(private readonly options: SupervisorOptions) {}

    /** Number of errors so far, logged or not. */
    get failureCount(): number {
        return this.count;
    }

    /** Runs an action. Returns whether it ended without an error. */
    run(operation: string, fields: LogFields, action: () => void): boolean {
        try {
            action();
            return true;
        }
        catch (error) {
            this.recordFailure(operation, fields, error);
            return false;
        }
    }

    /** Starts an action without waiting for its end. */
    start(operation: string, fields: LogFields, action: () => Promise<unknown>): void {
        void this.runAsync(operation, fields, action);
    }

    /** Waits for a call that should not throw. If it does, its outcome is unknown: code `internal`, verdict `mayHaveRun`. */
    async call<T>(
        operation: string,
        fields: LogFields,
        action: () => Promise<Result<T, Failure>>,
    ): Promise<Result<T, Failure>> {
        try {
            return await action();
        }
        catch (error) {
            this.recordFailure(operation, fields, error);
            return Err(createFailure("internal", `${operation} failed: ${String(error)}`, "mayHaveRun"));
        }
    }

    /** Starts a loop, and starts it again after each error until it is stopped. */
    startLoop({ operation, fields = {}, isStopped, run }: SupervisedLoop): void {
        void this.runUntilStopped(operation, fields, isStopped, run);
    }

    private async runUntilStopped(
        operation: string,
        fields: LogFields,
        isStopped: () => boolean,
        run: () => Promise<void>,
    ): Promise<void> {
        while (!isStopped() && !await this.runAsync(operation, fields, run)) {
            await this.options.clock.wait(this.options.restartDelayMs ?? 250);
        }
    }

    private async runAsync(operation: string, fields: LogFields, action: () => Promise<unknown>): Promise<boolean> {
        try {
            await action();
            return true;
        }
        catch (error) {
            this.recordFailure(operation, fields, error);
            return false;
        }
    }

    private recordFailure(operation: string, fields: LogFields, error: unknown): void {
        const { clock, logger, logIntervalMs = 1_000 } = this.options;
        const now = clock.getNow();
        this.count += 1;
        const record = this.failures.get(operation) ?? { loggedAt: -Infinity, suppressed: 0 };
        this.failures.set(operation, record);
        if (now - record.loggedAt < logIntervalMs) {
            record.suppressed += 1;
            return;
        }
        const stack = error instanceof Error ? error.stack : String(error);
        const suppressed = record.suppressed === 0 ? undefined : record.suppressed;
        record.loggedAt = now;
        record.suppressed = 0;
        logger.write("error", "unexpected error", { operation, ...fields, suppressed, stack });
    }
}
