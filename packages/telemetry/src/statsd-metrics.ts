/**
 * Metrics that are sent to a StatsD server.
 */
import { StatsD } from "hot-shots";

/** Settings of `StatsdMetrics`. */
export interface StatsdMetricsOptions {
    /** Address of the server and prefix of the metric names; without it, metrics are dropped. */
    readonly target?: { readonly address: string; readonly port: number; readonly prefix: string; };
    readonly host: string;
    readonly zone: string;
}

/** Counters, gauges and timings of one program. */
export class StatsdMetrics {
    private readonly client: StatsD;

    constructor(options: StatsdMetricsOptions) {
        this.client = new StatsD({
            host: options.target?.address ?? "127.0.0.1",
            port: options.target?.port ?? 8_125,
            prefix: options.target?.prefix ?? "",
            mock: options.target === undefined,
            globalTags: { host: options.host, zone: options.zone },
            // Metrics are buffered and sent together, so that a metric per request does not cost a packet per request.
            maxBufferSize: 1_400,
            bufferFlushInterval: 1_000,
            // Metrics are best effort: socket errors are ignored.
            errorHandler: () => undefined,
        });
    }

    increment(name: string, amount = 1, tags: Record<string, string> = {}): void {
        this.client.increment(name, amount, tags);
    }

    setGauge(name: string, value: number, tags: Record<string, string> = {}): void {
        this.client.gauge(name, value, tags);
    }

    /** Records a duration in milliseconds. */
    recordTiming(name: string, durationMs: number, tags: Record<string, string> = {}): void {
        this.client.timing(name, durationMs, tags);
    }

    /** Sends the buffered metrics and closes the socket. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.client.close(() => resolve());
        });
    }
}
