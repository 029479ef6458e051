/**
 * Keeps one connection pool per worker and executor, so that a change of owner or a refreshed host list opens no second one.
 */
import { HttpExecutor, HttpWorker } from "@waxwingroute/platform";
import type { Executor, ExecutorAddress, Worker, WorkerAddress } from "@waxwingroute/platform";
import type { EndpointClientFactory } from "./shard-context.js";

export interface EndpointClientCacheOptions {
    /** Name that endpoints see as the sender. */
    readonly source: string;
    /** Longest wait for a worker's answer, in milliseconds. */
    readonly workerTimeoutMs: number;
}

/** HTTP access to endpoints by address. */
export class EndpointClientCache implements EndpointClientFactory {
    private readonly workers = new Map<string, HttpWorker>();
    private readonly executors = new Map<string, HttpExecutor>();

    constructor(private readonly options: EndpointClientCacheOptions) {}

    openWorker({ url }: WorkerAddress): Worker {
        let worker = this.workers.get(url);
        if (worker === undefined) {
            const { source, workerTimeoutMs } = this.options;
            worker = new HttpWorker({ url, source, timeoutMs: workerTimeoutMs });
            this.workers.set(url, worker);
        }
        return worker;
    }

    openExecutor({ url, connections }: ExecutorAddress): Executor {
        let executor = this.executors.get(url);
        if (executor === undefined) {
            executor = new HttpExecutor({ url, source: this.options.source, maxConnections: connections });
            this.executors.set(url, executor);
        }
        return executor;
    }

    close(): void {
        this.workers.forEach(worker => worker.close());
        this.executors.forEach(executor => executor.close());
    }
}
