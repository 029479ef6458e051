/** Random series of faults against a simulated cell, for searches over many seeds. */
import { SeededRandom } from "@waxwingroute/core";
import { CellSimulation, limitedTeam, testTeam } from "./cell-simulation.js";

export interface RandomFaultsResult {
    readonly seed: number;
    readonly violations: readonly string[];
    /** Jobs that were accepted and have not succeeded at the end. */
    readonly unfinished: readonly string[];
    readonly starts: number;
    readonly logLines: readonly string[];
}

/** Time in which faults come, ms. */
const faultMs = 25_000;
/** Time after the last fault in which everything has to finish, ms: leases, a takeover and the work. */
const calmMs = 45_000;
/** Time between actions, ms. */
const actionMs = 400;

/** Plays one series: jobs come, faults come and go, then everything is calm. */
export async function runRandomFaults(seed: number): Promise<RandomFaultsResult> {
    const random = new SeededRandom(seed);
    const cell = new CellSimulation({
        hosts: 3,
        executors: 4,
        seed,
        planRun: (task, run) => ({
            workMs: 100 + (hashText(`${task}#${run}`) % 2_500),
            // Few failures, so that no job uses up its attempts.
            outcome: hashText(`${task}!${run}`) % 40 === 0 && run % 10_000 === 1 ? "failed" : "done",
        }),
    });
    const accepted: string[] = [];
    await cell.advance(2_000);
    for (let elapsed = 0; elapsed < faultMs; elapsed += actionMs) {
        submitRandomJob(cell, random, `j${elapsed}`, accepted);
        applyRandomFault(cell, random);
        await cell.advance(actionMs);
    }
    endFaults(cell);
    await cell.advance(calmMs);
    const unfinished = accepted.filter(name => cell.getState(name) !== "succeeded");
    cell.close();
    return {
        seed,
        violations: cell.checker.violations,
        unfinished,
        starts: cell.checker.startCount,
        logLines: cell.logLines,
    };
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

/** A small text hash (FNV-1a), so that the plan of a run depends on its name alone. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
}
