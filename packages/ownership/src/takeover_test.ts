import { expect } from "earl";
import { describe, it } from "node:test";
import type { TestContext } from "node:test";
import { SimulatedCluster } from "./testing/simulated-cluster.js";
import { defaultOwnershipTimings } from "./types.js";

const timings = { ...defaultOwnershipTimings, pairBoundMs: 60_000 };

/** Creates a cluster in which host a owns the shard and b is its successor. */
function createStableCluster(seed = 7): SimulatedCluster {
    const cluster = new SimulatedCluster({ seed, timings, rates: [1, 1.01, 1] });
    cluster.queue.runUntil(6_000);
    expect(cluster.listPlacingHosts()).toEqual(["a"]);
    expect(cluster.record?.record.successor as string).toEqual("b");
    return cluster;
}

/** Runs the cluster for `durationMs` and returns for how long no host could place, and who can place at the end. */
function measureGap(
    cluster: SimulatedCluster,
    durationMs: number,
): { readonly gapMs: number; readonly placing: string; } {
    const end = cluster.queue.now + durationMs;
    let gapMs = 0;
    while (cluster.queue.now < end) {
        cluster.queue.runUntil(cluster.queue.now + 5);
        gapMs += cluster.listPlacingHosts().length === 0 ? 5 : 0;
    }
    expect(cluster.violations).toEqual([]);
    return { gapMs, placing: cluster.listPlacingHosts().join() };
}

interface ExpectedGap {
    readonly placing: string;
    readonly leastMs: number;
    readonly mostMs: number;
}

/** Checks with 10 seeds who may place 20 s after a change, and for how long no host may place until then. */
function checkGap(t: TestContext, applyChange: (cluster: SimulatedCluster) => void, expected: ExpectedGap): void {
    const gaps: number[] = [];
    for (let seed = 1; seed <= 10; seed++) {
        const cluster = createStableCluster(seed);
        applyChange(cluster);
        const measured = measureGap(cluster, 20_000);
        expect(measured.placing).toEqual(expected.placing);
        gaps.push(measured.gapMs);
    }
    const least = Math.min(...gaps);
    const most = Math.max(...gaps);
    t.diagnostic(`result: no host may place for ${least} to ${most} ms`);
    expect([least >= expected.leastMs, most <= expected.mostMs]).toEqual([true, true]);
}

