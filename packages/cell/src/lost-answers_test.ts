import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";

const longRun = { workMs: 60_000, outcome: "done" } as const;

async function openCell(): Promise<CellSimulation> {
    const cell = new CellSimulation({ hosts: 1, executors: 1, planRun: () => longRun });
    expect(await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000)).toEqual(true);
    await cell.advance(1_000);
    return cell;
}

/** Constants of `ExecutorSession` and `CellOwner`, ms, and the inaccuracy of clocks. */
const renewalMs = 1_000 + 700;
const retryMs = 250;
const leaseMs = 4_500;
const clockRate = 0.02;
/**
 * Longest time for which a run can go on after the first answer was lost: the renewal in flight and the one after it fail,
 * until then starts extend the lease, and no later call does.
 */
const maxUnansweredMs = 2 * renewalMs + retryMs + leaseMs * (1 + 2 * clockRate);

describe("an executor whose answers are lost", () => {
    it("keeps no run for longer than its lease after the owner has missed two renewals, if no stop reaches it", async () => {
        // Guards against renewals that keep runs alive of which the owner gets no listing.
        const cell = await openCell();
        void cell.submit(cell.owner!, "a", [{ taskCount: 2, estimateMs: 60_000 }]);
        await cell.advanceUntil(() => cell.checker.startCount === 2, 3_000);
        await cell.advance(1_500);
        const executor = cell.executors[0]!;
        executor.losesAnswers = true;
        executor.losesStops = true;
        const beganAt = cell.clock.getNow();
        let submitted = 0;
        while (cell.clock.getNow() - beganAt < maxUnansweredMs) {
            // Each start extends the lease of all runs.
            void cell.submit(cell.owner!, `b${submitted++}`, [{ estimateMs: 60_000 }]);
            await cell.advance(200);
        }
        expect(executor.runningCount).toEqual(0);
        cell.close();
    });

    it("ends the runs of a cancelled job by the first stop that it hears", async () => {
        const cell = await openCell();
        void cell.submit(cell.owner!, "a", [{ taskCount: 4, estimateMs: 60_000 }]);
        await cell.advanceUntil(() => cell.checker.startCount === 4, 3_000);
        cell.executors[0]!.losesAnswers = true;
        void cell.owner!.intake.cancel("a" as never);
        await cell.advance(200);
        expect(cell.executors[0]!.runningCount).toEqual(0);
        cell.close();
    });

    describe("a start without an answer", () => {
        for (const mode of ["isDelayingOrders", "losesAnswers"] as const) {
            it(`takes no room for ever if its stop is answered before it has timed out (${mode})`, async () => {
                const cell = await openCell();
                cell.executors[0]![mode] = true;
                void cell.submit(cell.owner!, "a", [{ taskCount: 4, estimateMs: 60_000 }]);
                await cell.advanceUntil(() => cell.logLines.some(line => line.includes("info start ")), 1_000);
                await cell.advance(50);
                cell.executors[0]![mode] = false;
                void cell.owner!.intake.cancel("a" as never);
                await cell.advance(10_000);
                const before = cell.checker.startCount;
                void cell.submit(cell.owner!, "b", [{ taskCount: 4, estimateMs: 60_000 }]);
                await cell.advance(3_000);
                expect(cell.checker.startCount - before).toEqual(4);
                cell.close();
            });
        }
    });
});
