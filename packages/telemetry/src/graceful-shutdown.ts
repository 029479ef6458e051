/**
 * Graceful shutdown on SIGTERM or SIGINT.
 */
import type { LogFields, Logger } from "./logger.js";
import { ProcessSignals } from "./process-signals.js";

/** One step of a shutdown, for example "stop accepting requests". The name is logged. */
export interface ShutdownStep {
    readonly name: string;
    run(): Promise<void>;
}

/** Settings of `installGracefulShutdown`. */
export interface GracefulShutdownOptions {
    readonly logger: Logger;
    /** Returns the timeout for all steps together, in milliseconds. It is called when the shutdown begins. */
    readonly getTimeoutMs: () => number;
    /** Steps in order. If a step fails, the failure is logged and the next steps still run. */
    readonly steps: readonly ShutdownStep[];
    /** The signals of the process. Default: those from now on. */
    readonly signals?: ProcessSignals;
}

/** An installed shutdown. */
export interface GracefulShutdown {
    /** Runs the steps because the program cannot go on, and exits with 1. Does nothing if they run already. */
    fail(reason: string): void;
}

/**
 * Runs the steps once, on the first SIGTERM or SIGINT. Exits with 0 if all succeed in time, otherwise with 1. A signal
 * that `signals` has kept starts the steps before this function returns, so that a program can install the shutdown
 * before it starts its parts. Each step must do nothing if its part has not started.
 */
export function installGracefulShutdown(options: GracefulShutdownOptions): GracefulShutdown {
    const { logger, signals = new ProcessSignals() } = options;
    let hasStarted = false;
    const start = (cause: LogFields, canSucceed: boolean) => {
        hasStarted = true;
        void runSteps(options, cause, canSucceed);
    };
    signals.handle("stop", signal => {
        if (hasStarted) {
            logger.write("info", "signal ignored", { signal, reason: "the shutdown has begun" });
            return;
        }
        start({ signal }, true);
    });
    return {
        fail: reason => {
            if (!hasStarted) {
                start({ reason }, false);
            }
        },
    };
}

async function runSteps(
    { logger, getTimeoutMs, steps }: GracefulShutdownOptions,
    cause: LogFields,
    canSucceed: boolean,
): Promise<void> {
    const timeoutMs = getTimeoutMs();
    logger.write("info", "shutdown begins", { ...cause, boundMs: timeoutMs });
    const startedAt = performance.now();
    const timeoutTimer = setTimeout(() => {
        logger.write("error", "shutdown exceeded its bound", { boundMs: timeoutMs });
        logger.flush();
        process.exit(1);
    }, timeoutMs);
    let isClean = canSucceed;
    for (const step of steps) {
        try {
            await step.run();
            logger.write("info", "shutdown step done", { step: step.name });
        }
        catch (error) {
            isClean = false;
            logger.write("error", "shutdown step failed", { step: step.name, error: String(error) });
        }
    }
    clearTimeout(timeoutTimer);
    logger.write("info", "shutdown done", { durationMs: Math.round(performance.now() - startedAt) });
    logger.flush();
    process.exit(isClean ? 0 : 1);
}