// Each test guards the columns "who may place" and "gap" of a row of the table in docs/design.md, section 2.1.
describe("who may place", () => {
    describe("with the store up", () => {
        it("is the owner without a gap when the successor crashes", t => {
            checkGap(t, cluster => {
                cluster.stopHost(cluster.getHost("b"));
            }, { placing: "a", leastMs: 0, mostMs: 0 });
        });

        it("is the successor after 3 to 5 s when the owner crashes", t => {
            checkGap(t, cluster => {
                cluster.stopHost(cluster.getHost("a"));
            }, { placing: "b", leastMs: 3_000, mostMs: 5_000 });
        });

        it("is the successor when the owner is paused, whose right lasts for 2 to 3 s more", t => {
            checkGap(t, cluster => {
                cluster.getHost("a").pausedUntil = cluster.queue.now + 10_000;
            }, { placing: "b", leastMs: 1_000, mostMs: 3_000 });
        });

        it("is nobody when owner and successor crash, until the restarted successor gives a release", t => {
            checkGap(t, cluster => {
                cluster.stopHost(cluster.getHost("a"));
                cluster.stopHost(cluster.getHost("b"));
                expect(measureGap(cluster, 40_000).placing).toEqual("");
                cluster.startHost(cluster.getHost("b"));
            }, { placing: "c", leastMs: 3_000, mostMs: 6_000 });
        });

        it("is a third host after the pair bound when owner and successor crash", () => {
            const cluster = createStableCluster();
            cluster.stopHost(cluster.getHost("a"));
            cluster.stopHost(cluster.getHost("b"));
            expect(measureGap(cluster, 60_000).placing).toEqual("");
            expect(measureGap(cluster, 5_000).placing).toEqual("c");
        });

        it("is a third host after force-release when owner and successor crash", t => {
            checkGap(t, cluster => {
                cluster.stopHost(cluster.getHost("a"));
                cluster.stopHost(cluster.getHost("b"));
                measureGap(cluster, 10_000);
                cluster.processEvent(cluster.getHost("c"), 1, { kind: "forceRelease" });
            }, { placing: "c", leastMs: 1_000, mostMs: 2_500 });
        });

        it("is the new owner at most 2 s after a graceful handover", t => {
            checkGap(t, cluster => {
                cluster.processEvent(cluster.getHost("a"), 1, { kind: "handOver" });
            }, { placing: "b", leastMs: 1_000, mostMs: 2_000 });
        });

        it("is nobody, and then the successor, when the owner cannot reach the store during a handover", () => {
            const cluster = createStableCluster();
            cluster.setStoreReachable(false, "a");
            cluster.processEvent(cluster.getHost("a"), 1, { kind: "handOver" });
            expect(cluster.listPlacingHosts()).toEqual([]);
            expect(measureGap(cluster, 10_000).placing).toEqual("b");
        });
    });

    describe("with the store down", () => {
        it("is the owner by consents after a gap below 1 s, and without a gap when the store returns", t => {
            checkGap(t, cluster => {
                cluster.setStoreReachable(false);
            }, { placing: "a", leastMs: 0, mostMs: 1_000 });
            checkGap(t, cluster => {
                cluster.setStoreReachable(false);
                measureGap(cluster, 20_000);
                cluster.setStoreReachable(true);
            }, { placing: "a", leastMs: 0, mostMs: 0 });
        });

        it("is the armed successor 2 to 4 s after the owner crashes", t => {
            checkGap(t, cluster => {
                cluster.setStoreReachable(false);
                measureGap(cluster, 5_000);
                cluster.stopHost(cluster.getHost("a"));
            }, { placing: "b", leastMs: 2_000, mostMs: 4_000 });
        });

        // Guards against an outage that outlasts that of the store because the takeover is not recorded afterwards.
        it("is the armed successor, which records its takeover when the store returns", t => {
            checkGap(t, cluster => {
                cluster.setStoreReachable(false);
                measureGap(cluster, 5_000);
                cluster.stopHost(cluster.getHost("a"));
                measureGap(cluster, 10_000);
                cluster.setStoreReachable(true);
                measureGap(cluster, 5_000);
                expect(cluster.record?.record.owner as string).toEqual("b");
            }, { placing: "b", leastMs: 0, mostMs: 0 });
        });

        it("is nobody when the owner crashes before it has armed its successor, until the store returns", () => {
            const cluster = createStableCluster();
            cluster.setStoreReachable(false);
            cluster.stopHost(cluster.getHost("a"));
            expect(measureGap(cluster, 30_000).placing).toEqual("");
            cluster.setStoreReachable(true);
            expect(measureGap(cluster, 5_000).placing).toEqual("b");
        });

        // Guards against an owner that relies on the store again while its armed successor could be solo.
        it("is nobody after the last consent until a crashed successor restarts, with or without the store", () => {
            const cluster = createStableCluster();
            cluster.setStoreReachable(false);
            measureGap(cluster, 5_000);
            cluster.stopHost(cluster.getHost("b"));
            expect(measureGap(cluster, 5_000).placing).toEqual("");
            cluster.setStoreReachable(true);
            expect(measureGap(cluster, 20_000).placing).toEqual("");
            cluster.startHost(cluster.getHost("b"));
            expect(measureGap(cluster, 3_000).placing).toEqual("a");
        });

        it("is nobody when owner and successor crash, until the store returns and one of them restarts", () => {
            const cluster = createStableCluster();
            cluster.setStoreReachable(false);
            cluster.stopHost(cluster.getHost("a"));
            cluster.stopHost(cluster.getHost("b"));
            expect(measureGap(cluster, 20_000).placing).toEqual("");
            cluster.startHost(cluster.getHost("b"));
            cluster.setStoreReachable(true);
            expect(measureGap(cluster, 8_000).placing).toEqual("c");
        });

        it("is still the owner when only a third host reaches the store", t => {
            checkGap(t, cluster => {
                cluster.setStoreReachable(false, "a", "b");
            }, { placing: "a", leastMs: 0, mostMs: 1_000 });
        });
    });
});
