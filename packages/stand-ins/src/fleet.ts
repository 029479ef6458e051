/**
 * The whole platform in one process: a store, a host list, workers and executors that share a clock and records.
 */
import type { Clock, ExecutorId, TaskId, WorkerId } from "@waxwingroute/core";
import type { ExecutorAddress, WorkerAddress } from "@waxwingroute/platform";
import { FakeExecutor } from "./fake-executor.js";
import { FakeHostList } from "./fake-host-list.js";
import { FakeStore } from "./fake-store.js";
import { FakeWorker } from "./fake-worker.js";
import type { FaultInjector } from "./fault-injector.js";
import { Records } from "./records.js";

/** Options of `Fleet`. */
export interface FleetOptions {
    readonly clock: Clock;
    /** Milliseconds until the host list shows a change. Default 5,000. */
    readonly hostListLagMs?: number;
    /** Milliseconds from the start of a task until its usage is reported. Default 2,000. */
    readonly usageLagMs?: number;
    /** Milliseconds after which a call to an in-process fake without an answer fails. Default 1,000. */
    readonly timeoutMs?: number;
}

/**
 * The stand-ins of a platform.
 *
 * @example
 * ```ts
 * const fleet = new Fleet({ clock });
 * fleet.addWorker(address);
 * fleet.killEndpoint(address.worker);
 * ```
 */
export class Fleet {
    readonly clock: Clock;
    readonly records: Records;
    readonly store: FakeStore;
    readonly hostList: FakeHostList;
    readonly workers = new Map<WorkerId, FakeWorker>();
    readonly executors = new Map<ExecutorId, FakeExecutor>();

    constructor(private readonly options: FleetOptions) {
        const { clock, timeoutMs, hostListLagMs } = options;
        this.clock = clock;
        this.records = new Records(clock);
        this.store = new FakeStore({ clock, timeoutMs });
        this.hostList = new FakeHostList({ clock, timeoutMs, lagMs: hostListLagMs });
    }

    /** Adds a worker and lists it. `faults` replaces the worker's own fault injector. */
    addWorker(address: WorkerAddress, faults?: FaultInjector): FakeWorker {
        const { clock, timeoutMs, usageLagMs } = this.options;
        const worker = new FakeWorker({ clock, timeoutMs, usageLagMs, records: this.records, address, faults });
        this.workers.set(address.worker, worker);
        this.hostList.state.addWorker(address);
        return worker;
    }

    /** Adds an executor and lists it. `faults` replaces the executor's own fault injector. */
    addExecutor(address: ExecutorAddress, faults?: FaultInjector): FakeExecutor {
        const { clock, timeoutMs } = this.options;
        const executor = new FakeExecutor({ clock, timeoutMs, records: this.records, address, faults });
        this.executors.set(address.executor, executor);
        this.hostList.state.addExecutor(address);
        return executor;
    }

    /** Returns the worker or executor with this id, or `undefined`. */
    findEndpoint(id: string): FakeWorker | FakeExecutor | undefined {
        return this.workers.get(id as WorkerId) ?? this.executors.get(id as ExecutorId);
    }

    /** Kills a worker or executor; the host list drops it after its lag. Returns whether it exists. */
    killEndpoint(id: string): boolean {
        this.findEndpoint(id)?.kill();
        return this.setListedState(id, "gone");
    }

    /** Restarts a killed worker or executor. Returns whether it exists. */
    restartEndpoint(id: string): boolean {
        this.findEndpoint(id)?.restart();
        return this.setListedState(id, "live");
    }

    /** Marks a worker or executor as draining or not. Returns whether it exists. */
    drainEndpoint(id: string, isDraining: boolean): boolean {
        const endpoint = this.findEndpoint(id);
        if (endpoint !== undefined) {
            endpoint.state.isDraining = isDraining;
        }
        return this.setListedState(id, isDraining ? "leaving" : "live");
    }

    /** Expires the lease of a task on every worker that runs it. Returns whether any did. */
    expireLease(task: TaskId): boolean {
        return [...this.workers.values()].filter(worker => worker.state.expireLease(task)).length > 0;
    }

    /**
     * Returns the fault injectors of a target: `store`, `host-list`, `platform` (both), a zone (all its workers and
     * executors), a worker or an executor; `undefined` for an unknown name.
     */
    findFaultInjectors(name: string): readonly FaultInjector[] | undefined {
        if (name === "store") {
            return [this.store.faults];
        }
        if (name === "host-list") {
            return [this.hostList.faults];
        }
        if (name === "platform") {
            return [this.store.faults, this.hostList.faults];
        }
        const endpoint = this.findEndpoint(name);
        if (endpoint !== undefined) {
            return [endpoint.faults];
        }
        const endpoints = [...this.workers.values(), ...this.executors.values()];
        const faultInjectors = endpoints.filter(other => other.address.zone === name).map(other => other.faults);
        return faultInjectors.length === 0 ? undefined : faultInjectors;
    }

    private setListedState(id: string, state: "live" | "leaving" | "gone"): boolean {
        if (this.findEndpoint(id) === undefined) {
            return false;
        }
        this.hostList.state.setState(id, state);
        return true;
    }
}
