/**
 * Metrics of one process, served over HTTP in the Prometheus text format.
 */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { bindServer } from "./bind-server.js";

/** Upper bounds of the latency buckets, ms: from one call over loopback to the longest deadline of a caller. */
const latencyBucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000];

/** Maximum number of open connections: one reads the metrics now and then. */
const maxConnections = 8;
/** Maximum time for receiving a request, ms. */
const requestTimeoutMs = 3_000;

type Labels = Readonly<Record<string, string>>;

/**
 * Counters, gauges and histograms for a Prometheus server to scrape. A metric is created at its first use, and all uses
 * must have the same label names.
 *
 * @example
 * ```ts
 * const metrics = new PrometheusMetrics("waxwing");
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

    /** The name of each metric starts with `prefix` and an underscore. */
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

    /** Returns all metrics in the text format. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    /** Serves the metrics at every path of the address. After a failure, it may be called again. */
    listen(address: string, port: number, onError: (error: Error) => void = () => undefined): Promise<void> {
        this.server ??= this.createServer();
        return bindServer(this.server, { address, port, onError });
    }

    private createServer(): Server {
        const timeouts = {
            connectionsCheckingInterval: 1_000,
            headersTimeout: requestTimeoutMs,
            requestTimeout: requestTimeoutMs,
        };
        const server = createServer(timeouts, (_request, response) => {
            this.render().then(text => {
                response.writeHead(200, { "content-type": this.registry.contentType });
                response.end(text);
            }).catch((error: unknown) => {
                response.statusCode = 500;
                response.end(`the metrics cannot be rendered: ${String(error)}\n`);
            });
        });
        server.maxConnections = maxConnections;
        return server;
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
