import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";

describe("WaitingLog", () => {
    it("logs and counts a step whose tasks could start and wait for executors that do not answer", async () => {
        const cell = new CellSimulation({ hosts: 1, executors: 2 });
        await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 10_000);
        cell.executors.forEach(executor => {
            executor.isPartitioned = true;
        });
        await cell.advance(4_000);
        void cell.submit(cell.owner!, "a", [{}]);
        await cell.advance(4_000);
        const lines = cell.logLines.filter(line => line.includes("step waits"));
        expect(lines.length > 0 && lines.every(line => line.includes("\"reason\":\"executorsUnreachable\""))).toEqual(
            true,
        );
        expect(cell.owner!.owner!.waitingGauges.waiting_steps_executors_unreachable).toEqual(1);
        cell.executors.forEach(executor => {
            executor.isPartitioned = false;
        });
        await cell.advance(4_000);
        expect(cell.getState("a")).toEqual("succeeded");
        expect(cell.owner!.owner!.waitingGauges.waiting_steps_executors_unreachable).toEqual(0);
        cell.close();
    });
});
