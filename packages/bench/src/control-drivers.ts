/**
 * The quantities that drive the cost of the control plane, each at several sizes.
 */
import type { EntryHost } from "@waxwingroute/scenario";
import type { ControlSample } from "./control-sample.js";
import { measureControl } from "./control-sample.js";
import { runLoad } from "./load-generator.js";
import type { DeclaredTeam } from "./process-zone.js";
import { ProcessZone } from "./process-zone.js";

/** One quantity and how it is set to a size. */
export interface ControlDriver {
    readonly name: string;
    readonly unit: string;
    readonly sizes: readonly number[];
    readonly measure: (size: number) => Promise<ControlSample>;
}

const warmUpMs = 4_000;
const spanMs = 8_000;
const runningSettleMs = 20_000;

export const controlDrivers: readonly ControlDriver[] = [
    { name: "workers", unit: "workers of the shard, idle", sizes: [33, 100, 300], measure: measureWorkers },
    { name: "running", unit: "running tasks on 33 workers", sizes: [100, 1_000, 3_000], measure: measureRunning },
    { name: "requests", unit: "requests/s", sizes: [50, 100, 200, 300], measure: measureRequests },
    { name: "teams", unit: "teams, idle", sizes: [6, 100, 400], measure: measureTeams },
    { name: "zones", unit: "zones of 2 hosts, idle", sizes: [1, 2, 3], measure: measureZones },
];

async function withZone(
    zone: ProcessZone,
    measure: (zone: ProcessZone) => Promise<ControlSample>,
): Promise<ControlSample> {
    try {
        await zone.open();
        return await measure(zone);
    }
    finally {
        await zone.close();
    }
}

function measureWorkers(workers: number): Promise<ControlSample> {
    return withZone(new ProcessZone({ workers, executors: 1 }), async zone => {
        await zone.clock.wait(warmUpMs);
        return measureControl(zone, spanMs);
    });
}

function measureRunning(count: number): Promise<ControlSample> {
    return withZone(new ProcessZone({ executors: 1 }), async zone => {
        const [team] = await zone.createTeams(1);
        await submitServices(zone, team as DeclaredTeam, count);
        await zone.awaitTrue(
            `${count} running tasks`,
            runningSettleMs,
            async () => (await zone.readCounts()).running.length >= count,
        );
        await zone.clock.wait(warmUpMs);
        return measureControl(zone, spanMs);
    });
}

async function submitServices(zone: ProcessZone, { team, secret }: DeclaredTeam, count: number): Promise<void> {
    const response = await fetch(`${zone.world.getUrl("glasgow-1", "operator")}/v1/jobs`, {
        method: "POST",
        headers: { "content-type": "application/json", "authorization": `Bearer ${secret}` },
        body: JSON.stringify({
            kind: "Job",
            name: "services",
            spec: {
                kind: "service",
                team,
                taskCount: count,
                resources: { cpuMillis: 100, memoryMb: 16, accelerators: 0 },
                command: "run forever",
            },
        }),
    });
    if (!response.ok) {
        throw new Error(`the job was not accepted: ${await response.text()}`);
    }
}

function measureRequests(ratePerSecond: number): Promise<ControlSample> {
    return withZone(new ProcessZone(), async zone => {
        const teams = await zone.createTeams(4);
        const owner = await zone.findOwner("glasgow") ?? "glasgow-1";
        const targets = teams.map(({ team, secret }) => ({
            url: `${zone.world.getUrl(owner, "entry")}/v1/queues/${team}/requests`,
            createHeaders: () => ({ "authorization": `Bearer ${secret}`, "content-type": "application/octet-stream" }),
            body: Buffer.alloc(64, "x"),
        }));
        const load = (durationMs: number) => runLoad({ targets, durationMs, concurrency: 500, ratePerSecond });
        await load(warmUpMs);
        return measureControl(zone, spanMs, () => load(spanMs));
    });
}

function measureTeams(count: number): Promise<ControlSample> {
    return withZone(new ProcessZone({ executors: 1 }), async zone => {
        await zone.createTeams(count);
        await zone.clock.wait(warmUpMs);
        return measureControl(zone, spanMs);
    });
}

function measureZones(count: number): Promise<ControlSample> {
    // The second zone is in the region of the first, the third in another.
    const places = [["glasgow", "scotland"], ["aberdeen", "scotland"], ["erdenet", "mongolia"]] as const;
    const hosts: readonly EntryHost[] = places.slice(0, count).flatMap(([zone, region]) => [
        { name: `${zone}-1`, zone, region },
        { name: `${zone}-2`, zone, region },
    ]);
    return withZone(new ProcessZone({ hosts, executors: 1 }), async zone => {
        await zone.clock.wait(warmUpMs);
        return measureControl(zone, spanMs);
    });
}
