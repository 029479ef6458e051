/**
 * Times until a change that an operator or an endpoint makes is in force on every host.
 */
import type { DeclaredTeam } from "./process-zone.js";
import { ProcessZone } from "./process-zone.js";

/** Milliseconds of each run. */
export interface PropagationResult {
    /** From the answer to the deletion of a key until no entry host serves it. */
    readonly keyWithdrawn: readonly number[];
    /** From the answer to a write until all programs show its revision. */
    readonly configurationChanged: readonly number[];
    /** From the moment at which a worker begins to leave until the last start on it. */
    readonly workerLeaving: readonly number[];
}

const boundMs = 15_000;
const leaveWaitMs = 3_000;

/** Runs each kind `runs` times in one zone of processes. */
export async function runPropagation(runs: number): Promise<PropagationResult> {
    const zone = new ProcessZone();
    try {
        await zone.open();
        const [team] = await zone.createTeams(1);
        if (team === undefined) {
            throw new Error("no team was declared");
        }
        const keyWithdrawn: number[] = [];
        const configurationChanged: number[] = [];
        for (let run = 0; run < runs; run++) {
            configurationChanged.push(await writeConfiguration(zone, run));
            keyWithdrawn.push(await withdrawKey(zone, team, run));
        }
        return { keyWithdrawn, configurationChanged, workerLeaving: await drainWorkers(zone, team, runs) };
    }
    finally {
        await zone.close();
    }
}

async function writeConfiguration(zone: ProcessZone, run: number): Promise<number> {
    const limit = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
    const created = await zone.create("Team", `change-${run}`, { limit });
    const version = Number(created["version"]);
    const waits = await Promise.all(
        zone.hosts.flatMap(({ name }) =>
            (["scheduler", "entry", "operator"] as const).map(program =>
                zone.awaitTrue(`revision ${version} at ${program}/${name}`, boundMs, async () => {
                    const revision = (await zone.fetchStatus(name, program))?.["revision"];
                    // A program that does not tell its revision is judged by the others of its host.
                    return revision === undefined || Number(revision) >= version;
                })
            )
        ),
    );
    return Math.max(...waits);
}

async function withdrawKey(zone: ProcessZone, { team }: DeclaredTeam, run: number): Promise<number> {
    const name = `withdrawn-${run}`;
    const secret = String((await zone.create("Key", name, { team }))["secret"]);
    const isServed = async (host: string) => {
        const response = await fetch(`${zone.world.getUrl(host, "entry")}/v1/queues/${team}/requests`, {
            method: "POST",
            headers: { authorization: `Bearer ${secret}` },
            body: "x",
        });
        await response.arrayBuffer();
        return response.status === 200;
    };
    const hosts = zone.hosts.map(host => host.name);
    await Promise.all(hosts.map(host => zone.awaitTrue("key in force", boundMs, () => isServed(host))));
    await fetch(`${zone.world.getUrl(hosts[0] ?? "", "operator")}/v1/keys/${name}`, { method: "DELETE" });
    const waits = await Promise.all(
        hosts.map(host => zone.awaitTrue("key withdrawn", boundMs, async () => !await isServed(host))),
    );
    return Math.max(...waits);
}

/** Lets workers leave one after the other while short tasks arrive everywhere. */
async function drainWorkers(zone: ProcessZone, { team, secret }: DeclaredTeam, runs: number): Promise<number[]> {
    const response = await fetch(`${zone.world.getUrl("glasgow-1", "operator")}/v1/jobs`, {
        method: "POST",
        headers: { "content-type": "application/json", "authorization": `Bearer ${secret}` },
        body: JSON.stringify({
            kind: "Job",
            name: "drain-load",
            spec: {
                kind: "batch",
                team,
                taskCount: 10_000,
                resources: { cpuMillis: 8_000, memoryMb: 64, accelerators: 0 },
                command: "run 500ms",
                safeToRepeat: true,
            },
        }),
    });
    if (!response.ok) {
        throw new Error(`the job was not accepted: ${await response.text()}`);
    }
    await zone.awaitTrue("placements", boundMs, async () => (await zone.readCounts()).taskRunCount > 100);
    const workers = zone.world.addresses.workers.slice(0, runs).map(({ worker }) => worker);
    const startedAt = new Map<string, number>();
    for (const worker of workers) {
        startedAt.set(worker, (await zone.readCounts()).now);
        (await zone.world.applyControl({ action: "drain", target: worker, isDraining: true })).unwrap();
        await zone.clock.wait(50);
    }
    await zone.clock.wait(leaveWaitMs);
    const { taskRuns } = await zone.readRecords();
    const leavingAt = Math.max(...startedAt.values());
    // Without starts elsewhere, the absence of starts on the leaving workers would show nothing.
    if (!taskRuns.some(run => run.startedAt > leavingAt + 1_000 && !startedAt.has(run.worker))) {
        throw new Error("no task started on the workers that stayed");
    }
    return workers.map(worker => {
        const from = startedAt.get(worker) ?? 0;
        const starts = taskRuns.filter(run => run.worker === worker && run.startedAt > from);
        return Math.max(0, ...starts.map(run => run.startedAt - from));
    });
}
