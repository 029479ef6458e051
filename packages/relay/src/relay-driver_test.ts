import { expect } from "earl";
import { describe, it } from "node:test";
import type { RelayCounters } from "./relay-driver.js";
import { RelayCluster } from "./testing/relay-cluster.js";
import type { RelayNode } from "./testing/relay-cluster.js";

/** Bound of the stated target: an accepted change is in force everywhere within 10 s. */
const targetMs = 10_000;

async function startCluster(options: ConstructorParameters<typeof RelayCluster>[0] = {}): Promise<RelayCluster> {
    const cluster = new RelayCluster(options);
    await cluster.write(1);
    cluster.nodes.forEach(node => node.driver.start());
    await cluster.clock.advance(5_000);
    return cluster;
}

function listWatchers(cluster: RelayCluster): string[] {
    return cluster.nodes.filter(node => !node.isCrashed && node.driver.isWatching).map(node => node.host);
}

function sumCounters(cluster: RelayCluster): RelayCounters {
    const sum = { storeCalls: 0, zoneDigests: 0, zonePulls: 0, crossZoneDigests: 0, crossZonePulls: 0 };
    for (const node of cluster.nodes) {
        for (const [name, count] of Object.entries(node.driver.getCounters())) {
            sum[name as keyof RelayCounters] += count as number;
        }
    }
    return sum;
}

async function measurePropagation(cluster: RelayCluster, weight: number, limitMs = targetMs): Promise<number> {
    const revision = await cluster.write(weight) ?? Infinity;
    return cluster.awaitRevision(revision, limitMs);
}

