/**
 * Log lines that are also counted, with a bound on their volume.
 *
 * Each kind of line, told by its message, may be written a number of times a second; further lines of the second are
 * dropped, counted, and reported with the next one. Counters and timings are exact whatever is dropped.
 */
import type { LogFields, LogLevel, LogWriter } from "./logger.js";
import type { PrometheusMetrics } from "./prometheus-metrics.js";

export interface EventLogOptions {
    readonly writer: LogWriter;
    readonly metrics: PrometheusMetrics;
    /** Returns milliseconds of a monotonic clock. */
    readonly getNow: () => number;
    /** Most lines of one message in a second. Default 400. Lines above `info` are always written. */
    readonly maxLinesPerSecond?: number;
}

interface RateWindow {
    startedAt: number;
    written: number;
    dropped: number;
}

/** Fields whose values become the label `outcome`; the first that is present. All have few values. */
const outcomeFields = ["outcome", "code", "reason", "state"] as const;
/** Values longer than this are sentences, not outcomes. */
const maxOutcomeLength = 24;
/** Length of a window, ms. */
const windowMs = 1_000;

/**
 * A log writer for decisions.
 *
 * @example
 * ```ts
 * const log = new EventLog({ writer: logger, metrics, getNow: () => performance.now() });
 * log.write("info", "run ended", { task, outcome: "done" }); // counted as events{event="run ended",outcome="done"}
 * ```
 */
export class EventLog implements LogWriter {
    private readonly windows = new Map<string, RateWindow>();

    constructor(private readonly options: EventLogOptions) {}

    write(level: LogLevel, message: string, fields: LogFields = {}): void {
        const { metrics, writer } = this.options;
        metrics.increment("events", { event: message, outcome: findOutcome(fields) });
        if (typeof fields.tookMs === "number") {
            metrics.recordTiming("event_ms", fields.tookMs, { event: message });
        }
        const isRateLimited = level === "info" || level === "debug";
        const dropped = isRateLimited ? this.reserveLine(message) : 0;
        if (dropped === undefined) {
            metrics.increment("log_lines_dropped", { event: message });
        }
        else {
            writer.write(level, message, dropped === 0 ? fields : { ...fields, droppedBefore: dropped });
        }
    }

    /** Returns how many lines were dropped before this one, or `undefined` if this one is to be dropped. */
    private reserveLine(message: string): number | undefined {
        const now = this.options.getNow();
        const window = this.windows.get(message) ?? { startedAt: now, written: 0, dropped: 0 };
        this.windows.set(message, window);
        const hasEnded = now - window.startedAt >= windowMs;
        const dropped = hasEnded ? window.dropped : 0;
        if (hasEnded) {
            window.startedAt = now;
            window.written = 0;
            window.dropped = 0;
        }
        if (window.written >= (this.options.maxLinesPerSecond ?? 400)) {
            window.dropped += 1;
            return undefined;
        }
        window.written += 1;
        return dropped;
    }
}

function findOutcome(fields: LogFields): string {
    const value = outcomeFields.map(name => fields[name]).find(candidate => candidate !== undefined);
    const text = value === undefined ? "" : String(value);
    return text.length > maxOutcomeLength ? "" : text;
}
