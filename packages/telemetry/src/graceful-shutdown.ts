/**
 * Graceful shutdown on SIGTERM or SIGINT.
 */
import type { Logger } from "./logger.js";

/** One step of a shutdown, for example "stop accepting requests". The name is logged. */
export interface ShutdownStep {
    readonly name: string;
    run(): Promise<void>;
}

/** Settings of `installGracefulShutdown`. */
export interface GracefulShutdownOptions {
    readonly logger: Logger;
    /** Timeout for all steps together, in milliseconds. */
    readonly timeoutMs: number;
    /** Steps in order. If a step fails, the failure is logged and the next steps still run. */
    readonly steps: readonly ShutdownStep[];
}

/** Runs the steps once, on the first SIGTERM or SIGINT. Exits with 0 if all succeed in time, otherwise with 1. */
export function installGracefulShutdown(options: GracefulShutdownOptions): void {
    let hasStarted = false;
    const startShutdown = (signal: string) => {
        if (!hasStarted) {
            hasStarted = true;
            void runSteps(options, signal);
        }
    };
    process.on("SIGTERM", () => startShutdown("SIGTERM"));
    process.on("SIGINT", () => startShutdown("SIGINT"));
}

async function runSteps({ logger, timeoutMs, steps }: GracefulShutdownOptions, signal: string): Promise<void> {
    logger.write("info", "shutdown begins", { signal, boundMs: timeoutMs });
    const startedAt = performance.now();
    const timeoutTimer = setTimeout(() => {
        logger.write("error", "shutdown exceeded its bound", { boundMs: timeoutMs });
        logger.flush();
        process.exit(1);
    }, timeoutMs);
    let isClean = true;
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
