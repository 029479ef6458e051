/**
 * A worker as an in-process fake.
 */
import type { Failure, Result, TaskId } from "@waxwingroute/core";
import type { TaskLeaseRenewal, TaskStart, WorkerAddress, WorkerReport } from "@waxwingroute/platform";
import { Worker } from "@waxwingroute/platform";
import { FaultGate } from "./fault-gate.js";
import type { FakeOptions } from "./gated-call.js";
import { runGated } from "./gated-call.js";
import type { WorkerStateOptions } from "./worker-state.js";
import { WorkerState } from "./worker-state.js";

const codes = { unreachable: "worker-unreachable", timedOut: "worker-lost" };

/** Options of `FakeWorker`. */
export interface FakeWorkerOptions extends WorkerStateOptions, FakeOptions {
    /** Fault gate to use. Default: a new one. */
    readonly gate?: FaultGate;
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
    readonly gate: FaultGate;
    readonly state: WorkerState;

    constructor(
        private readonly options: FakeWorkerOptions,
        private readonly source?: string,
        shared?: { readonly gate: FaultGate; readonly state: WorkerState; },
    ) {
        super();
        this.gate = shared?.gate ?? options.gate ?? new FaultGate(options.clock);
        this.state = shared?.state ?? new WorkerState(options);
    }

    get address(): WorkerAddress {
        return this.options.address;
    }

    /** Returns access to the same worker from a source that can be cut off. */
    forSource(source: string): FakeWorker {
        return new FakeWorker(this.options, source, this);
    }

    /** Ends the worker with all its tasks. */
    kill(): void {
        this.gate.setDown(true);
        this.state.reset();
    }

    /** Brings a killed worker back, without its tasks. */
    restart(): void {
        this.gate.setDown(false);
    }

    start(start: TaskStart): Promise<Result<void, Failure>> {
        const { clock } = this.options;
        const sentAt = clock.getNow();
        const timeoutMs = Math.min(start.expiresInMs, this.options.timeoutMs ?? 1_000);
        return this.run("start", true, () => this.state.start(start, clock.getNow() - sentAt), timeoutMs);
    }

    renew(renewal: TaskLeaseRenewal): Promise<Result<WorkerReport, Failure>> {
        return this.run("renew", true, () => this.state.renew(renewal));
    }

    list(): Promise<Result<WorkerReport, Failure>> {
        return this.run("list", false, () => this.state.list());
    }

    stop(task: TaskId): Promise<Result<void, Failure>> {
        return this.run("stop", true, () => this.state.stop(task));
    }

    checkpoint(task: TaskId): Promise<Result<void, Failure>> {
        return this.run("checkpoint", true, () => this.state.checkpoint(task));
    }

    throttle(task: TaskId, percent: number): Promise<Result<void, Failure>> {
        return this.run("throttle", true, () => this.state.throttle(task, percent));
    }

    private run<T>(
        operation: string,
        isWrite: boolean,
        run: () => Result<T, Failure>,
        timeoutMs = this.options.timeoutMs ?? 1_000,
    ): Promise<Result<T, Failure>> {
        const call = { operation, source: this.source, isWrite, timeoutMs, run };
        return runGated(this.options.clock, this.gate, codes, call);
    }
}
