import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";

const findLines = (cell: CellSimulation, message: string): Record<string, unknown>[] =>
    cell.logLines.filter(line => line.includes(` ${message} {`))
        .map(line => JSON.parse(line.slice(line.indexOf("{"))) as Record<string, unknown>);

describe("the log lines about second starts", () => {
    it("say of each start of a task with an earlier run how that run ended, by what source, and how old that is", async () => {
        // Guards against second starts that no record explains.
        const cell = new CellSimulation({
            hosts: 2,
            executors: 2,
            planRun: () => ({ workMs: 2_000, outcome: "done" }),
        });
        await cell.advance(2_000);
        void cell.submit(cell.hosts[0]!, "j", [{ taskCount: 1, estimateMs: 2_000 }]);
        await cell.advance(500);
        cell.executors.find(executor => executor.runningCount > 0)!.kill();
        await cell.advance(6_000);
        const lines = findLines(cell, "task starts again");
        cell.close();
        expect(lines.length).toEqual(1);
        expect(lines[0]!.task).toEqual("j.0.0.0");
        expect(lines[0]!.earlierRun).toEqual(1);
        expect(lines[0]!.outcome).toEqual("lost");
        expect(lines[0]!.source).toEqual("restart");
        expect(Number(lines[0]!.ageMs) < 1_000).toEqual(true);
    });

    it("say of a task that an earlier owner may have started that no executor listed it", async () => {
        const cell = new CellSimulation({ hosts: 2, executors: 1 });
        await cell.advance(2_000);
        cell.executors[0]!.isPartitioned = true;
        void cell.submit(cell.hosts[0]!, "j", [{ taskCount: 1 }]);
        await cell.advance(100);
        void cell.owner!.resign();
        await cell.advance(8_000);
        cell.executors[0]!.isPartitioned = false;
        await cell.advance(8_000);
        const sources = findLines(cell, "task starts again").map(({ outcome, source }) => [outcome, source]);
        cell.close();
        expect(sources).toEqual([["neverListed", "release"]]);
    });

    it("name the batch and revision by which acknowledged ends are stored, and what a resigning owner had not stored", async () => {
        const cell = new CellSimulation({ hosts: 2, executors: 2 });
        await cell.advance(2_000);
        void cell.submit(cell.hosts[0]!, "j", [{ taskCount: 2 }, { taskCount: 1, after: [0] }]);
        await cell.advance(3_000);
        const acknowledged = findLines(cell, "ends acknowledged");
        expect(acknowledged.length > 0).toEqual(true);
        expect(acknowledged.every(({ through, revision }) => Number(through) > 0 && Number(revision) > 0)).toEqual(
            true,
        );
        cell.data.mode = "silent";
        void cell.owner!.resign();
        await cell.advance(100);
        const closed = findLines(cell, "journal closed");
        cell.close();
        expect(closed[0]!.endsInFlight).toEqual(0);
        expect(closed[0]!.lastRevision !== undefined).toEqual(true);
    });
});
