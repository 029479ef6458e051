import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";

describe("CrashLog", () => {
    it("logs the runs that an executor had when it crashed and the job that is given up, and counts both", async () => {
        // Guards against crashes whose log does not tell the cause from its neighbours.
        const cell = new CellSimulation({
            hosts: 1,
            executors: 2,
            planRun: task =>
                task.startsWith("bad")
                    ? { workMs: 300, outcome: "done", crashAfterMs: 20 }
                    : { workMs: 2_000, outcome: "done" },
        });
        await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 10_000);
        void cell.submit(cell.owner!, "good", [{ taskCount: 2 }]);
        void cell.submit(cell.owner!, "bad", [{}]);
        expect(await cell.advanceUntil(() => cell.getState("bad") === "failed", 60_000)).toEqual(true);
        expect(cell.logLines.some(line => line.includes("executor crashed") && line.includes("bad.0.0.0#"))).toEqual(
            true,
        );
        expect(cell.logLines.filter(line => line.includes("job given up")).length).toEqual(1);
        const gauges = cell.owner!.owner!.waitingGauges;
        expect(gauges.jobs_given_up_for_crashes).toEqual(1);
        expect(gauges.crashed_executors! >= 3).toEqual(true);
        cell.close();
    });
});
