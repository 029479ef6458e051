/**
 * Binds the ports of a program, and tries again while a port is taken.
 *
 * A predecessor on the same address keeps its ports until the end of its grace period, and an address may be in use
 * again shortly after its machine was removed. A process that ends for that reason would only be started again.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "./logger.js";

/** A port that a program serves. */
export interface ProgramPort {
    /** Name in log lines, for example `metrics`. */
    readonly name: string;
    /** `<ip>:<port>` */
    readonly address: string;
    /** Whether the program cannot serve without the port. The others are tried until they are free. */
    readonly isNeeded: boolean;
    /** Starts to listen; it is called again if it fails. */
    readonly listen: () => Promise<unknown>;
}

/** Options of a `PortBinder`. */
export interface PortBinderOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Returns the longest time for which a needed port is tried, ms. */
    readonly getTimeoutMs: () => number;
    /** Pause between two attempts for a needed port, ms. Default 100: callers wait for it. */
    readonly retryIntervalMs?: number;
    /** Pause between two attempts for a port that is not needed, ms. Default 1,000. */
    readonly spareRetryIntervalMs?: number;
    /** Shortest time between two log lines about a port that is taken, ms. Default 10,000. */
    readonly logIntervalMs?: number;
}

/** Errors that can pass, and their likely causes. */
const passingErrors: Readonly<Record<string, string>> = {
    EADDRINUSE:
        "likely held by a predecessor in its grace period, by an earlier use of the address, or by another program",
    EADDRNOTAVAIL: "the machine does not have the address yet",
    EMFILE: "the process has no free descriptors",
    ENFILE: "the machine has no free descriptors",
};

/**
 * Binds ports beside each other and knows which are not bound yet.
 *
 * @example
 * ```ts
 * const binder = new PortBinder({ clock, logger, getTimeoutMs: () => 9_000 });
 * const isBound = await binder.bind({ name: "callers", address, isNeeded: true, listen: () => server.listen() });
 * ```
 */
export class PortBinder {
    private readonly unboundPorts = new Set<ProgramPort>();
    private isStopped = false;

    constructor(private readonly options: PortBinderOptions) {}

    /** Returns the needed ports that are not bound yet. */
    listUnbound(): ProgramPort[] {
        return [...this.unboundPorts].filter(port => port.isNeeded);
    }

    /**
     * Binds a port. Returns whether it is bound: `false` if a needed port was not free in time or cannot be bound, and
     * after `stop`.
     */
    async bind(port: ProgramPort): Promise<boolean> {
        const { clock, getTimeoutMs, logger, retryIntervalMs = 100, spareRetryIntervalMs = 1_000 } = this.options;
        const { address, isNeeded, name } = port;
        const startedAt = clock.getNow();
        let loggedAt: number | undefined;
        this.unboundPorts.add(port);
        while (!this.isStopped) {
            const error = await tryListen(port);
            const afterMs = Math.round(clock.getNow() - startedAt);
            if (error === undefined) {
                this.unboundPorts.delete(port);
                if (loggedAt !== undefined) {
                    logger.write("info", "port bound", { port: name, address, afterMs });
                }
                return true;
            }
            const timeoutMs = getTimeoutMs();
            const { code = "" } = error;
            const cause = passingErrors[code];
            const reason = cause ?? error.message;
            if (isNeeded && (cause === undefined || afterMs >= timeoutMs)) {
                logger.write("error", "port not bound", { port: name, address, code, reason, afterMs });
                return false;
            }
            if (loggedAt === undefined || clock.getNow() - loggedAt >= (this.options.logIntervalMs ?? 10_000)) {
                loggedAt = clock.getNow();
                const retryForMs = isNeeded ? Math.round(timeoutMs - afterMs) : undefined;
                logger.write("warn", "port taken", { port: name, address, code, reason, isNeeded, retryForMs });
            }
            await clock.wait(isNeeded ? retryIntervalMs : spareRetryIntervalMs);
        }
        return false;
    }

    /** Ends all attempts. */
    stop(): void {
        this.isStopped = true;
    }
}

/** Returns the error of an attempt, or `undefined` if the port is bound. */
async function tryListen(port: ProgramPort): Promise<NodeJS.ErrnoException | undefined> {
    try {
        await port.listen();
        return undefined;
    }
    catch (error) {
        return error instanceof Error ? error : new Error(String(error));
    }
}
