/**
 * A scheduler without its process: all parts of one host, connected. The main program gives it the machine's clock and
 * HTTP adapters, tests give it fakes.
 */
import { createRelay, RpcOwnershipPeers } from "@waxwingroute/cluster";
import type { Relay, SchedulerCaller } from "@waxwingroute/cluster";
import type { Clock, IncarnationId, RandomSource, ShardId, Timer } from "@waxwingroute/core";
import type { HostList, Store } from "@waxwingroute/platform";
import { chooseEndpointShard, listZoneShards } from "@waxwingroute/settings";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { ServiceRegistry } from "@waxwingroute/transport";
import { EndpointCatalog } from "./endpoint-catalog.js";
import { installSchedulerServices } from "./scheduler-services.js";
import type { EndpointClientFactory } from "./shard-context.js";
import { ShardRunner } from "./shard-runner.js";

export interface SchedulerProgramOptions {
    readonly settings: Settings;
    readonly place: HostLocation;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly store: Store;
    readonly hostList: HostList;
    readonly endpoints: EndpointClientFactory;
    readonly clients: SchedulerCaller;
    readonly logger: LogWriter;
}

/**
 * The scheduler of one entry host.
 *
 * @example
 * ```ts
 * const scheduler = new SchedulerProgram(options);
 * scheduler.installServices(server);
 * await server.listen();
 * scheduler.start(incarnation);
 * ```
 */
export class SchedulerProgram {
    readonly runners = new Map<ShardId, ShardRunner>();
    readonly catalog: EndpointCatalog;
    private readonly relay: Relay;
    private timer: Timer | undefined;
    private isStopped = false;

    constructor(private readonly options: SchedulerProgramOptions) {
        const { settings, place, clock, store, clients, hostList, logger } = options;
        this.relay = createRelay({
            settings,
            location: place,
            clients,
            store,
            clock,
            onProblem: (code, message) => logger.write("warn", "configuration problem", { code, error: message }),
        });
        this.catalog = new EndpointCatalog({
            zone: place.zone,
            hostList,
            clock,
            pollMs: settings.hostList.pollMs,
            chooseShard: endpoint => chooseEndpointShard(settings, place.zone, endpoint),
            onChange: () => this.refreshEndpoints(),
            onFailure: failure =>
                logger.write("warn", "host list unavailable", { code: failure.code, error: failure.message }),
        });
    }

    /** Adds the services that other processes call. */
    installServices(server: ServiceRegistry): void {
        installSchedulerServices(server, {
            host: this.options.place.host,
            runners: this.runners,
            relay: this.relay.driver,
            getConfigurationRevision: () => this.relay.replica.revision ?? 0,
            logger: this.options.logger,
        });
    }

    /** Begins to take part. `incarnation` is made after the address is bound. */
    start(incarnation: IncarnationId): void {
        const { settings, place, clock, random, store, logger, endpoints, clients } = this.options;
        for (const shard of listZoneShards(settings, place.zone)) {
            const context = {
                shard,
                host: place.host,
                settings,
                clock,
                random,
                store,
                logger,
                catalog: this.catalog,
                endpoints,
                configuration: this.relay.replica.view,
            };
            const peers = new RpcOwnershipPeers({ clients, shard });
            this.runners.set(shard, new ShardRunner({ context, incarnation, peers }));
        }
        this.relay.replica.subscribe(() => this.refreshEndpoints());
        this.relay.driver.start();
        void this.catalog.start();
        this.runners.forEach(runner => runner.start());
        this.runTick();
    }

    /** Lets work in progress end and hands the shards over, within `waitMs` milliseconds. */
    async shutdown(waitMs: number): Promise<void> {
        await Promise.all([...this.runners.values()].map(runner => runner.shutdown(waitMs)));
        this.isStopped = true;
        this.timer?.cancel();
        this.relay.driver.stop();
        this.catalog.stop();
    }

    /** Returns why the scheduler cannot serve; empty when it can. */
    listProblems(): readonly string[] {
        return [
            ...this.relay.driver.isReady
                ? []
                : ["the configuration is not loaded: neither the store nor a peer has answered"],
            ...this.catalog.isLoaded ? [] : ["the host list has not answered"],
        ];
    }

    /** Calls `setGauge` for each number of each shard. */
    reportGauges(setGauge: (name: string, value: number, tags: Record<string, string>) => void): void {
        for (const [shard, runner] of this.runners) {
            for (const [name, value] of Object.entries(runner.collectGauges())) {
                setGauge(`shard.${name}`, value, { shard });
            }
        }
    }

    describeStatus(): Readonly<Record<string, unknown>> {
        return {
            revision: this.relay.replica.revision,
            isWatching: this.relay.driver.isWatching,
            relay: this.relay.driver.getCounters(),
            shards: [...this.runners.values()].map(runner => runner.describe()),
        };
    }

    private refreshEndpoints(): void {
        this.runners.forEach(runner => runner.refreshEndpoints());
    }

    private runTick(): void {
        const { clock, settings } = this.options;
        this.runners.forEach(runner => runner.tick(clock.getNow()));
        if (!this.isStopped) {
            this.timer = clock.schedule(settings.tasks.tickMs, () => this.runTick());
        }
    }
}
