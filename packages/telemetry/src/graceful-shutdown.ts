/**
 * Graceful shutdown on SIGTERM or SIGINT.
 */
import type { Logger } from "./logger.js";

/** One step of a shutdown, for example "stop accepting requests". */
export interface ShutdownStep {
    readonly name: string;
    run(): Promise<void>;
}

export interface GracefulShutdownOptions {
    readonly logger: Logger;
    /** Longest time for all steps, in milliseconds. */
    readonly timeoutMs: number;
    /** Steps in order. A step that fails is logged, and the next ones still run. */
    readonly steps: readonly ShutdownStep[];
}

/** Runs the steps once on the first SIGTERM or SIGINT and exits: 0 when all steps ended within the bound, else 1. */
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
