/**
 * Checks that a task which was running when its executor crashed starts again where each executor runs a service, also
 * under the next owner: the crash is stored.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";

const executorCount = 4;
/** Time within which a task that can run has to start, ms: a rule of the platform. */
const startMs = 3_000;

describe("a task under which an executor crashed, where each executor runs a service", () => {
    for (const hasNextOwner of [false, true]) {
        it(`starts again in time${hasNextOwner ? ", also under the next owner" : ""}`, async () => {
            // Guards against a wait for an idle executor that nothing ends.
            const cell = new CellSimulation({
                hosts: 1,
                executors: executorCount,
                planRun: task =>
                    task.startsWith("service")
                        ? { workMs: Infinity, outcome: "done", isAvailable: true }
                        : { workMs: 500, outcome: "done" },
            });
            await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 10_000);
            const service = { taskCount: executorCount, isLongRunning: true, maxPerExecutor: 1 };
            void cell.submit(cell.owner!, "service", [service]);
            await cell.advance(3_000);
            void cell.submit(cell.owner!, "a", [{}]);
            const findExecutor = () => cell.executors.find(({ runningCount }) => runningCount === 2);
            expect(await cell.advanceUntil(() => findExecutor() !== undefined, 500)).toEqual(true);
            // It is lost for good, so that no executor is idle afterwards.
            findExecutor()!.replace();
            const isStored = () => cell.logLines.some(line => /run ended .*a\.0\.0\.0.*crashed/.test(line));
            expect(await cell.advanceUntil(isStored, 5_000)).toEqual(true);
            if (hasNextOwner) {
                await cell.advance(20);
                cell.owner!.restart();
                await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 20_000);
            }
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", startMs + 500)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });
    }
});
