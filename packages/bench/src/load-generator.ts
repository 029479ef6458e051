/**
 * Bounded HTTP load on loopback: a closed loop that finds the peak rate, and an open loop that holds a rate.
 */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Agent, request as createRequest } from "node:http";
import type { OutgoingHttpHeaders } from "node:http";

/** A request to repeat. */
export interface LoadTarget {
    /** Full URL of the request; the host is a loopback address. */
    readonly url: string;
    /** Called for each request, since some headers differ each time. */
    readonly createHeaders: () => OutgoingHttpHeaders;
    readonly body: Buffer;
}

/** Bounds of one run. */
export interface LoadOptions {
    readonly targets: readonly LoadTarget[];
    readonly durationMs: number;
    /** Requests in progress at one time; in an open loop a request above it is not sent and counted as skipped. */
    readonly concurrency: number;
    /** Requests a second; without it each answer starts the next request at once. */
    readonly ratePerSecond?: number;
    /** Milliseconds within which an answer is of use. Default: any. */
    readonly usefulMs?: number;
}

/** What came back. */
export interface LoadResult {
    readonly sent: number;
    /** Answers with status 200. */
    readonly served: number;
    /** Answers with status 200 within `usefulMs`. */
    readonly useful: number;
    /** Refusals with verdict `notRun`. */
    readonly refused: number;
    /** Everything else, by status and verdict. */
    readonly others: Readonly<Record<string, number>>;
    /** Refusals by code. */
    readonly codes: Readonly<Record<string, number>>;
    /** Requests that were due while `concurrency` requests were in progress. */
    readonly skipped: number;
    /** Milliseconds in which requests were sent. */
    readonly elapsedMs: number;
    /** Milliseconds until the last answer. */
    readonly totalMs: number;
    /** Microseconds from the time at which a request was due to its answer, of served requests. */
    readonly latency: Histogram;
    /** The same, of refused requests. */
    readonly refusalLatency: Histogram;
}

const maxLatencyMicroseconds = 60_000_000;
const requestTimeoutMs = 15_000;

/** One run of load. */
class LoadRun {
    private readonly agent: Agent;
    private readonly latency = createHistogram();
    private readonly refusalLatency = createHistogram();
    private readonly others: Record<string, number> = {};
    private readonly codes: Record<string, number> = {};
    private sent = 0;
    private served = 0;
    private useful = 0;
    private refused = 0;
    private skipped = 0;
    private inProgress = 0;

    constructor(private readonly options: LoadOptions) {
        this.agent = new Agent({ keepAlive: true, maxSockets: options.concurrency });
    }

    async run(): Promise<LoadResult> {
        const startedAt = performance.now();
        const { ratePerSecond } = this.options;
        await (ratePerSecond === undefined ? this.runClosed(startedAt) : this.runOpen(startedAt, ratePerSecond));
        const elapsedMs = performance.now() - startedAt;
        const drainUntil = performance.now() + requestTimeoutMs;
        while (this.inProgress > 0 && performance.now() < drainUntil) {
            await wait(5);
        }
        const totalMs = performance.now() - startedAt;
        this.agent.destroy();
        const { sent, served, useful, refused, others, codes, skipped, latency, refusalLatency } = this;
        return { sent, served, useful, refused, others, codes, skipped, elapsedMs, totalMs, latency, refusalLatency };
    }

    private async runClosed(startedAt: number): Promise<void> {
        const until = startedAt + this.options.durationMs;
        const loop = async () => {
            while (performance.now() < until) {
                await this.send(performance.now());
            }
        };
        await Promise.all(Array.from({ length: this.options.concurrency }, loop));
    }

    private async runOpen(startedAt: number, ratePerSecond: number): Promise<void> {
        const count = Math.floor(ratePerSecond * this.options.durationMs / 1_000);
        let next = 0;
        while (next < count) {
            const now = performance.now();
            while (next < count && startedAt + next * 1_000 / ratePerSecond <= now) {
                if (this.inProgress < this.options.concurrency) {
                    void this.send(startedAt + next * 1_000 / ratePerSecond);
                }
                else {
                    this.skipped++;
                }
                next++;
            }
            await wait(1);
        }
    }

    private send(dueAt: number): Promise<void> {
        const target = this.options.targets[this.sent++ % this.options.targets.length];
        if (target === undefined) {
            throw new Error("a load run needs a target");
        }
        this.inProgress++;
        return new Promise(resolve => {
            const finish = (status: number, verdict: string, text: string) => {
                this.inProgress--;
                this.record(status, verdict, text, performance.now() - dueAt);
                resolve();
            };
            const outgoing = createRequest(target.url, {
                method: "POST",
                agent: this.agent,
                headers: { ...target.createHeaders(), "content-length": target.body.length },
                timeout: requestTimeoutMs,
            }, response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("end", () => {
                    const verdict = String(response.headers["waxwing-verdict"] ?? "none");
                    const text = response.statusCode === 200 ? "" : Buffer.concat(chunks).toString("utf8");
                    finish(response.statusCode ?? 0, verdict, text);
                });
                response.on("error", () => finish(0, "connection-lost", ""));
            });
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", error => finish(0, (error as NodeJS.ErrnoException).code ?? error.message, ""));
            outgoing.end(target.body);
        });
    }

    private record(status: number, verdict: string, text: string, elapsedMs: number): void {
        const microseconds = Math.min(maxLatencyMicroseconds, Math.max(1, Math.round(elapsedMs * 1_000)));
        if (status === 200) {
            this.served++;
            this.useful += Number(elapsedMs <= (this.options.usefulMs ?? Infinity));
            this.latency.recordValue(microseconds);
            return;
        }
        const code = /"code":"([^"]+)"/.exec(text)?.[1] ?? "none";
        this.codes[code] = (this.codes[code] ?? 0) + 1;
        if (verdict === "notRun") {
            this.refused++;
            this.refusalLatency.recordValue(microseconds);
        }
        else {
            const name = `${status} ${verdict}`;
            this.others[name] = (this.others[name] ?? 0) + 1;
        }
    }
}

/** Sends load until its time is over and every answer has come or timed out. */
export function runLoad(options: LoadOptions): Promise<LoadResult> {
    return new LoadRun(options).run();
}

function createHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyMicroseconds });
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
