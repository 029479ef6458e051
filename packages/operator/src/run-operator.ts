/**
 * The program `waxwing-operator`, which serves the resource interface.
 */
import { createRelay, SchedulerClients, ShardClient } from "@waxwingroute/cluster";
import { runDaemon } from "@waxwingroute/daemon";
import type { DaemonContext, RunningDaemon } from "@waxwingroute/daemon";
import { HttpStore } from "@waxwingroute/platform";
import { ResourceRepository } from "@waxwingroute/resources";
import type { ProcessSignals } from "@waxwingroute/telemetry/process-signals";
import { OperatorServer } from "./operator-server.js";
import { RpcClusterGateway } from "./rpc-cluster-gateway.js";
import { RpcJobGateway } from "./rpc-job-gateway.js";

/** Parses the command line and runs the program until a signal stops it. */
export function runOperator(signals: ProcessSignals): void {
    runDaemon({
        program: "waxwing-operator",
        description: "Serves the resource interface to operators.",
        healthPort: "operatorHealth",
        start: startOperator,
    }, signals);
}

async function startOperator({ settings, location, logger, metrics }: DaemonContext): Promise<RunningDaemon> {
    const store = new HttpStore({
        url: settings.store.url,
        timeoutMs: settings.store.timeoutMs,
        source: location.host,
    });
    const clients = new SchedulerClients({ settings });
    const { replica, driver } = createRelay({
        settings,
        location,
        clients,
        onProblem: (code, message) => logger.write("warn", "configuration problem", { code, error: message }),
    });
    const server = new OperatorServer({
        repository: new ResourceRepository({ store }),
        replica,
        jobs: new RpcJobGateway({ settings, clients, shardClient: new ShardClient({ settings, clients }) }),
        cluster: new RpcClusterGateway({ settings, clients, relay: driver }),
        address: location.settings.address,
        port: location.settings.ports.operator,
        operatorTokenHash: settings.operator.tokenSha256,
        keyStalenessMs: settings.keys.stalenessMs,
        whenStale: settings.keys.whenStale,
        shutdownTimeoutMs: settings.shutdown.boundMs / 2,
        onWrite: ({ method, path, client, status, failure }) => {
            const { code, verdict } = failure ?? {};
            logger.write("info", "operator write", { method, path, client, status, code, verdict });
            metrics.increment("operator.writes", 1, { status: String(status) });
        },
        onError: error => logger.write("error", "request failed", { error: String(error) }),
    });
    driver.start();
    await server.start();
    return {
        shutdownSteps: [
            { name: "stop serving", run: () => server.shutdown() },
            {
                name: "close connections",
                run: async () => {
                    driver.stop();
                    clients.close();
                    store.close();
                },
            },
        ],
        listProblems: () => [
            ...driver.isReady
                ? []
                : ["the configuration is not loaded: no scheduler of the zone has answered"],
            ...replica.view.isDrained("host", location.host) ? ["an operator drains this host"] : [],
        ],
        describeStatus: () => ({ revision: replica.revision }),
    };
}
