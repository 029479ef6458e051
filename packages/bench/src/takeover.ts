/**
 * Takeovers over real processes: the owner of a shard is killed or paused while work arrives.
 */
import type { RecordsReport } from "@waxwingroute/stand-ins";
import type { DeclaredTeam } from "./process-zone.js";
import { ProcessZone } from "./process-zone.js";

export type TakeoverKind = "killed, store up" | "killed, store down 10 s" | "paused 8 s";

/** One takeover. */
export interface TakeoverResult {
    /** Longest time between two task starts that the workers recorded around the fault, in milliseconds. */
    readonly gapMs: number;
    /** Tasks that had run less than once, some time after the new owner placed again. */
    readonly lostTasks: number;
    /** Tasks that ran in two places at once. */
    readonly doubledTasks: number;
    /** Tasks that started again after they ended; allowed, because the job is safe to repeat. */
    readonly repeatedTasks: number;
    /** Reads, writes and watches from the fault until the first placement after it. */
    readonly storeCalls: number;
}

const zoneName = "glasgow";
const jobTasks = 3_000;
/**
 * Lease of tasks, shorter than the default of 60 s: a successor that has had the host list for less than one lease keeps
 * the tasks of the former owner back, and each run would take more than a minute.
 */
const leaseMs = 4_000;
/** Time with placements before the fault: longer than a lease. */
const steadyMs = 5_500;
const outageMs = 10_000;
const pauseMs = 8_000;
const settleMs = 2_000;
/** Longest time until placements go on. */
const boundMs = 30_000;
/** Tasks run for 1 s and their ends are seen within 500 ms, so that starts come in groups up to 1.5 s apart. */
const noGapMs = 1_600;

/** Runs one takeover in a zone of its own processes. */
export async function runTakeover(kind: TakeoverKind): Promise<TakeoverResult> {
    const zone = new ProcessZone({
        executors: 1,
        hasEntry: false,
        settings: { tasks: { leaseMs, renewIntervalMs: 1_000 } },
    });
    try {
        await zone.open();
        const [team] = await zone.createTeams(1);
        if (team === undefined) {
            throw new Error("no team was declared");
        }
        await submitWork(zone, team);
        await zone.awaitTrue("first placements", 15_000, async () => (await zone.readCounts()).taskRunCount > 50);
        await zone.clock.wait(steadyMs);
        return await performFault(zone, kind);
    }
    finally {
        await zone.close();
    }
}

/** Submits jobs whose tasks keep all workers busy for the whole run, so that each end is followed by a start. */
async function submitWork(zone: ProcessZone, { team, secret }: DeclaredTeam): Promise<void> {
    for (let index = 0; index < 3; index++) {
        const response = await fetch(`${zone.world.getUrl("glasgow-2", "operator")}/v1/jobs`, {
            method: "POST",
            headers: { "content-type": "application/json", "authorization": `Bearer ${secret}` },
            body: JSON.stringify({
                kind: "Job",
                name: `load-${index}`,
                spec: {
                    kind: "batch",
                    team,
                    taskCount: jobTasks,
                    resources: { cpuMillis: 4_000, memoryMb: 1_024, accelerators: 0 },
                    command: "run 1s",
                    safeToRepeat: true,
                },
            }),
        });
        if (!response.ok) {
            throw new Error(`the job was not accepted: ${await response.text()}`);
        }
    }
}

async function performFault(zone: ProcessZone, kind: TakeoverKind): Promise<TakeoverResult> {
    const owner = await zone.findOwner(zoneName);
    if (owner === undefined) {
        throw new Error("the shard has no owner before the fault");
    }
    const scheduler = `scheduler/${owner}`;
    if (kind === "killed, store down 10 s") {
        (await zone.world.applyControl({ action: "down", target: "store" })).unwrap();
        await zone.clock.wait(outageMs);
    }
    const before = await zone.readCounts();
    await (kind === "paused 8 s" ? zone.world.pauseProcess(scheduler) : zone.world.killProcess(scheduler));
    const faultAt = zone.clock.getNow();
    const after = await awaitPlacements(zone, before);
    if (kind === "paused 8 s") {
        await zone.clock.wait(Math.max(0, pauseMs - (zone.clock.getNow() - faultAt)));
        (await zone.world.resumeProcess(scheduler)).unwrap();
    }
    await zone.clock.wait(settleMs);
    return aggregateRecords(await zone.readRecords(), before, after);
}

/** Waits until the workers record starts after a gap, or until the bound. Returns the records of that moment. */
async function awaitPlacements(zone: ProcessZone, before: RecordsReport): Promise<RecordsReport> {
    let last = before;
    let count = before.taskRunCount;
    let changedAt = before.now;
    await zone.awaitTrue("placements after the fault", boundMs, async () => {
        last = await zone.readCounts();
        const hasGap = last.taskRunCount > count && last.now - changedAt > noGapMs;
        if (last.taskRunCount > count) {
            count = last.taskRunCount;
            changedAt = last.now;
        }
        return hasGap;
    });
    return last;
}

function aggregateRecords(records: RecordsReport, before: RecordsReport, after: RecordsReport): TakeoverResult {
    const starts = records.taskRuns.map(run => run.startedAt)
        .filter(startedAt => startedAt >= before.now - noGapMs)
        .sort((first, second) => first - second);
    const gaps = starts.slice(1).map((startedAt, index) => startedAt - (starts[index] ?? startedAt));
    const runs = new Map<string, number>();
    for (const run of records.taskRuns) {
        runs.set(run.task, (runs.get(run.task) ?? 0) + 1);
    }
    const countCalls = ({ store }: RecordsReport) => store.reads + store.writes + store.watches;
    const cutOff = records.now - settleMs;
    // A task that ended without success and did not start again since is lost so far.
    const lost = records.taskRuns.filter(run =>
        run.endedAt !== undefined && run.endedAt < cutOff && run.outcome !== "succeeded" && runs.get(run.task) === 1
    );
    return {
        gapMs: Math.max(0, ...gaps),
        lostTasks: lost.length,
        doubledTasks: records.tasksInTwoPlaces.length,
        repeatedTasks: [...runs.values()].filter(count => count > 1).length,
        storeCalls: countCalls(after) - countCalls(before),
    };
}
