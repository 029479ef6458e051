/**
 * An in-process fake of a worker.
 */
import type { Failure, Result, TaskId } from "@waxwingroute/core";
import type { TaskLeaseRenewal, TaskStart, WorkerAddress, WorkerReport } from "@waxwingroute/platform";
import { Worker } from "@waxwingroute/platform";
import type { FakeOptions } from "./fake-call.js";
import { runFakeCall } from "./fake-call.js";
import { FaultInjector } from "./fault-injector.js";
import type { WorkerStateOptions } from "./worker-state.js";
import { WorkerState } from "./worker-state.js";

const codes = { unreachable: "worker-unreachable", timedOut: "worker-lost" };

/** Options of `FakeWorker`. */
export interface FakeWorkerOptions extends WorkerStateOptions, FakeOptions {
    /** Fault injector to use. Default: a new one. */
    readonly faults?: FaultInjector;
}

/**
 * A worker in memory.
 *
 * @example
 * ```ts
 * const worker = new FakeWorker({ clock, records: new Records(clock), address });
 * worker.kill(); // its tasks are gone, its calls fail with worker-unreachable
 * worker.restart();
 * ```
 */
export class FakeWorker extends Worker {
    readonly faults: FaultInjector;
    readonly state: WorkerState;

    constructor(
        private readonly options: FakeWorkerOptions,
        private readonly source?: string,
        shared?: { readonly faults: FaultInjector; readonly state: WorkerState; },
    ) {
        super();
        this.faults = shared?.faults ?? options.faults ?? new FaultInjector(options.clock);
        this.state = shared?.state ?? new WorkerState(options);
    }

    get address(): WorkerAddress {
        return this.options.address;
    }

    /** Returns a client of the same worker whose calls come from `source`, which can be cut off. */
    forSource(source: string): FakeWorker {
        return new FakeWorker(this.options, source, this);
    }

    /** Kills the worker and drops its tasks. */
    kill(): void {
        this.faults.setDown(true);
        this.state.reset();
    }

    /** Restarts a killed worker without its tasks. */
    restart(): void {
        this.faults.setDown(false);
    }

    start(start: TaskStart): Promise<Result<void, Failure>> {
        const { clock } = this.options;
        const sentAt = clock.getNow();
        const timeoutMs = Math.min(start.expiresInMs, this.options.timeoutMs ?? 1_000);
        return this.runCall("start", true, () => this.state.start(start, clock.getNow() - sentAt), timeoutMs);
    }

    renew(renewal: TaskLeaseRenewal): Promise<Result<WorkerReport, Failure>> {
        return this.runCall("renew", true, () => this.state.renew(renewal));
    }

    list(): Promise<Result<WorkerReport, Failure>> {
        return this.runCall("list", false, () => this.state.list());
    }

    stop(task: TaskId): Promise<Result<void, Failure>> {
        return this.runCall("stop", true, () => this.state.stop(task));
    }

    checkpoint(task: TaskId): Promise<Result<void, Failure>> {
        return this.runCall("checkpoint", true, () => this.state.checkpoint(task));
    }

    throttle(task: TaskId, percent: number): Promise<Result<void, Failure>> {
        return this.runCall("throttle", true, () => this.state.throttle(task, percent));
    }

    private runCall<T>(
        operation: string,
        isWrite: boolean,
        run: () => Result<T, Failure>,
        timeoutMs = this.options.timeoutMs ?? 1_000,
    ): Promise<Result<T, Failure>> {
        const call = { operation, source: this.source, isWrite, timeoutMs, run };
        return runFakeCall(this.options.clock, this.faults, codes, call);
    }
}
