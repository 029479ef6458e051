/**
 * The program `waxwing-scheduler`: starts the scheduler of one entry host and serves it over gRPC.
 */
import { SchedulerClients } from "@waxwingroute/cluster";
import { SystemClock, SystemRandom, toId } from "@waxwingroute/core";
import type { IncarnationId } from "@waxwingroute/core";
import { runDaemon } from "@waxwingroute/daemon";
import type { DaemonContext, RunningDaemon } from "@waxwingroute/daemon";
import { HttpHostList, HttpStore } from "@waxwingroute/platform";
import { getSchedulerAddress } from "@waxwingroute/settings";
import type { ProcessSignals } from "@waxwingroute/telemetry/process-signals";
import { RpcServer } from "@waxwingroute/transport";
import { EndpointClientCache } from "./endpoint-client-cache.js";
import { SchedulerProgram } from "./scheduler-program.js";

/** Time between two reports of the gauges, in milliseconds. */
const gaugeIntervalMs = 5_000;

/** Parses the command line and runs the program until a signal stops it. */
export function runScheduler(signals: ProcessSignals): void {
    runDaemon({
        program: "waxwing-scheduler",
        description: "Owns shards: places tasks, routes requests to executors and relays the configuration.",
        healthPort: "schedulerHealth",
        start: startScheduler,
    }, signals);
}

async function startScheduler({ settings, location, logger, metrics }: DaemonContext): Promise<RunningDaemon> {
    const random = new SystemRandom();
    const source = location.host;
    const store = new HttpStore({ url: settings.store.url, timeoutMs: settings.store.timeoutMs, source });
    const hostList = new HttpHostList({ url: settings.hostList.url, source });
    const clients = new SchedulerClients({ settings });
    const endpoints = new EndpointClientCache({ source, workerTimeoutMs: settings.ownership.startInFlightMs });
    const scheduler = new SchedulerProgram({
        settings,
        location,
        clock: new SystemClock(),
        random,
        store,
        hostList,
        endpoints,
        clients,
        logger,
    });
    const server = new RpcServer({ address: getSchedulerAddress(location) });
    scheduler.installServices(server);
    // The incarnation is generated after the bind, which proves that earlier processes on this address have ended.
    await server.listen();
    scheduler.start(toId<IncarnationId>(random.getHex(16)));
    const gaugeTimer = setInterval(
        () => scheduler.reportGauges((name, value, tags) => metrics.setGauge(name, value, tags)),
        gaugeIntervalMs,
    );
    const closeConnections = async () => {
        clearInterval(gaugeTimer);
        await server.shutdown(settings.shutdown.boundMs * 0.1);
        clients.close();
        endpoints.close();
        store.close();
        hostList.close();
    };
    return {
        shutdownSteps: [
            { name: "hand shards over", run: () => scheduler.shutdown(settings.shutdown.boundMs * 0.7) },
            { name: "close connections", run: closeConnections },
        ],
        listProblems: () => scheduler.listProblems(),
        describeStatus: () => scheduler.describeStatus(),
    };
}
