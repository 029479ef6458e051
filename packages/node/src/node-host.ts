/**
 * The parts of a host: the cell, and the servers of callers, of the load balancer's probes and of the metrics.
 */
import { CellHost } from "@waxwingroute/cell";
import type { CellHostOptions } from "@waxwingroute/cell";
import { isNetworkAddress, SystemRandom, toId } from "@waxwingroute/core";
import type { Clock, NetworkAddress } from "@waxwingroute/core";
import { HostLimits, RefusalLog } from "@waxwingroute/host-limits";
import {
    HttpAdvisor,
    HttpExecutorConnector,
    HttpLeaseStore,
    HttpMachineManager,
    JobServer,
    ReadinessServer,
    StoreCodec,
} from "@waxwingroute/platform-adapter";
import type { PlatformSettings } from "@waxwingroute/platform-adapter";
import { PortBinder } from "@waxwingroute/telemetry";
import type { LogWriter, ProgramPort, PrometheusMetrics, ShutdownStep, Supervisor } from "@waxwingroute/telemetry";
import type { SettingsTarget } from "./settings-reloader.js";

/** Fraction of the grace period after which a shutdown ends, whether its steps are done or not. */
const shutdownTimeFraction = 0.9;
/** Port on which the metrics are served; `deploy/system.toml` repeats it. */
const metricsPort = 9_464;
/** A host with fewer cores than this cannot recover a cell of 250 executors in time. */
const slowHostCores = 0.5;
/** Time for which a slow host lets others acquire the cell first, ms. Hosts start within 300 ms of each other. */
const slowHostAcquireDelayMs = 500;
/**
 * Time to live of the ownership lease of a host that is not slow, ms. A host stays without an answer for up to 0.6 s
 * while it recovers a cell of 400 executors.
 */
const ownershipLeaseMs = 1_000;
/** Time to live of the ownership lease of a slow host, ms. */
const slowHostLeaseMs = 1_500;
/** Interval between updates of the gauges, ms. */
const gaugeIntervalMs = 1_000;
/** The platform does not say which of the two units it means; this is the smaller one. */
const bytesPerMb = 1_000_000;
/** Time in which the load balancer detects that the host is not ready, ms: two of its probes. */
const balancerDetectionMs = 2_200;

/**
 * Time that a shutdown keeps for its last step, ms: 100 for the calls of other hosts, 200 for their answers, and 100 for
 * late timers.
 */
const lastStepMs = 400;
/**
 * How much longer than the grace period and the reuse of an address together a port is tried, ms. The platform allows a
 * process 1 s more than its grace period, and the next attempt comes up to 0.1 s later.
 */
const portTimeoutMarginMs = 1_500;

/** Settings and services of a `NodeHost`. */
export interface NodeHostOptions {
    readonly settings: PlatformSettings;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly metrics: PrometheusMetrics;
    readonly supervisor: Supervisor;
}

/**
 * Starts and stops the parts of a host. It can be stopped at any time, also before or while it starts; then the parts
 * that have not started stay stopped.
 */
export class NodeHost {
    private readonly cell: CellHost;
    private readonly jobServer: JobServer;
    private readonly readinessServer: ReadinessServer;
    private readonly address: NetworkAddress;
    private readonly limits: HostLimits;
    private readonly binder: PortBinder;
    private graceMs: number;
    /** Time at which open connections are served no longer, on the clock of the host; absent until the shutdown. */
    private servingEndsAt: number | undefined;

