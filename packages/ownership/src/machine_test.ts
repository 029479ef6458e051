import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulatedCluster } from "./testing/simulated-cluster.js";
import { defaultOwnershipTimings } from "./types.js";
import type { OwnershipState } from "./types.js";

/** Creates a cluster in which host a owns the shard and b is its successor. */
function createStableCluster(): SimulatedCluster {
    const cluster = new SimulatedCluster({ seed: 3, timings: defaultOwnershipTimings, rates: [1, 1, 1] });
    cluster.queue.runUntil(6_000);
    return cluster;
}

function runFor(cluster: SimulatedCluster, durationMs: number): void {
    cluster.queue.runUntil(cluster.queue.now + durationMs);
}

function getState(cluster: SimulatedCluster, id: string): OwnershipState {
    const { state } = cluster.getHost(id);
    if (state === undefined) {
        throw new Error(`host "${id}" is not running`);
    }
    return state;
}

describe("applyOwnershipEvent", () => {
    describe("return to store mode", () => {
        // Guards against an owner that relies on the store while a later arm request has armed its successor.
        it("ignores refusals and disarm answers that are older than the last arm request", () => {
            const cluster = createStableCluster();
            cluster.setStoreReachable(false);
            runFor(cluster, 5_000);
            const a = cluster.getHost("a");
            const sequence = (getState(cluster, "a").owner?.arms.at(-1)?.sequence ?? 0) - 1;
            cluster.processEvent(a, 1, { kind: "armAnswered", answer: { epoch: 1, sequence, status: "notArmed" } });
            cluster.processEvent(a, 1, { kind: "disarmAnswered", answer: { epoch: 1, sequence, isDisarmed: true } });
            expect(getState(cluster, "a").owner?.basis as string).toEqual("consent");
        });

        // Guards against an owner that relies on its record while a takeover write in flight can still replace it.
        it("is refused by a solo successor whose takeover write may still take effect", () => {
            const cluster = createStableCluster();
            cluster.setStoreReachable(false);
            runFor(cluster, 4_000);
            cluster.disconnectHosts("a", "b");
            runFor(cluster, 6_000);
            expect(cluster.listPlacingHosts()).toEqual(["b"]);
            cluster.storeDelayRate = 1;
            cluster.setStoreReachable(true, "b");
            for (let step = 0; step < 3_000 && getState(cluster, "b").successor.soloTakeoverRevision === 0; step++) {
                runFor(cluster, 5);
            }
            const { revision, record } = getState(cluster, "b").known ?? { revision: 0, record: undefined };
            const request = {
                from: cluster.getHost("a").id,
                ownerIncarnation: record?.ownerIncarnation as never,
                successorIncarnation: getState(cluster, "b").settings.incarnation,
                epoch: 1,
                sequence: 1_000,
                revision,
            };
            cluster.processEvent(cluster.getHost("b"), 1, { kind: "disarmRequested", request });
            expect(getState(cluster, "b").successor.solo === undefined).toEqual(false);
            cluster.processEvent(cluster.getHost("b"), 1, {
                kind: "disarmRequested",
                request: { ...request, revision: revision + 1 },
            });
            expect(getState(cluster, "b").successor.solo).toEqual(undefined);
        });
    });

    // Guards against a solo host that places after others have replaced it through the store. Once its own takeover
    // write has named it as owner there, they do not need a release from it.
    it("ends a solo right when a takeover write has no known outcome for 3 s", () => {
        const cluster = createStableCluster();
        cluster.setStoreReachable(false);
        runFor(cluster, 4_000);
        cluster.stopHost(cluster.getHost("a"));
        runFor(cluster, 5_000);
        expect(cluster.listPlacingHosts()).toEqual(["b"]);
        cluster.setStoreReachable(true, "b");
        for (let step = 0; step < 1_500 && getState(cluster, "b").pending.length === 0; step++) {
            runFor(cluster, 1);
        }
        cluster.setStoreReachable(false);
        expect([getState(cluster, "b").pending.length, cluster.listPlacingHosts().join()]).toEqual([1, "b"]);
        runFor(cluster, 3_100);
        expect(cluster.listPlacingHosts()).toEqual([]);
    });

    // Guards against two successors: an armed one, and another that the record already names and that takes over
    // through the store.
    it("sends no arm request while a write that changes the successor has no answer", () => {
        const cluster = createStableCluster();
        cluster.disconnectHosts("a", "b");
        runFor(cluster, 2_600);
        cluster.storeLossRate = 1;
        runFor(cluster, 500);
        while (getState(cluster, "a").pending.every(write => write.record.successor === cluster.getHost("b").id)) {
            runFor(cluster, 10);
        }
        cluster.blockedLinks.clear();
        cluster.setStoreReachable(false);
        runFor(cluster, 5_000);
        expect(getState(cluster, "a").owner?.basis as string).toEqual("store");
        expect(getState(cluster, "b").successor.armed).toEqual(undefined);
    });

    // Guards against an owner that resumes from a pause and places before it has listed what runs.
    it("recovers again after its right has expired, also when the answer to a renewal arrives first", () => {
        const cluster = createStableCluster();
        cluster.stopHost(cluster.getHost("b"));
        cluster.stopHost(cluster.getHost("c"));
        const { generation } = getState(cluster, "a");
        cluster.getHost("a").pausedUntil = cluster.queue.now + 4_000;
        runFor(cluster, 4_900);
        expect(cluster.listPlacingHosts()).toEqual([]);
        expect(getState(cluster, "a").right?.generation).toEqual(generation + 1);
        runFor(cluster, 500);
        expect(cluster.listPlacingHosts()).toEqual(["a"]);
    });

    // Guards against an arm request that was delayed and arms the successor long after it was sent.
    it("refuses an arm request that echoes an old heartbeat", () => {
        const cluster = createStableCluster();
        const b = getState(cluster, "b");
        const [oldest] = b.recentHeartbeats;
        runFor(cluster, 2_000);
        cluster.processEvent(cluster.getHost("b"), 1, {
            kind: "armRequested",
            request: {
                from: cluster.getHost("a").id,
                ownerIncarnation: getState(cluster, "a").settings.incarnation,
                successorIncarnation: b.settings.incarnation,
                epoch: 1,
                sequence: 1,
                revision: 1_000,
                echo: oldest?.number ?? 0,
                sinceRenewalMs: 0,
            },
        });
        expect(getState(cluster, "b").successor.armed).toEqual(undefined);
    });
});
