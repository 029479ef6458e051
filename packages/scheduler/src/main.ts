#!/usr/bin/env node
/**
 * The program `waxwing-scheduler`.
 */
import { createRelay, RpcOwnershipPeers, SchedulerClients } from "@waxwingroute/cluster";
import { SystemClock, SystemRandom, toId } from "@waxwingroute/core";
import type { IncarnationId, ShardId } from "@waxwingroute/core";
import { runDaemon } from "@waxwingroute/daemon";
import type { DaemonContext, RunningDaemon } from "@waxwingroute/daemon";
import { HttpHostList, HttpStore } from "@waxwingroute/platform";
import { chooseEndpointShard, getSchedulerAddress, listZoneShards } from "@waxwingroute/settings";
import { RpcServer } from "@waxwingroute/transport";
import { EndpointCache } from "./endpoint-cache.js";
import { EndpointCatalog } from "./endpoint-catalog.js";
import { installSchedulerServices } from "./scheduler-handlers.js";
import { ShardRunner } from "./shard-runner.js";

runDaemon({
    program: "waxwing-scheduler",
    description: "Owns shards: places tasks, routes requests to executors and relays the configuration.",
    healthPort: "schedulerHealth",
    start: startScheduler,
});

async function startScheduler({ settings, place, logger }: DaemonContext): Promise<RunningDaemon> {
    const clock = new SystemClock();
    const random = new SystemRandom();
    const store = new HttpStore({ url: settings.store.url, timeoutMs: settings.store.timeoutMs, source: place.host });
    const hostList = new HttpHostList({ url: settings.hostList.url, source: place.host });
    const clients = new SchedulerClients({ settings });
    const endpoints = new EndpointCache({ source: place.host, workerTimeoutMs: settings.ownership.startInFlightMs });
    const relay = createRelay({
        settings,
        place,
        clients,
        store,
        onProblem: (code, message) => logger.write("warn", "configuration problem", { code, error: message }),
    });
    const { replica, driver } = relay;
    const runners = new Map<ShardId, ShardRunner>();
    const catalog = new EndpointCatalog({
        zone: place.zone,
        hostList,
        clock,
        pollMs: settings.hostList.pollMs,
        chooseShard: endpoint => chooseEndpointShard(settings, place.zone, endpoint),
        onChange: () => runners.forEach(runner => runner.refreshEndpoints()),
        onFailure: failure =>
            logger.write("warn", "host list unavailable", { code: failure.code, error: failure.message }),
    });
    const server = new RpcServer({ address: getSchedulerAddress(place) });
    installSchedulerServices(server, {
        host: place.host,
        runners,
        relay: driver,
        getRevision: () => replica.revision ?? 0,
        logger,
    });
    // The incarnation is made after the bind, which proves that earlier processes on this address have ended.
    await server.listen();
    const incarnation = toId<IncarnationId>(random.getHex(16));
    for (const shard of listZoneShards(settings, place.zone)) {
        const context = {
            shard,
            host: place.host,
            settings,
            clock,
            random,
            store,
            logger,
            catalog,
            endpoints,
            configuration: replica.view,
        };
        runners.set(shard, new ShardRunner({ context, incarnation, peers: new RpcOwnershipPeers({ clients, shard }) }));
    }
    replica.subscribe(() => runners.forEach(runner => runner.refreshEndpoints()));
    driver.start();
    void catalog.start();
    runners.forEach(runner => runner.start());
    const timer = setInterval(() => runners.forEach(runner => runner.tick(clock.getNow())), settings.tasks.tickMs);
    return {
        shutdownSteps: [
            {
                name: "hand shards over",
                run: async () => {
                    await Promise.all(
                        [...runners.values()].map(runner => runner.shutdown(settings.shutdown.boundMs * 0.7)),
                    );
                },
            },
            {
                name: "stop serving",
                run: async () => {
                    clearInterval(timer);
                    driver.stop();
                    catalog.stop();
                    await server.shutdown(settings.shutdown.boundMs * 0.1);
                    clients.close();
                    endpoints.close();
                    store.close();
                    hostList.close();
                },
            },
        ],
        listProblems: () => [
            ...driver.isReady ? [] : ["the configuration is not loaded: neither the store nor a peer has answered"],
            ...catalog.isLoaded ? [] : ["the host list has not answered"],
        ],
        describeStatus: () => ({
            revision: replica.revision,
            isWatching: driver.isWatching,
            relay: driver.getCounters(),
            shards: [...runners.values()].map(runner => runner.describe()),
        }),
    };
}
