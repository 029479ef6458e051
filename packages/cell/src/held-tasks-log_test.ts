import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";

describe("HeldTasksLog", () => {
    it("names the executors and earlier owners for which tasks wait after a takeover, and the end of the wait", async () => {
        // Guards against a cell that starts nothing while no line or gauge says why or until when.
        const cell = new CellSimulation({ hosts: 2, executors: 3 });
        await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 10_000);
        await cell.advance(1_000);
        cell.arePeersCutOff = true;
        const previous = cell.owner!;
        void cell.submit(previous, "a", [{ taskCount: 40 }]);
        await cell.advance(200);
        previous.kill();
        cell.executors[1]!.kill(true);
        await cell.advanceUntil(() => cell.owner !== undefined && cell.owner !== previous, 4_000);
        await cell.advance(1_000);
        const { owner } = cell.owner!;
        expect(owner!.waitingGauges.held_tasks_executors).toEqual(1);
        expect(owner!.waitingGauges.held_tasks_earlier_owners).toEqual(1);
        expect(owner!.waitingGauges.held_tasks_ms! > 900).toEqual(true);
        const line = cell.logLines.find(text => text.includes("tasks held back"));
        expect(line?.includes("\"executorNames\":\"e1\",\"earlierEpochs\":\"1\"")).toEqual(true);
        const endsInMs = Number(/"endsInMs":(\d+)/.exec(line!)![1]);
        expect(await cell.advanceUntil(() => owner!.hasReleasedAllTasks, endsInMs + 1_500)).toEqual(true);
        expect(owner!.waitingGauges.held_tasks_ms).toEqual(0);
        cell.close();
    });
});
