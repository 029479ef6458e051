import { expect } from "earl";
import { describe, it } from "node:test";
import type { RelayCounters } from "./relay-driver.js";
import { RelayCluster } from "./testing/relay-cluster.js";
import type { RelayNode } from "./testing/relay-cluster.js";

/** Target: an accepted change is in effect on every host within 10 s. */
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
    it("keeps one store watch per zone and applies a change on every host", async t => {
        const cluster = await startCluster();
        expect(listWatchers(cluster)).toEqual(["z0-h0", "z1-h0", "z2-h0"]);
        const before = sumCounters(cluster);
        await cluster.clock.advance(60_000);
        const after = sumCounters(cluster);
        const calls = after.storeCalls - before.storeCalls;
        const zoneDigests = after.zoneDigests - before.zoneDigests;
        const crossZoneDigests = after.crossZoneDigests - before.crossZoneDigests;
        // Expected are one pending watch of 3 s per zone, two digests per second from each host that does not watch, and one
        // per second from each zone to another; the bounds add 5 to 10%.
        expect([calls <= 66, zoneDigests <= 6 * 126, crossZoneDigests <= 3 * 63]).toEqual([true, true, true]);
        const elapsed = await measurePropagation(cluster, 2, 2_000);
        expect(elapsed <= 2_000).toEqual(true);
        t.diagnostic(
            `result: per minute in 3 zones of 3 hosts: ${calls} store calls, ${zoneDigests} digests within zones, `
                + `${crossZoneDigests} between zones; change in effect after ${elapsed} ms`,
        );
    });

    it("moves the store watch when the watcher crashes or loses the store, and back after its recovery", async t => {
        const cluster = await startCluster();
        const [first, second] = cluster.listZoneNodes("z0") as [RelayNode, RelayNode];
        first.isCrashed = true;
        first.driver.stop();
        second.store.isPartitioned = true;
        const afterCrashMs = await measurePropagation(cluster, 2);
        expect(afterCrashMs <= targetMs).toEqual(true);
        await cluster.clock.advance(10_000);
        expect(listWatchers(cluster)).toEqual(["z0-h2", "z1-h0", "z2-h0"]);
        first.isCrashed = false;
        second.store.isPartitioned = false;
        cluster.restart(first);
        await cluster.clock.advance(10_000);
        expect(listWatchers(cluster)).toEqual(["z0-h0", "z1-h0", "z2-h0"]);
        first.store.isPartitioned = true;
        const afterStoreLossMs = await measurePropagation(cluster, 3);
        expect(afterStoreLossMs <= targetMs).toEqual(true);
        t.diagnostic(
            `result: in effect after ${afterCrashMs} ms when the watcher crashed, ${afterStoreLossMs} ms when it lost the store`,
        );
    });

    // Guards against keys that count as stale in a zone that can still learn of changes through another zone.
    it("keeps a zone without access to the store current and fresh through other zones", async t => {
        const cluster = await startCluster({ zoneCount: 12, hostsPerZone: 2 });
        cluster.listZoneNodes("z3").forEach(node => node.store.isPartitioned = true);
        cluster.partitions.add("z3/z0").add("z3/z1").add("z3/z5");
        await cluster.clock.advance(60_000);
        const ages = cluster.listZoneNodes("z3").map(node => node.replica.getConfirmationAge());
        expect(Math.max(...ages) <= 20_000).toEqual(true);
        const elapsed = await measurePropagation(cluster, 2);
        expect(elapsed <= targetMs).toEqual(true);
        t.diagnostic(
            `result: change in effect after ${elapsed} ms, confirmation ages ${ages.map(Math.round).join(", ")} ms`,
        );
    });

    // Guards against a revoked key that stays valid in a zone that is cut off from the store and from all other zones.
    it("becomes stale in a zone that is cut off from the store and all zones, and recovers", async () => {
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

    // Guards against entry processes that depend on the store or on the relays of their zone.
    it("keeps a process that only pulls current, even after the relays of its zone crash", async t => {
        const cluster = await startCluster();
        const pullOnlyNode = cluster.addPullOnlyNode("z1-entry", "z1");
        await cluster.clock.advance(5_000);
        const withRelaysMs = await measurePropagation(cluster, 2, 2_000);
        expect(withRelaysMs <= 2_000).toEqual(true);
        cluster.listZoneNodes("z1").filter(node => node !== pullOnlyNode).forEach(node => {
            node.isCrashed = true;
            node.driver.stop();
        });
        const withoutRelaysMs = await measurePropagation(cluster, 3);
        expect(withoutRelaysMs <= targetMs).toEqual(true);
        await cluster.clock.advance(40_000);
        expect([pullOnlyNode.replica.isFresh(30_000), pullOnlyNode.store.callCount]).toEqual([true, 0]);
        t.diagnostic(
            `result: in effect after ${withRelaysMs} ms, and ${withoutRelaysMs} ms without the relays of the zone`,
        );
    });

    it("loads the configuration from peers while the store is down, and is not ready without them", async () => {
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
        // The store has not confirmed any revision for longer than the staleness bound.
        expect(node.replica.isFresh(30_000)).toEqual(false);
    });

    it("reads the range again when the store has compacted its revision, and reports a store that lost writes", async () => {
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

    // Guards against a sequence of faults that reverts the configuration or lets an outdated one count as fresh.
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
                `result: ${cluster.acceptedWrites.length} writes, in effect on every host ${elapsed} ms after the last`,
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
    const zonePair = `z${random.getInteger(3)}/z${random.getInteger(3)}`;
    const actions: (() => unknown)[] = [
        () => cluster.write(step + 2),
        () => cluster.write(step + 2),
        () => node.store.isPartitioned = !node.store.isPartitioned,
        () => cluster.store.data.isDown = random.getFloat() < 0.3,
        () => cluster.partitions.has(zonePair) ? cluster.partitions.delete(zonePair) : cluster.partitions.add(zonePair),
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

/** Checks that a node never goes back, shows what was written, and has all writes before the time of its confirmation. */
function verifyNode(cluster: RelayCluster, node: RelayNode, newestRevisions: Map<RelayNode, number>): void {
    const revision = node.replica.revision ?? 0;
    expect(revision >= (newestRevisions.get(node) ?? 0)).toEqual(true);
    newestRevisions.set(node, revision);
    const expectedWrite = cluster.acceptedWrites.findLast(write => write.revision <= revision);
    expect(node.replica.view.findTeam("quotes")?.spec.weight).toEqual(expectedWrite?.weight);
    const confirmedAt = cluster.clock.getNow() - node.replica.getConfirmationAge();
    const confirmedWrite = cluster.acceptedWrites.findLast(write => write.at < confirmedAt);
    expect(revision >= (confirmedWrite?.revision ?? 0)).toEqual(true);
}
