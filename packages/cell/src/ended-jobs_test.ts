import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation, limitedTeam } from "./testing/cell-simulation.js";

const longRun = { workMs: 30_000, outcome: "done" } as const;
/** Number of tasks that the limit of the team allows. */
const maxTasks = 8;

describe("the runs of a job that has ended", () => {
    describe("count toward the limit of their team under the next owner", () => {
        for (const fault of ["losesStops", "isPartitioned"] as const) {
            it(`while executors hold them (${fault})`, async () => {
                // Guards against a team that runs more than its limit, because the end of a job did not name its team.
                const cell = new CellSimulation({ hosts: 2, executors: 4, planRun: () => longRun });
                expect(await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000))
                    .toEqual(true);
                await cell.advance(1_000);
                const previous = cell.owner!;
                void cell.submit(previous, "old", [{ taskCount: maxTasks, estimateMs: 30_000 }], limitedTeam);
                await cell.advanceUntil(() => cell.checker.startCount === maxTasks, 2_000);
                const holders = cell.executors.filter(executor => executor.runningCount > 0);
                expect(holders.length).toEqual(2);
                holders.forEach(executor => {
                    executor[fault] = true;
                });
                void previous.intake.cancel("old" as never);
                expect(await cell.advanceUntil(() => cell.getState("old") === "cancelled", 1_000)).toEqual(true);
                previous.kill();
                await cell.advanceUntil(() => cell.owner !== undefined, 3_000);
                void cell.submit(cell.owner!, "new", [{ taskCount: maxTasks, estimateMs: 30_000 }], limitedTeam);
                await cell.advance(20_000);
                holders.forEach(executor => {
                    executor[fault] = false;
                });
                await cell.advance(3_000);
                expect(cell.checker.violations).toEqual([]);
                // Nothing stays charged once the runs have ended.
                expect(cell.checker.startCount).toEqual(2 * maxTasks);
                cell.close();
            });
        }
    });
});
