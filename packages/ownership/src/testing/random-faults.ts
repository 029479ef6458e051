/**
 * Random faults for a simulated cluster.
 */
import { SimulatedCluster } from "./simulated-cluster.js";
import type { SimulatedClusterOptions, SimulatedHost } from "./simulated-cluster.js";

/** The hosts that a fault can affect: a random one, the owner and its successor. */
interface Targets {
    readonly host: SimulatedHost;
    readonly owner: SimulatedHost;
    readonly successor: SimulatedHost;
}

type Fault = (cluster: SimulatedCluster, targets: Targets) => void;

const faults: readonly Fault[] = [
    cluster => cluster.setStoreReachable(false),
    cluster => cluster.setStoreReachable(true),
    (cluster, { host }) => cluster.setStoreReachable(false, host.id),
    (cluster, { owner }) => cluster.setStoreReachable(false, owner.id),
    (cluster, { owner }) => cluster.setStoreReachable(true, owner.id),
    (cluster, { successor }) => cluster.setStoreReachable(true, successor.id),
    (cluster, { host }) => {
        cluster.setStoreReachable(false);
        cluster.setStoreReachable(true, host.id);
    },
    (cluster, { owner, successor }) => cluster.disconnectHosts(owner.id, successor.id),
    (cluster, { host, owner }) => cluster.disconnectHosts(host.id, owner.id),
    (cluster, { host, successor }) => void cluster.blockedLinks.add(`${host.id}>${successor.id}`),
    (cluster, { host, owner }) => void cluster.blockedLinks.add(`${host.id}>${owner.id}`),
    cluster => cluster.blockedLinks.clear(),
    (cluster, { host }) => pauseHost(cluster, host),
    (cluster, { owner }) => pauseHost(cluster, owner),
    (cluster, { successor }) => pauseHost(cluster, successor),
    (cluster, { host }) => cluster.stopHost(host),
    (cluster, { owner }) => cluster.stopHost(owner),
    (cluster, { successor }) => restartHost(cluster, successor),
    (cluster, { owner }) => restartHost(cluster, owner),
    cluster => cluster.hosts.forEach(host => cluster.startHost(host)),
    (cluster, { owner }) => cluster.processEvent(owner, owner.incarnation, { kind: "handOver" }),
    cluster => {
        cluster.messageLossRate = cluster.random.getFloat() * 0.5;
        cluster.messageDelayRate = cluster.random.getFloat() * 0.3;
    },
    cluster => {
        cluster.storeLossRate = cluster.random.getFloat();
        cluster.storeDelayRate = cluster.random.getFloat() * 0.6;
    },
    clearFaults,
    // Only a long outage of the store leads to consent mode, so these faults cause one directly.
    cluster => {
        clearFaults(cluster);
        cluster.setStoreReachable(false);
    },
    (cluster, { owner, successor }) => {
        cluster.setStoreReachable(false);
        cluster.setStoreReachable(true, owner.id);
        cluster.disconnectHosts(owner.id, successor.id);
    },
];

/**
 * Runs a cluster under random faults and returns it. Each run draws from a random subset of the faults, because
 * sequences that need a few specific faults are rare when every fault is equally likely.
 */
export function runWithRandomFaults(options: SimulatedClusterOptions, durationMs: number): SimulatedCluster {
    const cluster = new SimulatedCluster(options);
    const faultProbability = 0.15 + cluster.random.getFloat() * 0.6;
    const enabledFaults = faults.filter(() => cluster.random.getFloat() < faultProbability);
    // Most runs begin with 5 s without faults, so that the owner can name a successor.
    cluster.queue.runUntil(cluster.random.getFloat() < 0.8 ? 5_000 : 500);
    if (cluster.random.getFloat() < 0.5) {
        cluster.setStoreReachable(false);
        cluster.queue.runUntil(cluster.queue.now + cluster.random.getFloat() * 6_000);
    }
    while (cluster.queue.now < durationMs) {
        cluster.random.pickOne(enabledFaults)?.(cluster, chooseTargets(cluster));
        const waitMs = cluster.random.getFloat() < 0.4 ? 300 : 4_500;
        cluster.queue.runUntil(cluster.queue.now + cluster.random.getFloat() * waitMs);
    }
    return cluster;
}

function chooseTargets(cluster: SimulatedCluster): Targets {
    const host = cluster.random.pickOne(cluster.hosts) ?? cluster.getHost("a");
    const owner = cluster.hosts.find(({ state }) => state?.owner !== undefined) ?? host;
    const successor = cluster.hosts.find(({ id }) => id === cluster.record?.record.successor) ?? host;
    return { host, owner, successor };
}

/** Ends all faults except pauses, which end by themselves, and starts the hosts that are stopped. */
export function clearFaults(cluster: SimulatedCluster): void {
    cluster.messageLossRate = 0;
    cluster.messageDelayRate = 0;
    cluster.storeLossRate = 0;
    cluster.storeDelayRate = 0;
    cluster.blockedLinks.clear();
    cluster.setStoreReachable(true);
    cluster.hosts.forEach(host => cluster.startHost(host));
}

function restartHost(cluster: SimulatedCluster, host: SimulatedHost): void {
    cluster.stopHost(host);
    cluster.startHost(host);
}

function pauseHost(cluster: SimulatedCluster, host: SimulatedHost): void {
    host.pausedUntil = cluster.queue.now + cluster.random.getFloat() * 9_000;
}