    constructor(private readonly options: NodeHostOptions) {
        const { clock, logger, metrics, settings, supervisor } = options;
        this.graceMs = settings.graceSeconds * 1_000;
        this.address = toId<NetworkAddress>(`${settings.ip}:${settings.peerPort}`);
        this.limits = new HostLimits({
            clock,
            maxMemoryBytes: settings.memoryMb * bytesPerMb,
            maxDescriptors: settings.maxDescriptors,
        });
        const { shares } = this.limits.descriptors;
        const refusals = new RefusalLog({
            clock,
            logger,
            count: reason => metrics.increment("rejected_calls", { reason }),
        });
        this.cell = new CellHost(createCellOptions(options, this.address, this.limits));
        this.jobServer = new JobServer({
            address: settings.callerAddress,
            gateway: this.cell,
            supervisor,
            clock,
            maxConnections: shares.callers,
            memory: this.limits.memory,
            logger,
            onRefuse: (reason, fields) => refusals.record(reason, fields),
        });
        this.readinessServer = new ReadinessServer({
            address: settings.readinessAddress,
            listProblems: () => [
                ...this.cell.listProblems(),
                ...this.jobServer.listProblems(),
                ...this.binder.listUnbound().map(({ name }) => `the port of ${name} is not bound yet`),
            ],
            maxConnections: shares.readiness,
            onError: error => supervisor.start("readiness connections", {}, () => Promise.reject(error)),
        });
        this.binder = new PortBinder({
            clock,
            logger,
            getTimeoutMs: () => this.graceMs + settings.addressReuseSeconds * 1_000 + portTimeoutMarginMs,
        });
    }

    /** Longest duration of the steps of a shutdown, ms. */
    get shutdownTimeoutMs(): number {
        return this.graceMs * shutdownTimeFraction;
    }

    /**
     * Starts the parts and waits until their ports are bound. Returns the names of needed ports that could not be bound,
     * unless the host is stopped. The parts do not wait for each other.
     */
    async start(): Promise<readonly string[]> {
        const { logger, metrics, settings, supervisor } = this.options;
        if (this.servingEndsAt !== undefined) {
            return [];
        }
        supervisor.startLoop({ operation: "gauges", isStopped: () => false, run: () => this.updateGauges() });
        const metricsAddress = `${settings.ip}:${metricsPort}`;
        const onError = (error: Error) => supervisor.start("metrics connections", {}, () => Promise.reject(error));
        supervisor.start("metrics port", {}, () =>
            this.binder.bind({
                name: "metrics",
                address: metricsAddress,
                isNeeded: false,
                listen: () => metrics.listen(settings.ip, metricsPort, onError),
            }));
        const ports: ProgramPort[] = [
            {
                name: "readiness",
                address: settings.readinessAddress,
                isNeeded: true,
                listen: () => this.readinessServer.listen(),
            },
            { name: "peers", address: this.address, isNeeded: true, listen: () => this.cell.start() },
            {
                name: "callers",
                address: settings.callerAddress,
                isNeeded: true,
                listen: () => this.jobServer.listen(),
            },
        ];
        const areBound = await Promise.all(ports.map(port => this.binder.bind(port)));
        if (this.servingEndsAt !== undefined) {
            return [];
        }
        const unbound = ports.filter((_, index) => areBound[index] === false);
        if (unbound.length === 0) {
            logger.write("info", "host started", {
                address: this.address,
                callers: settings.callerAddress,
                store: settings.storeAddress,
            });
        }
        return unbound.map(port => `${port.name} (${port.address})`);
    }

    /** Lists the steps of a shutdown in order. */
    listShutdownSteps(): ShutdownStep[] {
        const { clock } = this.options;
        return [
            {
                name: "release the cell",
                run: () => {
                    this.servingEndsAt = clock.getNow() + this.shutdownTimeoutMs - lastStepMs;
                    this.binder.stop();
                    return this.cell.resign(this.computeServingMs());
                },
            },
            {
                name: "leave the load balancer",
                run: async () => {
                    this.jobServer.drain();
                    // Without a port for callers, the load balancer cannot have sent any.
                    if (this.jobServer.isListening) {
                        await clock.wait(Math.min(balancerDetectionMs, this.computeServingMs()));
                    }
                },
            },
            {
                name: "serve open connections",
                run: () => this.jobServer.close(this.computeServingMs()),
            },
            { name: "stop the cell", run: () => this.cell.stop() },
        ];
    }

