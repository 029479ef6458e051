/**
 * Structured logs: one JSON line per event, written in batches.
 *
 * The scheduler can log thousands of decisions a second, and one write per line would block its tick. Lines are
 * buffered for up to 50 ms and written together; lines that are still buffered are written at exit.
 */
import { writeSync } from "node:fs";
import type { Logger as RoarrLogger } from "roarr";
import { match } from "ts-pattern";
import { BoundedOutput } from "./bounded-output.js";

/** Levels of log lines, from the lowest to the highest. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Settings of a `Logger`. */
export interface LoggerOptions {
    /** Name of the program, for example `waxwing-scheduler`. */
    readonly program: string;
    readonly host: string;
    readonly zone: string;
    /** Lowest level that is written. Default `info`. */
    readonly level?: LogLevel;
    /** Writes a batch of lines. Default: to standard output. */
    readonly write?: (lines: string) => void;
    /** Longest time for which a line is buffered, in milliseconds. Default 50. */
    readonly flushIntervalMs?: number;
}

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Receives the log lines of a part of a program; tests implement their own. */
export interface LogWriter {
    write(level: LogLevel, message: string, fields?: LogFields): void;
}

const levelOrder: readonly LogLevel[] = ["debug", "info", "warn", "error"];

/** Maximum size of a batch, bytes, so that collectors that read 8 KiB at a time get whole lines. */
const maxBatchBytes = 8 * 1024;

/**
 * Writes log lines of one program.
 *
 * @example
 * ```ts
 * const logger = await createLogger({ program: "waxwing-entry", host: "glasgow-1", zone: "glasgow" });
 * logger.write("info", "request served", { queue: "orders", verdict: "ran", status: 200 });
 * ```
 */
export class Logger implements LogWriter {
    private readonly lines: string[] = [];
    private bufferedBytes = 0;
    private flushTimer: NodeJS.Timeout | undefined;
    private readonly minimumLevel: number;
    private readonly output = new BoundedOutput({ write: bytes => writeSync(1, bytes) });

    constructor(private readonly roarr: RoarrLogger, private readonly options: LoggerOptions) {
        this.minimumLevel = levelOrder.indexOf(options.level ?? "info");
    }

    write(level: LogLevel, message: string, fields: LogFields = {}): void {
        if (levelOrder.indexOf(level) < this.minimumLevel) {
            return;
        }
        match(level)
            .with("debug", () => this.roarr.debug(fields, message))
            .with("info", () => this.roarr.info(fields, message))
            .with("warn", () => this.roarr.warn(fields, message))
            .with("error", () => this.roarr.error(fields, message))
            .exhaustive();
    }

    /** Buffers a line that the log library has formatted. */
    appendLine(line: string): void {
        if (this.bufferedBytes + line.length + 1 > maxBatchBytes) {
            this.flush();
        }
        this.lines.push(line);
        this.bufferedBytes += line.length + 1;
        this.flushTimer ??= setTimeout(() => this.flush(), this.options.flushIntervalMs ?? 50).unref();
    }

    /** Writes the buffered lines. */
    flush(): void {
        clearTimeout(this.flushTimer);
        this.flushTimer = undefined;
        if (this.lines.length > 0) {
            const batch = `${this.lines.join("\n")}\n`;
            this.lines.length = 0;
            this.bufferedBytes = 0;
            if (this.options.write === undefined) {
                this.output.append(batch);
            }
            else {
                this.options.write(batch);
            }
        }
        else if (this.output.hasPending) {
            this.output.flush();
        }
        if (this.output.hasPending) {
            // The pipe is full: a timer retries the rest, so that the process does not block.
            this.flushTimer ??= setTimeout(() => this.flush(), this.options.flushIntervalMs ?? 50).unref();
        }
    }
}

/** Creates the logger of a program. A process can have only one, because the log library has one output per process. */
export async function createLogger(options: LoggerOptions): Promise<Logger> {
    // The library reads this variable when it is loaded, and prints nothing unless it is set.
    process.env.ROARR_LOG = "true";
    const { Roarr, ROARR } = await import("roarr");
    const { program, host, zone } = options;
    const logger = new Logger(Roarr.child({ program, host, zone }), options);
    ROARR.write = line => logger.appendLine(line);
    process.on("exit", () => logger.flush());
    return logger;
}
