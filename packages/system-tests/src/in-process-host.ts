/**
 * The programs of one entry host, run in process: scheduler, entry and operator, each started and ended on its own.
 */
import { createRelay, ShardClient } from "@waxwingroute/cluster";
import type { Relay } from "@waxwingroute/cluster";
import { toId } from "@waxwingroute/core";
import type { IncarnationId, ManualClock, RandomSource } from "@waxwingroute/core";
import { ReplicaAccessControl, RpcShardGateway } from "@waxwingroute/entry";
import { RpcJobGateway } from "@waxwingroute/operator";
import { ResourceRepository } from "@waxwingroute/resources";
import { SchedulerProgram } from "@waxwingroute/scheduler";
import { ProcessClock, ProcessGate } from "@waxwingroute/scheduler/testing";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import type { Fleet } from "@waxwingroute/stand-ins";
import type { LogWriter } from "@waxwingroute/telemetry";
import { InProcessServer } from "./in-process-network.js";
import type { InProcessNetwork } from "./in-process-network.js";

/** What a program needs in order to start. */
export interface ProgramDependencies {
    readonly settings: Settings;
    readonly location: HostLocation;
    readonly clock: ManualClock;
    readonly random: RandomSource;
    readonly fleet: Fleet;
    readonly network: InProcessNetwork;
    readonly logger: LogWriter;
}

/** A program that can be paused, killed and stopped. */
export interface InProcessProgram {
    readonly gate: ProcessGate;
    readonly isReady: () => boolean;
    readonly stop: () => Promise<void>;
    readonly kill: () => void;
}

/** Starts the scheduler of a host. */
export function startScheduler(
    { settings, location, clock, random, fleet, network, logger }: ProgramDependencies,
): InProcessProgram {
    const gate = new ProcessGate();
    const { host } = location;
    const scheduler = new SchedulerProgram({
        settings,
        location,
        clock: new ProcessClock(clock, gate),
        random,
        store: gate.wrap(fleet.store.forSource(host)),
        hostList: gate.wrap(fleet.hostList.forSource(host)),
        endpoints: {
            openWorker: ({ worker }) => gate.wrap(fleet.workers.get(worker)!.forSource(host)),
            openExecutor: ({ executor }) => gate.wrap(fleet.executors.get(executor)!.forSource(host)),
        },
        clients: network.createClients(host, gate),
        logger,
    });
    const server = new InProcessServer(gate);
    scheduler.installServices(server);
    network.setServer(host, server);
    scheduler.start(toId<IncarnationId>(random.getHex(16)));
    const endProcess = () => {
        network.setServer(host, undefined);
        gate.kill();
    };
    return {
        gate,
        isReady: () => scheduler.listProblems().length === 0,
        stop: async () => {
            await scheduler.shutdown(settings.shutdown.boundMs * 0.7);
            endProcess();
        },
        kill: endProcess,
    };
}

/** A program with a configuration replica and a client of shard owners. */
interface ReplicaProgram extends InProcessProgram {
    readonly relay: Relay;
    readonly shards: ShardClient;
}

/** Starts what entry and operator programs have in common: a configuration replica and a client of shard owners. */
function startReplicaProgram({ settings, location, clock, network, logger }: ProgramDependencies): ReplicaProgram {
    const gate = new ProcessGate();
    const hostClock = new ProcessClock(clock, gate);
    const clients = network.createClients(location.host, gate);
    const relay = createRelay({
        settings,
        location,
        clients,
        clock: hostClock,
        onProblem: (code, message) => logger.write("warn", "configuration problem", { code, error: message }),
    });
    relay.driver.start();
    return {
        gate,
        relay,
        shards: new ShardClient({ settings, clients, clock: hostClock }),
        isReady: () => relay.driver.isReady,
        stop: async () => {
            relay.driver.stop();
            gate.kill();
        },
        kill: () => gate.kill(),
    };
}

/** An entry program without its HTTP server. */
export interface EntryProgram extends InProcessProgram {
    readonly gateway: RpcShardGateway;
    readonly access: ReplicaAccessControl;
}

/** Starts the entry program of a host, without its HTTP server. */
export function startEntry(dependencies: ProgramDependencies): EntryProgram {
    const { settings, location, clock } = dependencies;
    const program = startReplicaProgram(dependencies);
    const hostClock = new ProcessClock(clock, program.gate);
    return {
        ...program,
        gateway: new RpcShardGateway({ settings, zone: location.zone, shardClient: program.shards, clock: hostClock }),
        access: new ReplicaAccessControl({ replica: program.relay.replica, ...settings.keys }),
    };
}

/** An operator program without its HTTP server. */
export interface OperatorProgram extends InProcessProgram {
    readonly repository: ResourceRepository;
    readonly jobs: RpcJobGateway;
    readonly relay: Relay;
}

/** Starts the operator program of a host, without its HTTP server. */
export function startOperator(dependencies: ProgramDependencies): OperatorProgram {
    const { settings, location, fleet, clock } = dependencies;
    const program = startReplicaProgram(dependencies);
    return {
        ...program,
        repository: new ResourceRepository({
            store: program.gate.wrap(fleet.store.forSource(location.host)),
            clock: new ProcessClock(clock, program.gate),
        }),
        jobs: new RpcJobGateway({ settings, shardClient: program.shards, clients: undefined }),
    };
}