describe("RelayDriver", () => {
    it("keeps one watch a zone and brings a change into force everywhere", async t => {
        const cluster = await startCluster();
        expect(listWatchers(cluster)).toEqual(["z0-h0", "z1-h0", "z2-h0"]);
        const before = sumCounters(cluster);
        await cluster.clock.advance(60_000);
        const after = sumCounters(cluster);
        const calls = after.storeCalls - before.storeCalls;
        const zoneDigests = after.zoneDigests - before.zoneDigests;
        const crossZoneDigests = after.crossZoneDigests - before.crossZoneDigests;
        // One pending watch of 3 s a zone; two digests a second of each host that does not watch; one a second of each zone.
        expect([calls <= 66, zoneDigests <= 6 * 126, crossZoneDigests <= 3 * 63]).toEqual([true, true, true]);
        const elapsed = await measurePropagation(cluster, 2, 2_000);
        expect(elapsed <= 2_000).toEqual(true);
        t.diagnostic(
            `result: in 3 zones of 3 hosts a minute: ${calls} store calls, ${zoneDigests} digests within zones, `
                + `${crossZoneDigests} between them; change in force after ${elapsed} ms`,
        );
    });

    it("moves the watch when the watcher dies or loses the store, and back", async t => {
        const cluster = await startCluster();
        const [first, second] = cluster.listZoneNodes("z0") as [RelayNode, RelayNode];
        first.isCrashed = true;
        first.driver.stop();
        second.store.isPartitioned = true;
        const died = await measurePropagation(cluster, 2);
        expect(died <= targetMs).toEqual(true);
        await cluster.clock.advance(10_000);
        expect(listWatchers(cluster)).toEqual(["z0-h2", "z1-h0", "z2-h0"]);
        first.isCrashed = false;
        second.store.isPartitioned = false;
        cluster.restart(first);
        await cluster.clock.advance(10_000);
        expect(listWatchers(cluster)).toEqual(["z0-h0", "z1-h0", "z2-h0"]);
        first.store.isPartitioned = true;
        const lost = await measurePropagation(cluster, 3);
        expect(lost <= targetMs).toEqual(true);
        t.diagnostic(`result: in force after ${died} ms when the watcher died, ${lost} ms when it lost the store`);
    });

    // Guards against keys that count as stale in a zone which can still hear of changes through another zone.
    it("keeps a zone without the store current and fresh through other zones", async t => {
        const cluster = await startCluster({ zoneCount: 12, hostsPerZone: 2 });
        cluster.listZoneNodes("z3").forEach(node => node.store.isPartitioned = true);
        cluster.partitions.add("z3/z0").add("z3/z1").add("z3/z5");
        await cluster.clock.advance(60_000);
        const ages = cluster.listZoneNodes("z3").map(node => node.replica.getConfirmationAge());
        expect(Math.max(...ages) <= 20_000).toEqual(true);
        const elapsed = await measurePropagation(cluster, 2);
        expect(elapsed <= targetMs).toEqual(true);
        t.diagnostic(
            `result: change in force after ${elapsed} ms, confirmation ages ${ages.map(Math.round).join(", ")} ms`,
        );
    });

    // Guards against a revoked key that works on in a zone which is cut off from everything.
    it("turns stale in a zone that is cut off from everything, and recovers", async () => {
        const cluster = await startCluster();
        cluster.listZoneNodes("z2").forEach(node => node.store.isPartitioned = true);
        cluster.partitions.add("z2/z0").add("z2/z1");
        await cluster.clock.advance(20_000);
        expect(cluster.listZoneNodes("z2").map(node => node.replica.isFresh(30_000))).toEqual([true, true, true]);
        await cluster.write(2);
        await cluster.clock.advance(11_000);
        expect(cluster.listZoneNodes("z2").map(node => node.replica.isFresh(30_000))).toEqual([false, false, false]);
        cluster.partitions.clear();
        await cluster.clock.advance(targetMs);
        expect(cluster.listZoneNodes("z2").map(node => node.replica.isFresh(30_000))).toEqual([true, true, true]);
        expect(cluster.listZoneNodes("z2").map(node => node.replica.view.findTeam("quotes")?.spec.weight)).toEqual([
            2,
            2,
            2,
        ]);
    });

    // Guards against entry processes that need the store, or that stop with the hosts of their zone.
    it("keeps a process that only pulls current, also when the relays of its zone are gone", async t => {
        const cluster = await startCluster();
        const pullOnlyNode = cluster.addPullOnlyNode("z1-entry", "z1");
        await cluster.clock.advance(5_000);
        const ordinary = await measurePropagation(cluster, 2, 2_000);
        expect(ordinary <= 2_000).toEqual(true);
        cluster.listZoneNodes("z1").filter(node => node !== pullOnlyNode).forEach(node => {
            node.isCrashed = true;
            node.driver.stop();
        });
        const alone = await measurePropagation(cluster, 3);
        expect(alone <= targetMs).toEqual(true);
        await cluster.clock.advance(40_000);
        expect([pullOnlyNode.replica.isFresh(30_000), pullOnlyNode.store.callCount]).toEqual([true, 0]);
        t.diagnostic(`result: in force after ${ordinary} ms, and ${alone} ms when the relays of the zone were gone`);
    });

    it("starts from its peers while the store is down, and is not ready without them", async () => {
        const cluster = await startCluster({ zoneCount: 2, hostsPerZone: 1 });
        cluster.store.data.isDown = true;
        const node = cluster.getNode("z0-h0");
        cluster.partitions.add("z0/z1");
        cluster.restart(node);
        await cluster.clock.advance(30_000);
        expect(node.driver.isReady).toEqual(false);
        cluster.partitions.clear();
        await cluster.clock.advance(5_000);
        expect(node.driver.isReady).toEqual(true);
        expect(node.replica.view.findTeam("quotes")?.spec.weight).toEqual(1);
        // The store has confirmed nothing for longer than the staleness bound.
        expect(node.replica.isFresh(30_000)).toEqual(false);
    });

    it("reads the range again when the store no longer keeps its revision, and reports a store that lost writes", async () => {
        const cluster = await startCluster({ zoneCount: 1, hostsPerZone: 1 });
        const node = cluster.getNode("z0-h0");
        node.store.isPartitioned = true;
        await cluster.clock.advance(10_000);
        await cluster.write(2);
        const { data } = cluster.store;
        data.compactedRevision = data.revision;
        node.store.isPartitioned = false;
        await cluster.clock.advance(targetMs);
        expect(node.replica.view.findTeam("quotes")?.spec.weight).toEqual(2);
        data.revision = 1;
        await cluster.clock.advance(40_000);
        expect(cluster.problems.at(-1)?.code).toEqual("store-reverted");
        expect(node.replica.view.findTeam("quotes")?.spec.weight).toEqual(2);
        expect(node.replica.isFresh(30_000)).toEqual(false);
    });

    // Guards against any sequence of faults that reverts a configuration, or calls an outdated one current.
    for (const seed of [11, 12, 13, 14, 15, 16]) {
        it(`never reverts and converges under random faults, seed ${seed}`, async t => {
            const cluster = await startCluster({ seed, logLength: 4 });
            const newestRevisions = new Map<RelayNode, number>();
            for (let step = 0; step < 80; step++) {
                await applyRandomFault(cluster, step, newestRevisions);
                await cluster.clock.advance(250 + cluster.random.getInteger(1_000));
                cluster.nodes.forEach(node => verifyNode(cluster, node, newestRevisions));
            }
            clearFaults(cluster);
            await cluster.clock.advance(5_000);
            const elapsed = await measurePropagation(cluster, 9_999);
            expect(elapsed <= targetMs).toEqual(true);
            await cluster.clock.advance(targetMs);
            expect(listWatchers(cluster)).toEqual(["z0-h0", "z1-h0", "z2-h0"]);
            t.diagnostic(
                `result: ${cluster.acceptedWrites.length} writes, in force everywhere ${elapsed} ms after the last`,
            );
        });
    }
});

