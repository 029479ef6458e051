import { expect } from "earl";
import { describe, it } from "node:test";
import { rosterKey } from "./store-keys.js";
import { CellSimulation, tasksPerExecutor } from "./testing/cell-simulation.js";

const executorCount = 60;
/** Answer time of a store that is under load, ms. */
const storeLatencyMs = 100;
/** Time after the end of the trouble in which executors have to be used again, ms: a rule of the platform. */
const settleMs = 4_000;
const startMs = 3_000;

describe("ExecutorRegistry", () => {
    describe("many executors that do not answer for some seconds, one after another", () => {
        it("all take work again soon after they answer, however many changes of the roster there were", async () => {
            // Guards against a roster that is stored once for each change, so that executors with room get no work.
            const cell = new CellSimulation({
                hosts: 1,
                executors: executorCount,
                planRun: () => ({ workMs: 20_000, outcome: "done" }),
            });
            await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
            await cell.advance(2_000);
            cell.owner!.store.latencyMs = storeLatencyMs;
            for (const executor of cell.executors) {
                executor.isPartitioned = true;
                await cell.advance(50);
            }
            await cell.advance(6_000);
            for (const executor of cell.executors) {
                executor.isPartitioned = false;
                await cell.advance(20);
            }
            await cell.advance(settleMs);
            const taskCount = executorCount * tasksPerExecutor;
            void cell.submit(cell.owner!, "all", [{ taskCount, estimateMs: 20_000 }]);
            await cell.advance(startMs);
            expect(cell.checker.startCount).toEqual(taskCount);
            cell.close();
        });
    });

    describe("an executor that leaves while the roster that opens it is being stored", () => {
        for (const drainsAfterMs of [50, 150, 250, 350]) {
            it(`is listed as open no longer, if it drains ${drainsAfterMs} ms after it has answered`, async () => {
                // Guards against a takeover that holds all tasks back for an executor which nobody can reach.
                const cell = new CellSimulation({ hosts: 1, executors: 2 });
                cell.executors[1]!.isPartitioned = true;
                await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
                await cell.advance(2_000);
                const { store } = cell.owner!;
                const call = store.call.bind(store);
                let writes = 0;
                store.call = async (request, timeoutMs) => {
                    const isRoster = request.kind === "commit"
                        && request.transaction.writes.some(write => write.key === rosterKey);
                    writes += isRoster ? 1 : 0;
                    await cell.clock.wait(isRoster ? 500 : 0);
                    return call(request, timeoutMs);
                };
                cell.executors[1]!.isPartitioned = false;
                await cell.advanceUntil(() => writes > 0, 5_000);
                await cell.advance(drainsAfterMs);
                cell.putExecutorEntry(1, true);
                await cell.advance(2_000);
                cell.executors[1]!.kill(true);
                cell.removeExecutorEntry(1);
                await cell.advance(20_000);
                const roster = JSON.parse(cell.data.items.get(rosterKey)!.value) as { readonly executor: string; }[];
                expect(roster.map(entry => entry.executor)).toEqual(["e0"]);
                cell.close();
            });
        }
    });
});