    /** Lists what can change at run time. */
    listSettingsTargets(): SettingsTarget[] {
        return [
            { fields: ["seeds"], apply: settings => this.cell.addSeeds(listSeeds(settings, this.options.logger)) },
            {
                fields: ["retentionSeconds"],
                apply: ({ retentionSeconds }) => this.cell.setRetention(retentionSeconds * 1_000),
            },
            {
                fields: ["graceSeconds"],
                apply: ({ graceSeconds }) => {
                    this.graceMs = graceSeconds * 1_000;
                },
            },
        ];
    }

    /** Returns how long a shutdown may go on serving open connections, ms. */
    private computeServingMs(): number {
        return Math.max(0, (this.servingEndsAt ?? Infinity) - this.options.clock.getNow());
    }

    /** Updates the gauges once a second, so that a scrape of the metrics puts no load on the cell. */
    private async updateGauges(): Promise<void> {
        const { clock, metrics } = this.options;
        for (;;) {
            for (const source of [this.cell, this.jobServer, this.limits]) {
                Object.entries(source.listGauges()).forEach(([name, value]) => metrics.setGauge(name, value));
            }
            const startedAt = clock.getNow();
            await clock.wait(gaugeIntervalMs);
            metrics.setGauge("timer_delay_ms", Math.round(clock.getNow() - startedAt - gaugeIntervalMs));
        }
    }
}

function createCellOptions(options: NodeHostOptions, address: NetworkAddress, limits: HostLimits): CellHostOptions {
    const { clock, logger, metrics, settings, supervisor } = options;
    const isSlowHost = settings.cpuShare * settings.coreSpeed < slowHostCores;
    return {
        host: settings.host,
        address,
        seeds: listSeeds(settings, logger),
        store: new HttpLeaseStore({ address: settings.storeAddress, clock }),
        codec: new StoreCodec(),
        connector: new HttpExecutorConnector(
            clock,
            (executors, wanted) => limits.descriptors.computeConnectionsPerExecutor(executors, wanted),
        ),
        advisor: new HttpAdvisor({ address: settings.advisorAddress ?? settings.storeAddress, clock }),
        clock,
        random: new SystemRandom(),
        logger,
        supervisor,
        maxLeaseMs: settings.maxLeaseMs,
        retentionMs: settings.retentionSeconds * 1_000,
        stopMs: settings.stopMs,
        acquireDelayMs: isSlowHost ? slowHostAcquireDelayMs : 0,
        ownershipLeaseMs: Math.max(isSlowHost ? slowHostLeaseMs : ownershipLeaseMs, settings.minStoreLeaseMs),
        maxPeerBacklogBytes: limits.memory.peerBacklogBytes,
        maintenance: createMaintenanceOptions(settings, clock),
        onStoreCall: (operation, isAnswered, tookMs) => {
            // A watch spends most of its time waiting for a change.
            if (operation !== "watch") {
                metrics.recordTiming("store_ms", tookMs, { operation, answered: String(isAnswered) });
            }
        },
    };
}

/** Enables machine maintenance only if the deployment asks for it, since looking for waves costs calls to the store. */
function createMaintenanceOptions(settings: PlatformSettings, clock: Clock): CellHostOptions["maintenance"] {
    const { machineAddress, machineDuties, machineLeaseMs } = settings;
    return machineAddress === undefined || machineDuties.length === 0
        ? undefined
        : { machines: new HttpMachineManager({ address: machineAddress, clock }), ownerChangeMs: machineLeaseMs };
}

/** Returns the peer addresses of the seeds. A seed without an IP number is skipped, since the others suffice. */
function listSeeds(settings: PlatformSettings, logger: LogWriter): NetworkAddress[] {
    return settings.seeds.flatMap(seed => {
        const address = `${seed.split(":")[0]}:${settings.peerPort}`;
        if (isNetworkAddress(address)) {
            return [address];
        }
        logger.write("warn", "seed skipped", { seed, reason: "it has no IP number" });
        return [];
    });
}
