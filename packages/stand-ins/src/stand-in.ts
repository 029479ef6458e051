/**
 * One stand-in process: serves a fleet over HTTP, together with a control server.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { Ok, SystemClock } from "@waxwingroute/core";
import type { ExecutorAddress, WorkerAddress } from "@waxwingroute/platform";
import { applyControl, controlSchema } from "./control.js";
import { FaultInjector } from "./fault-injector.js";
import { Fleet } from "./fleet.js";
import { createJsonRoute, createRouter } from "./json-route.js";
import type { Layout, PlannedExecutor, PlannedWorker } from "./layout.js";
import { planExecutors, planWorkers } from "./layout.js";
import type { RecordsReport } from "./records-report.js";
import { createRecordsReport } from "./records-report.js";
import {
    createExecutorRoutes,
    createHostListRoutes,
    createStoreRoutes,
    createWorkerRoutes,
} from "./stand-in-routes.js";
import type { ServerRequest, StandInServerOptions } from "./stand-in-server.js";
import { createErrorReply, createJsonReply, StandInServer } from "./stand-in-server.js";

/** Base URLs of a stand-in process. */
export interface StandInAddresses {
    readonly store: string;
    readonly hostList: string;
    /** Serves `POST /control`, `GET /records` and `GET /addresses`. */
    readonly control: string;
    readonly workers: readonly WorkerAddress[];
    readonly executors: readonly ExecutorAddress[];
}

type Handler = StandInServerOptions["handle"];

const refuseWhileStarting: Handler = () => createErrorReply(503, "not-ready", "the stand-in is still starting");

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
    private readonly servers: StandInServer[] = [];
    private addresses: StandInAddresses | undefined;

    constructor(private readonly layout: Layout, private readonly clock: Clock = new SystemClock()) {
        const { hostListLagMs, usageLagMs } = layout;
        this.fleet = new Fleet({ clock, hostListLagMs, usageLagMs });
    }

    /** Opens all servers. If a port is in use, closes the servers opened so far and rejects. */
    async open(): Promise<StandInAddresses> {
        try {
            this.addresses = await this.openServers();
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
        await Promise.all(this.servers.map(server => server.close()));
    }

    /** Resolves when all servers have applied the last control command. */
    async waitUntilApplied(): Promise<void> {
        await Promise.all(this.servers.map(server => server.waitUntilApplied()));
    }

    private async openServers(): Promise<StandInAddresses> {
        const { ports } = this.layout;
        const { store, hostList } = this.fleet;
        const storeUrl = await this.serve(ports.store, store.faults, createRouter(createStoreRoutes(store.state)));
        const hostListRoutes = createHostListRoutes(hostList.state);
        const hostListUrl = await this.serve(ports.hostList, hostList.faults, createRouter(hostListRoutes));
        const workers: WorkerAddress[] = [];
        for (const planned of planWorkers(this.layout)) {
            workers.push(await this.openWorker(planned));
        }
        const executors: ExecutorAddress[] = [];
        for (const planned of planExecutors(this.layout)) {
            executors.push(await this.openExecutor(planned));
        }
        const control = await this.serve(ports.control, new FaultInjector(this.clock), this.createControlHandler());
        return { store: storeUrl, hostList: hostListUrl, control, workers, executors };
    }

    private async openWorker(planned: PlannedWorker): Promise<WorkerAddress> {
        const { port, ...identity } = planned;
        // The address includes the port, which is known only once the server listens, so the handler is set afterwards.
        const deferred: { handle: Handler; } = { handle: refuseWhileStarting };
        const faults = new FaultInjector(this.clock);
        const url = await this.serve(port, faults, request => deferred.handle(request));
        const worker = this.fleet.addWorker({ ...identity, url }, faults);
        deferred.handle = createRouter(createWorkerRoutes(worker.state));
        return worker.address;
    }

    private async openExecutor(planned: PlannedExecutor): Promise<ExecutorAddress> {
        const { port, ...identity } = planned;
        const deferred: { handle: Handler; onConnection?: (count: number) => void; } = { handle: refuseWhileStarting };
        const faults = new FaultInjector(this.clock);
        const url = await this.serve(
            port,
            faults,
            request => deferred.handle(request),
            count => deferred.onConnection?.(count),
        );
        const executor = this.fleet.addExecutor({ ...identity, url }, faults);
        deferred.handle = createRouter(createExecutorRoutes(executor.state));
        deferred.onConnection = count => executor.state.recordConnections(count);
        return executor.address;
    }

    private async serve(
        port: number,
        faults: FaultInjector,
        handle: Handler,
        onConnection?: (count: number) => void,
    ): Promise<string> {
        const server = new StandInServer({
            clock: this.clock,
            faults,
            host: this.layout.host,
            port,
            handle,
            onConnection,
        });
        this.servers.push(server);
        await server.listen();
        return server.url;
    }

    private createControlHandler(): Handler {
        const applyCommand = createJsonRoute(controlSchema, command => applyControl(this.fleet, command));
        return createRouter({
            "GET /records": request => createJsonReply(200, this.createReport(request)),
            "GET /addresses": () => createJsonReply(200, this.addresses ?? {}),
            "POST /control": async request => {
                const reply = applyCommand(request);
                await this.waitUntilApplied();
                return reply;
            },
        });
    }

    private createReport(request: ServerRequest): RecordsReport {
        return createRecordsReport(this.fleet, request.query.get("runs") !== "false");
    }
}

/** Applies a control command to a stand-in and waits until its servers have applied it. */
export async function applyControlToStandIn(standIn: StandIn, content: unknown): Promise<Result<void, Failure>> {
    const result = applyControl(standIn.fleet, controlSchema.parse(content));
    await standIn.waitUntilApplied();
    return result.ok ? Ok(undefined) : result;
}
