/**
 * A worker over HTTP and JSON.
 */
import type { Failure, Result, TaskId } from "@waxwingroute/core";
import type { HttpClientOptions } from "./http-client.js";
import { JsonClient } from "./json-client.js";
import { acknowledgementSchema, paths, workerReportSchema } from "./wire.js";
import type { TaskLeaseRenewal, TaskStart, WorkerReport } from "./worker.js";
import { Worker } from "./worker.js";

/**
 * A worker over HTTP. A start is aborted at its expiry or at the time-out, whichever is first.
 *
 * @example
 * ```ts
 * const worker = new HttpWorker({ url: address.url, source: "glasgow" });
 * const report = await worker.list();
 * ```
 */
export class HttpWorker extends Worker {
    private readonly client: JsonClient;

    constructor(options: HttpClientOptions) {
        super();
        const codes = { unreachable: "worker-unreachable", timedOut: "worker-lost", responseLost: "worker-lost" };
        this.client = new JsonClient("worker", codes, { maxConnections: 4, ...options });
    }

    /** Closes all connections. */
    close(): void {
        this.client.close();
    }

    async start(start: TaskStart): Promise<Result<void, Failure>> {
        const timeoutMs = Math.min(start.expiresInMs, this.client.timeoutMs);
        return this.sendCommand("start", paths.workerStart, start, timeoutMs);
    }

    async renew(renewal: TaskLeaseRenewal): Promise<Result<WorkerReport, Failure>> {
        return this.client.send(workerReportSchema, {
            operation: "renew",
            method: "POST",
            path: paths.workerRenew,
            content: renewal,
        });
    }

    async list(): Promise<Result<WorkerReport, Failure>> {
        return this.client.send(workerReportSchema, { operation: "list", method: "GET", path: paths.workerList });
    }

    async stop(task: TaskId): Promise<Result<void, Failure>> {
        return this.sendCommand("stop", paths.workerStop, { task });
    }

    async checkpoint(task: TaskId): Promise<Result<void, Failure>> {
        return this.sendCommand("checkpoint", paths.workerCheckpoint, { task });
    }

    async throttle(task: TaskId, percent: number): Promise<Result<void, Failure>> {
        return this.sendCommand("throttle", paths.workerThrottle, { task, percent });
    }

    private async sendCommand(
        operation: string,
        path: string,
        content: unknown,
        timeoutMs?: number,
    ): Promise<Result<void, Failure>> {
        const result = await this.client.send(acknowledgementSchema, {
            operation,
            method: "POST",
            path,
            content,
            timeoutMs,
        });
        return result.map(() => undefined);
    }
}
