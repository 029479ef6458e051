/** Runs a simulated cell with random jobs and faults, to search many seeds for violations. */
import { SeededRandom } from "@waxwingroute/core";
import { CellSimulation, limitedTeam, testTeam } from "./cell-simulation.js";

/** What one seed has shown. */
export interface RandomFaultsResult {
    readonly seed: number;
    readonly violations: readonly string[];
    /** Jobs that were accepted and have not succeeded at the end. */
    readonly unfinished: readonly string[];
    readonly starts: number;
    /** Tasks that crash their executors with the number of their starts in the phase without faults. */
    readonly crashingStarts: ReadonlyMap<string, number>;
    readonly logLines: readonly string[];
}

/** Duration of the phase with faults, ms. */
const faultPhaseMs = 25_000;
/**
 * Duration of the phase without faults in which all jobs have to finish, ms: covers the expiry of leases, a takeover
 * and the remaining work.
 */
const calmPhaseMs = 45_000;
const executorsWithoutCrashes = 4;
/** A third of the smallest number that the platform plays: each crash takes one away for seconds. */
const executorsWithCrashes = 11;
/** Shortest and longest delay of writes that the store carries out late, ms. */
const minLateMs = 100;
const maxLateMs = 15_000;
/** Interval between steps of the phase with faults, each of which submits a job and applies a fault, ms. */
const actionIntervalMs = 400;

/** What a search plays beside the faults. */
export interface RandomFaultsOptions {
    /** Whether every eighth job has tasks that crash each executor that starts them. Default: no. */
    readonly hasCrashingJobs?: boolean;
}

/** Time from the start of a crashing task until its executor crashes, ms. */
const crashAfterMs = 10;

/** Runs one seed: a phase with random jobs and faults, then a phase without faults in which all jobs have to finish. */
export async function runRandomFaults(seed: number, options: RandomFaultsOptions = {}): Promise<RandomFaultsResult> {
    const random = new SeededRandom(seed);
    const crashingStarts = new Map<string, number>();
    let isCalm = false;
    const cell = new CellSimulation({
        hosts: 3,
        executors: options.hasCrashingJobs === true ? executorsWithCrashes : executorsWithoutCrashes,
        seed,
        planRun: (task, run) => ({
            crashAfterMs: recordCrashingStart(task),
            workMs: 100 + (hashText(`${task}#${run}`) % 2_500),
            // Failures are rare, so that no job uses up its attempts.
            outcome: hashText(`${task}!${run}`) % 40 === 0 && run % 10_000 === 1 ? "failed" : "done",
        }),
    });
    function recordCrashingStart(task: string): number | undefined {
        if (options.hasCrashingJobs !== true || !isCrashingJob(task.split(".")[0]!)) {
            return undefined;
        }
        crashingStarts.set(task, (crashingStarts.get(task) ?? 0) + (isCalm ? 1 : 0));
        return crashAfterMs;
    }
    const accepted: string[] = [];
    cell.hosts.forEach(host => {
        host.store.chooseLateMs = () => minLateMs * (maxLateMs / minLateMs) ** random.getFloat();
    });
    await cell.advance(2_000);
    for (let elapsed = 0; elapsed < faultPhaseMs; elapsed += actionIntervalMs) {
        submitRandomJob(cell, random, `j${elapsed}`, accepted);
        applyRandomFault(cell, random);
        await cell.advance(actionIntervalMs);
    }
    endFaults(cell);
    isCalm = true;
    await cell.advance(calmPhaseMs);
    const unfinished = accepted.filter(name =>
        cell.getState(name) !== "succeeded" && !(options.hasCrashingJobs === true && isCrashingJob(name))
    );
    cell.close();
    return {
        seed,
        violations: cell.checker.violations,
        unfinished,
        starts: cell.checker.startCount,
        crashingStarts,
        logLines: cell.logLines,
    };
}

function isCrashingJob(name: string): boolean {
    return hashText(name) % 8 === 0;
}

function submitRandomJob(cell: CellSimulation, random: SeededRandom, name: string, accepted: string[]): void {
    const host = random.pickOne(cell.hosts)!;
    const isGang = random.getInteger(4) === 0;
    const team = random.getInteger(2) === 0 ? limitedTeam : testTeam;
    const steps = [
        { taskCount: 1 + random.getInteger(4), isGang, estimateMs: 1_000 },
        ...random.getInteger(2) === 0 ? [{ taskCount: 2, after: [0], estimateMs: 1_000 }] : [],
    ];
    void cell.submit(host, name, steps, team).then(result => {
        if (result.ok) {
            accepted.push(name);
        }
    });
}

function applyRandomFault(cell: CellSimulation, random: SeededRandom): void {
    const host = random.pickOne(cell.hosts)!;
    const executor = random.pickOne(cell.executors)!;
    const faults: (() => void)[] = [
        () => host.restart(),
        () => cell.owner?.restart(),
        () => void cell.owner?.resign(),
        () => {
            host.store.mode = random.pickOne(["silent", "refusing", "up"] as const)!;
        },
        () => {
            host.store.commitFault = random.pickOne(["answerLost", "late", "none"] as const)!;
        },
        () => {
            cell.data.mode = random.pickOne(["silent", "refusing", "up", "up"] as const)!;
        },
        () => cell.data.compact(),
        () => {
            cell.arePeersCutOff = !cell.arePeersCutOff;
        },
        () => {
            host.connector.isConnected = !host.connector.isConnected;
        },
        () => {
            executor.isPartitioned = !executor.isPartitioned;
        },
        () => {
            executor.isDelayingOrders = !executor.isDelayingOrders;
        },
        () => executor.kill(),
        () => endFaults(cell),
        () => endFaults(cell),
    ];
    random.pickOne(faults)!();
}

function endFaults(cell: CellSimulation): void {
    cell.data.mode = "up";
    cell.arePeersCutOff = false;
    cell.hosts.forEach(host => {
        host.store.mode = "up";
        host.store.commitFault = "none";
        host.connector.isConnected = true;
    });
    cell.executors.forEach(executor => {
        executor.isPartitioned = false;
        executor.isDelayingOrders = false;
    });
}

/** Computes an FNV-1a hash, so that the plan of a run depends only on its task and number. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
}
