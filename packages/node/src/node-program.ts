/**
 * The program of a host that runs without separate control machines: entry and scheduler in one process.
 *
 * On SIGTERM the host releases the cell at once and reports itself as not ready, so that the load balancer sends no new
 * connections. Callers with open connections are served until they disconnect or the grace period is nearly over.
 */
import { CellHost } from "@waxwingroute/cell";
import type { CellHostOptions } from "@waxwingroute/cell";
import { isNetworkAddress, SystemClock, SystemRandom, toId } from "@waxwingroute/core";
import type { Clock, NetworkAddress } from "@waxwingroute/core";
import { HostLimits, RefusalLog } from "@waxwingroute/host-limits";
import {
    HttpAdvisor,
    HttpExecutorConnector,
    HttpLeaseStore,
    HttpMachineManager,
    JobServer,
    loadPlatformSettings,
    ReadinessServer,
    settingsFileVariable,
    StoreCodec,
} from "@waxwingroute/platform-adapter";
import type { PlatformSettings } from "@waxwingroute/platform-adapter";
import type { Logger } from "@waxwingroute/telemetry";
import {
    createLogger,
    EventLog,
    installGracefulShutdown,
    PrometheusMetrics,
    Supervisor,
} from "@waxwingroute/telemetry";

/** Fraction of the grace period in which callers with open connections are served. */
const drainTimeFraction = 0.6;
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

/** Starts the program, or with `--check` only validates its settings. Exits with status 2 if they are invalid. */
export async function runNode(): Promise<void> {
    const settings = loadPlatformSettings(process.env[settingsFileVariable]);
    if (!settings.ok) {
        process.stderr.write(`waxwing-node: ${settings.val.message}\n`);
        process.exitCode = 2;
        return;
    }
    if (process.argv.includes("--check")) {
        process.stdout.write("waxwing-node: the settings are valid\n");
        return;
    }
    const { host, zone } = settings.val;
    const logger = await createLogger({ program: "waxwing-node", host, zone });
    installCrashHandlers(logger);
    await startNode(settings.val, logger);
}

/** Logs each unhandled error with its stack and ends the process, since its state is unknown after such an error. */
function installCrashHandlers(logger: Logger): void {
    const logAndExit = (kind: string, error: unknown) => {
        const stack = error instanceof Error ? error.stack : String(error);
        logger.write("error", "unhandled error ends the process", { kind, stack });
        logger.flush();
        process.exit(1);
    };
    process.on("uncaughtException", error => logAndExit("exception", error));
    process.on("unhandledRejection", reason => logAndExit("rejection", reason));
}

/** Creates the limits of the host; each part of the program that others fill gets its share of them. */
function createLimits(settings: PlatformSettings, clock: Clock): HostLimits {
    return new HostLimits({
        clock,
        maxMemoryBytes: settings.memoryMb * bytesPerMb,
        maxDescriptors: settings.maxDescriptors,
    });
}

/** Updates the gauges once a second, so that a scrape of the metrics puts no load on the cell. */
async function updateGauges(
    sources: readonly { listGauges(): Readonly<Record<string, number>>; }[],
    metrics: PrometheusMetrics,
    clock: Clock,
): Promise<void> {
    for (;;) {
        for (const [name, value] of sources.flatMap(source => Object.entries(source.listGauges()))) {
            metrics.setGauge(name, value);
        }
        const startedAt = clock.getNow();
        await clock.wait(gaugeIntervalMs);
        metrics.setGauge("timer_delay_ms", Math.round(clock.getNow() - startedAt - gaugeIntervalMs));
    }
}

/** Enables machine maintenance only if the deployment asks for it, since looking for waves costs calls to the store. */
function createMaintenanceOptions(settings: PlatformSettings, clock: Clock): CellHostOptions["maintenance"] {
    const { machineAddress, machineDuties, machineLeaseMs } = settings;
    return machineAddress === undefined || machineDuties.length === 0
        ? undefined
        : { machines: new HttpMachineManager({ address: machineAddress, clock }), ownerChangeMs: machineLeaseMs };
}

/** Returns the peer addresses of the seeds. A seed without an IP number is skipped, since the others suffice. */
function listSeeds(settings: PlatformSettings, logger: Logger): NetworkAddress[] {
    return settings.seeds.flatMap(seed => {
        const address = `${seed.split(":")[0]}:${settings.peerPort}`;
        if (isNetworkAddress(address)) {
            return [address];
        }
        logger.write("warn", "seed skipped", { seed, reason: "it has no IP number" });
        return [];
    });
}

async function startNode(settings: PlatformSettings, logger: Logger): Promise<void> {
    const clock = new SystemClock();
    const metrics = new PrometheusMetrics("waxwing");
    const eventLog = new EventLog({ writer: logger, metrics, getNow: () => clock.getNow() });
    const supervisor = new Supervisor({ logger: eventLog, clock });
    const address = toId<NetworkAddress>(`${settings.ip}:${settings.peerPort}`);
    const limits = createLimits(settings, clock);
    const refusals = new RefusalLog({
        clock,
        logger,
        count: reason => metrics.increment("rejected_calls", { reason }),
    });
    const isSlowHost = settings.cpuShare * settings.coreSpeed < slowHostCores;
    const cell = new CellHost({
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
        logger: eventLog,
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
    });
    const jobServer = new JobServer({
        address: settings.callerAddress,
        gateway: cell,
        supervisor,
        clock,
        maxConnections: limits.descriptors.shares.callers,
        memory: limits.memory,
        onRefuse: (reason, fields) => refusals.record(reason, fields),
    });
    const readinessServer = new ReadinessServer({
        address: settings.readinessAddress,
        listProblems: () => [...cell.listProblems(), ...jobServer.listProblems()],
        maxConnections: limits.descriptors.shares.readiness,
    });
    await cell.start();
    await jobServer.listen();
    await readinessServer.listen();
    await metrics.listen(settings.ip, metricsPort);
    supervisor.startLoop({
        operation: "gauges",
        isStopped: () => false,
        run: () => updateGauges([cell, jobServer, limits], metrics, clock),
    });
    logger.write("info", "host started", { address, callers: settings.callerAddress, store: settings.storeAddress });
    process.on("SIGHUP", () => logger.write("info", "settings changed; they take effect at the next start"));
    installGracefulShutdown({
        logger,
        timeoutMs: settings.graceSeconds * 900,
        steps: [
            { name: "release the cell", run: () => cell.resign() },
            {
                name: "leave the load balancer",
                run: () => {
                    jobServer.drain();
                    return clock.wait(balancerDetectionMs);
                },
            },
            {
                name: "serve open connections",
                run: () =>
                    jobServer.close(
                        Math.max(0, settings.graceSeconds * 1_000 * drainTimeFraction - balancerDetectionMs),
                    ),
            },
            { name: "stop the cell", run: () => cell.stop() },
        ],
    });
}
