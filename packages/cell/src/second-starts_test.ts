import { expect } from "earl";
import { describe, it } from "node:test";
import { rosterKey } from "./store-keys.js";
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

describe("an owner that is stopped while it still reads the stored jobs", () => {
    for (const isDraining of [false, true]) {
        const name = isDraining ? "a leaving executor" : "an executor";
        it(`leaves ${name} in the roster that runs tasks, so that its successor waits for them`, async () => {
            // Guards against second starts after two takeovers in a row.
            const cell = new CellSimulation({
                hosts: 3,
                executors: 3,
                planRun: () => ({ workMs: 9_000, outcome: "done" }),
            });
            await cell.advance(2_000);
            void cell.submit(cell.hosts[0]!, "j", [{ taskCount: 3, estimateMs: 9_000 }]);
            await cell.advance(500);
            const index = cell.executors.findIndex(executor => executor.runningCount > 0);
            const { address } = cell.executors[index]!.options;
            // Jobs without room, so that reading all jobs takes longer than reading the entries.
            const resources = { cpuMillis: 9_000, memoryMb: 1, accelerators: 0 };
            for (let job = 0; job < 20; job++) {
                void cell.submit(cell.hosts[0]!, `waiting${job}`, [{ resources }]);
            }
            cell.putExecutorEntry(index, isDraining);
            await cell.advance(700);
            cell.data.pageSize = 1;
            cell.hosts.forEach(host => {
                host.store.latencyMs = 60;
            });
            void cell.owner!.resign();
            await cell.advanceUntil(() => cell.owner !== undefined, 3_000);
            const second = cell.owner!;
            const isListed = () => cell.data.items.get(rosterKey)!.value.includes(address);
            await cell.advanceUntil(() => !isListed() || findLines(cell, "cell recovered").length > 1, 1_000);
            expect(isListed()).toEqual(true);
            cell.hosts.filter(host => host !== second).forEach(host => host.connector.unreachable.add(address));
            second.kill();
            await cell.advance(5_000);
            cell.close();
            expect(cell.checker.violations).toEqual([]);
        });
    }
});

describe("an owner that is closed while it reads the stored jobs", () => {
    it("takes over no runs and reports no states of jobs", async () => {
        // Guards against two hosts that act on the same jobs, and against states that are older than those of the new owner.
        const cell = new CellSimulation({
            hosts: 3,
            executors: 1,
            planRun: () => ({ workMs: 9_000, outcome: "done" }),
        });
        await cell.advance(2_000);
        void cell.submit(cell.hosts[0]!, "j", [{ taskCount: 2, estimateMs: 9_000 }]);
        await cell.advance(500);
        cell.data.pageSize = 1;
        cell.hosts.forEach(host => {
            host.store.latencyMs = 60;
        });
        const first = cell.owner!;
        first.kill();
        await cell.advanceUntil(() => cell.owner !== undefined, 4_000);
        await cell.advance(20);
        cell.hosts.forEach(host => host.kill());
        cell.states.clear();
        await cell.advance(2_000);
        expect(findLines(cell, "run taken over")).toEqual([]);
        expect([...cell.states]).toEqual([]);
    });
});
