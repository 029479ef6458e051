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

describe("an executor whose answers are lost", () => {
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
