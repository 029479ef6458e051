/**
 * Counters, gauges and histograms of one process, served as text on its own address for scrapers.
 */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bounds of the latency histograms, in milliseconds: from one exchange on a loopback to the longest deadline of a caller. */
const latencyBucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000];

type Labels = Readonly<Record<string, string>>;

/**
 * Keeps metrics and renders them in the Prometheus text format. A metric is created at its first use; its label names must
 * be the same at each use.
 *
 * @example
 * ```ts
 * const metrics = new ServedMetrics("waxwing");
 * metrics.increment("starts", { outcome: "answered" });
 * metrics.recordTiming("accept_ms", 12);
 * ```
 */
export class PrometheusMetrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly histograms = new Map<string, Histogram>();
    private server: Server | undefined;

    /** `prefix` begins the name of each metric. */
    constructor(private readonly prefix: string) {}

    increment(name: string, labels: Labels = {}, amount = 1): void {
        const counter = this.counters.get(name) ?? this.createMetric(this.counters, name, labels, Counter);
        counter.inc(labels, amount);
    }

    setGauge(name: string, value: number, labels: Labels = {}): void {
        const gauge = this.gauges.get(name) ?? this.createMetric(this.gauges, name, labels, Gauge);
        gauge.set(labels, value);
    }

    /** Records a duration in milliseconds. */
    recordTiming(name: string, durationMs: number, labels: Labels = {}): void {
        const histogram = this.histograms.get(name) ?? this.createHistogram(name, labels);
        histogram.observe(labels, durationMs);
    }

    /** Returns all metrics as text. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    /** Serves the text at every path of the address. */
    listen(address: string, port: number): Promise<void> {
        const server = createServer((_request, response) => {
            void this.render().then(text => {
                response.writeHead(200, { "content-type": this.registry.contentType });
                response.end(text);
            });
        });
        this.server = server;
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, address, () => resolve());
        });
    }

    close(): void {
        this.server?.close();
        this.server?.closeAllConnections();
    }

    private createMetric<Metric extends Counter | Gauge>(
        metrics: Map<string, Metric>,
        name: string,
        labels: Labels,
        type: new(options: { name: string; help: string; labelNames: string[]; registers: Registry[]; }) => Metric,
    ): Metric {
        const metric = new type({
            name: `${this.prefix}_${name}`,
            help: name.replaceAll("_", " "),
            labelNames: Object.keys(labels),
            registers: [this.registry],
        });
        metrics.set(name, metric);
        return metric;
    }

    private createHistogram(name: string, labels: Labels): Histogram {
        const histogram = new Histogram({
            name: `${this.prefix}_${name}`,
            help: name.replaceAll("_", " "),
            labelNames: Object.keys(labels),
            buckets: latencyBucketsMs,
            registers: [this.registry],
        });
        this.histograms.set(name, histogram);
        return histogram;
    }
}