async function applyRandomFault(
    cluster: RelayCluster,
    step: number,
    newestRevisions: Map<RelayNode, number>,
): Promise<void> {
    const { random } = cluster;
    const node = random.pickOne(cluster.nodes) as RelayNode;
    const pair = `z${random.getInteger(3)}/z${random.getInteger(3)}`;
    const actions: (() => unknown)[] = [
        () => cluster.write(step + 2),
        () => cluster.write(step + 2),
        () => node.store.isPartitioned = !node.store.isPartitioned,
        () => cluster.store.data.isDown = random.getFloat() < 0.3,
        () => cluster.partitions.has(pair) ? cluster.partitions.delete(pair) : cluster.partitions.add(pair),
        () => cluster.lossRate = random.getFloat() * 0.5,
        () => cluster.delayMs = random.getFloat() < 0.5 ? 5 : 700,
        () => cluster.store.data.compactedRevision = cluster.store.data.revision,
        () => {
            newestRevisions.delete(node);
            cluster.restart(node);
        },
    ];
    await random.pickOne(actions)?.();
}

function clearFaults(cluster: RelayCluster): void {
    cluster.partitions.clear();
    cluster.lossRate = 0;
    cluster.delayMs = 5;
    cluster.store.data.isDown = false;
    cluster.nodes.forEach(node => node.store.isPartitioned = false);
}

function verifyNode(cluster: RelayCluster, node: RelayNode, newestRevisions: Map<RelayNode, number>): void {
    const revision = node.replica.revision ?? 0;
    expect(revision >= (newestRevisions.get(node) ?? 0)).toEqual(true);
    newestRevisions.set(node, revision);
    const inForce = cluster.acceptedWrites.findLast(write => write.revision <= revision);
    expect(node.replica.view.findTeam("quotes")?.spec.weight).toEqual(inForce?.weight);
    const confirmedAt = cluster.clock.getNow() - node.replica.getConfirmationAge();
    const accepted = cluster.acceptedWrites.findLast(write => write.at < confirmedAt);
    expect(revision >= (accepted?.revision ?? 0)).toEqual(true);
}
