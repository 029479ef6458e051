/** Measures in a simulated cell how long tasks of earlier jobs wait after the loss of the owner. */
import { CellSimulation, tasksPerExecutor } from "./cell-simulation.js";
import { toFakeAddress } from "./fake-executor.js";

/**
 * How the owner is lost. `processKilled`: its machine says that the process is gone. `machineGone`: nothing answers.
 * `stopped`: it gives the cell up. `cutOff`: it goes on without the store and the other hosts, and it alone reaches the
 * silent executors.
 */
export type OwnerLoss = "processKilled" | "machineGone" | "stopped" | "cutOff";

/** What a measurement has shown. */
export interface TakeoverTime {
    /** Time from the loss to the first start of a task that waited, ms; `Infinity` if none started in time. */
    readonly startMs: number;
    readonly violations: readonly string[];
}

const executorCount = 7;
/** The lease of owners on the operators' sites, ms. */
const leaseMs = 1_000;
const workMs = 60_000;
const maxWaitMs = 25_000;

/** Loses the owner beside the first executors, which are silent, and waits for a start on one of the others. */
export async function measureTakeover(loss: OwnerLoss, silentCount: number): Promise<TakeoverTime> {
    // The tasks that run when the owner is lost go on, so that the first start on a free slot is that of a waiting task.
    const cell = new CellSimulation({
        hosts: 3,
        executors: executorCount,
        leaseMs,
        planRun: () => ({ workMs, outcome: "done" }),
    });
    await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
    await cell.advance(1_000);
    const previous = cell.owner!;
    const slots = executorCount * tasksPerExecutor;
    void cell.submit(previous, "a", [{ taskCount: 2 * slots, estimateMs: workMs }]);
    await cell.advanceUntil(() => cell.checker.startCount === slots, 3_000);
    endOwner(cell, loss, silentCount);
    const lostAt = cell.clock.getNow();
    // An executor that restarts has room for tasks that wait.
    cell.executors.at(-1)!.kill();
    const hasStarted = await cell.advanceUntil(() => cell.checker.startCount > slots, maxWaitMs);
    const startMs = hasStarted ? cell.clock.getNow() - lostAt : Infinity;
    await cell.advance(2_000);
    const { violations } = cell.checker;
    cell.close();
    return { startMs, violations };
}

function endOwner(cell: CellSimulation, loss: OwnerLoss, silentCount: number): void {
    const previous = cell.owner!;
    const others = cell.hosts.filter(host => host !== previous);
    const silent = cell.executors.slice(0, silentCount);
    if (loss === "cutOff") {
        cell.arePeersCutOff = true;
        previous.store.mode = "silent";
        cell.executors.forEach((_, index) => {
            const isCutOff = index >= silentCount;
            (isCutOff ? [previous] : others).forEach(host => host.connector.unreachable.add(toFakeAddress(index)));
        });
        return;
    }
    silent.forEach(executor => {
        executor.isPartitioned = true;
    });
    if (loss === "stopped") {
        void previous.resign();
        return;
    }
    cell.arePeersCutOff = loss === "machineGone";
    previous.kill();
}
