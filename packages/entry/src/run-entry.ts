/**
 * The program `waxwing-entry`, which accepts requests from callers and forwards them to the owners of the shards.
 */
import { createRelay, SchedulerClients, ShardClient } from "@waxwingroute/cluster";
import { SystemClock } from "@waxwingroute/core";
import { runDaemon } from "@waxwingroute/daemon";
import type { DaemonContext, RunningDaemon } from "@waxwingroute/daemon";
import type { ProcessSignals } from "@waxwingroute/telemetry/process-signals";
import { EntryServer } from "./entry-server.js";
import { ReplicaAccessControl } from "./replica-access-control.js";
import { RpcShardGateway } from "./rpc-shard-gateway.js";

/** Parses the command line and runs the program until a signal stops it. */
export function runEntry(signals: ProcessSignals): void {
    runDaemon({
        program: "waxwing-entry",
        description: "Takes requests from callers and routes them to executors.",
        healthPort: "entryHealth",
        start: startEntry,
    }, signals);
}

async function startEntry({ settings, location, logger, metrics }: DaemonContext): Promise<RunningDaemon> {
    const clock = new SystemClock();
    const clients = new SchedulerClients({ settings });
    const { replica, driver } = createRelay({
        settings,
        location,
        clients,
        onProblem: (code, message) => logger.write("warn", "configuration problem", { code, error: message }),
    });
    const { stalenessMs, whenStale } = settings.keys;
    const server = new EntryServer({
        clock,
        gateway: new RpcShardGateway({
            settings,
            zone: location.zone,
            clock,
            shardClient: new ShardClient({ settings, clients }),
        }),
        accessControl: new ReplicaAccessControl({ replica, stalenessMs, whenStale }),
        address: location.settings.address,
        port: location.settings.ports.entry,
        maxBodyBytes: settings.entry.maxBodyBytes,
        maxConnections: settings.entry.maxConnections,
        onRequestEnd: ({ status, code, verdict, team, queue, requestKey, elapsedMs }) => {
            logger.write("info", "request served", {
                status,
                code,
                verdict,
                team,
                queue,
                requestKey,
                elapsedMs: Math.round(elapsedMs * 10) / 10,
            });
            metrics.increment("entry.requests", 1, { status: String(status), verdict });
            metrics.recordTiming("entry.request_ms", elapsedMs);
        },
    });
    driver.start();
    await server.start();
    let isStopping = false;
    return {
        shutdownSteps: [
            {
                name: "stop serving",
                run: () => {
                    isStopping = true;
                    return server.stop(settings.shutdown.boundMs * 0.8);
                },
            },
            {
                name: "close connections",
                run: async () => {
                    driver.stop();
                    clients.close();
                },
            },
        ],
        listProblems: () => [
            ...driver.isReady ? [] : ["the configuration is not loaded: no scheduler of the zone has answered"],
            ...driver.isReady && whenStale === "refuse" && !replica.isFresh(stalenessMs)
                ? ["the configuration is stale"]
                : [],
            ...replica.view.isDrained("host", location.host) ? ["an operator drains this host"] : [],
            ...isStopping ? ["the program is stopping"] : [],
        ],
        describeStatus: () => ({ revision: replica.revision, ...server.getStatus() }),
    };
}
