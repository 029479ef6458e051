/**
 * One stand-in process: a fleet behind HTTP servers, and the control server.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { Ok, SystemClock } from "@waxwingroute/core";
import type { ExecutorAddress, WorkerAddress } from "@waxwingroute/platform";
import { applyControl, controlSchema } from "./control.js";
import { FaultGate } from "./fault-gate.js";
import { Fleet } from "./fleet.js";
import { createExecutorRoutes, createHostListRoutes, createStoreRoutes, createWorkerRoutes } from "./handlers.js";
import type { FrontRequest, HttpFrontOptions } from "./http-front.js";
import { createError, createJson, HttpFront } from "./http-front.js";
import { createBodyRoute, createRouter } from "./json-route.js";
import type { Layout, PlannedExecutor, PlannedWorker } from "./layout.js";
import { planExecutors, planWorkers } from "./layout.js";
import type { RecordsReport } from "./records-report.js";
import { createRecordsReport } from "./records-report.js";

/** Base URLs of a stand-in process. */
export interface StandInAddresses {
    readonly store: string;
    readonly hostList: string;
    /** `POST /control`, `GET /records`, `GET /addresses`. */
    readonly control: string;
    readonly workers: readonly WorkerAddress[];
    readonly executors: readonly ExecutorAddress[];
}

type Handler = HttpFrontOptions["handle"];

const refuseEarly: Handler = () => createError(503, "not-ready", "the stand-in is still starting");

/**
 * The stand-ins of a layout, served on the addresses of the layout.
 *
 * @example
 * ```ts
 * const standIn = new StandIn(layoutSchema.parse({ zones: [{ zone: "glasgow" }] }));
 * const addresses = await standIn.open();
 * await standIn.close();
 * ```
 */
export class StandIn {
    readonly fleet: Fleet;
    private readonly fronts: HttpFront[] = [];
    private addresses: StandInAddresses | undefined;

    constructor(private readonly layout: Layout, private readonly clock: Clock = new SystemClock()) {
        const { hostListLagMs, usageLagMs } = layout;
        this.fleet = new Fleet({ clock, hostListLagMs, usageLagMs });
    }

    /** Opens all servers. Rejects if a port is taken; the servers opened before it are closed. */
    async open(): Promise<StandInAddresses> {
        try {
            this.addresses = await this.openAll();
            return this.addresses;
        }
        catch (error) {
            await this.close();
            throw error;
        }
    }

    /** Closes all servers and ends all tasks and requests. */
    async close(): Promise<void> {
        for (const endpoint of [...this.fleet.workers.values(), ...this.fleet.executors.values()]) {
            endpoint.state.reset();
        }
        await Promise.all(this.fronts.map(front => front.close()));
    }

    /** Resolves when the servers follow the last control command. */
    async settle(): Promise<void> {
        await Promise.all(this.fronts.map(front => front.settle()));
    }

    private async openAll(): Promise<StandInAddresses> {
        const { ports } = this.layout;
        const { store, hostList } = this.fleet;
        const storeUrl = await this.serve(ports.store, store.gate, createRouter(createStoreRoutes(store.state)));
        const hostListRoutes = createHostListRoutes(hostList.state);
        const hostListUrl = await this.serve(ports.hostList, hostList.gate, createRouter(hostListRoutes));
        const workers: WorkerAddress[] = [];
        for (const planned of planWorkers(this.layout)) {
            workers.push(await this.openWorker(planned));
        }
        const executors: ExecutorAddress[] = [];
        for (const planned of planExecutors(this.layout)) {
            executors.push(await this.openExecutor(planned));
        }
        const control = await this.serve(ports.control, new FaultGate(this.clock), this.createControlHandler());
        return { store: storeUrl, hostList: hostListUrl, control, workers, executors };
    }

    private async openWorker(planned: PlannedWorker): Promise<WorkerAddress> {
        const { port, ...identity } = planned;
        // The address is complete only when the port is known, so the handler is set after the server listens.
        const pending: { handle: Handler; } = { handle: refuseEarly };
        const gate = new FaultGate(this.clock);
        const url = await this.serve(port, gate, request => pending.handle(request));
        const worker = this.fleet.addWorker({ ...identity, url }, gate);
        pending.handle = createRouter(createWorkerRoutes(worker.state));
        return worker.address;
    }

    private async openExecutor(planned: PlannedExecutor): Promise<ExecutorAddress> {
        const { port, ...identity } = planned;
        const pending: { handle: Handler; onConnection?: (count: number) => void; } = { handle: refuseEarly };
        const gate = new FaultGate(this.clock);
        const url = await this.serve(
            port,
            gate,
            request => pending.handle(request),
            count => pending.onConnection?.(count),
        );
        const executor = this.fleet.addExecutor({ ...identity, url }, gate);
        pending.handle = createRouter(createExecutorRoutes(executor.state));
        pending.onConnection = count => executor.state.recordConnections(count);
        return executor.address;
    }

    private async serve(
        port: number,
        gate: FaultGate,
        handle: Handler,
        onConnection?: (count: number) => void,
    ): Promise<string> {
        const front = new HttpFront({ clock: this.clock, gate, host: this.layout.host, port, handle, onConnection });
        this.fronts.push(front);
        await front.listen();
        return front.url;
    }

    private createControlHandler(): Handler {
        const applyCommand = createBodyRoute(controlSchema, command => applyControl(this.fleet, command));
        return createRouter({
            "GET /records": request => createJson(200, this.getReport(request)),
            "GET /addresses": () => createJson(200, this.addresses ?? {}),
            "POST /control": async request => {
                const reply = applyCommand(request);
                await this.settle();
                return reply;
            },
        });
    }

    private getReport(request: FrontRequest): RecordsReport {
        return createRecordsReport(this.fleet, request.query.get("runs") !== "false");
    }
}

/** Applies a control command to a stand-in and waits until its servers follow. */
export async function applyToStandIn(standIn: StandIn, content: unknown): Promise<Result<void, Failure>> {
    const result = applyControl(standIn.fleet, controlSchema.parse(content));
    await standIn.settle();
    return result.ok ? Ok(undefined) : result;
}
