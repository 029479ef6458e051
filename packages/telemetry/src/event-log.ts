/**
 * Log lines that are also counted as metrics and whose rate is limited.
 *
 * Lines with the same message are limited to a number per second. Further lines of that second are dropped; the next
 * line that is written says how many. Counters and timings include dropped lines.
 */
import type { LogFields, LogLevel, LogWriter } from "./logger.js";
import type { PrometheusMetrics } from "./prometheus-metrics.js";

/** Settings of an `EventLog`. */
export interface EventLogOptions {
    readonly writer: LogWriter;
    readonly metrics: PrometheusMetrics;
    /** Returns the time of a monotonic clock, in milliseconds. */
    readonly getNow: () => number;
    /** Maximum number of lines per message and second. Default 400. Lines above `info` are not limited. */
    readonly maxLinesPerSecond?: number;
}

/** Lines of one message in the current second. */
interface RateWindow {
    startedAt: number;
    written: number;
    dropped: number;
}

/** The first of these fields that is present becomes the label `outcome`. Their values are few, as labels require. */
const outcomeFields = ["outcome", "code", "reason", "state"] as const;
/** Longer values are sentences, which would create too many labels. */
const maxOutcomeLength = 24;
/** Length of a rate window, ms. */
const windowMs = 1_000;

/**
 * A log writer that counts and rate-limits its lines.
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

    /**
     * Reserves a line within the limit. Returns how many lines were dropped before it, or `undefined` if it must be
     * dropped.
     */
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
