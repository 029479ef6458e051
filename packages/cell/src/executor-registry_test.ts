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

const waysToLeave: readonly { name: string; leave: (cell: CellSimulation) => void; }[] = [
    { name: "its entry is gone", leave: cell => cell.removeExecutorEntry(1) },
    { name: "it drains", leave: cell => cell.putExecutorEntry(1, true) },
    { name: "its entry cannot be read", leave: cell => cell.putEntry("1", JSON.stringify({ index: undefined })) },
];

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

    describe("an owner that is closed while it reads the roster", () => {
        it("opens no sessions", async () => {
            // Guards against sessions that are never closed: refused by a later owner, they end each later term of their host.
            const cell = new CellSimulation({ hosts: 2, executors: 2 });
            await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
            await cell.advance(2_000);
            cell.hosts.forEach(host => {
                host.store.latencyMs = 60;
            });
            const first = cell.owner!;
            first.kill();
            await cell.advanceUntil(() => cell.owner !== undefined, 4_000);
            await cell.advance(20);
            const second = cell.owner!;
            second.kill();
            const opened: string[] = [];
            const open = second.connector.open.bind(second.connector);
            second.connector.open = entry => {
                opened.push(entry.executor);
                return open(entry);
            };
            await cell.advance(2_000);
            cell.close();
            expect(opened).toEqual([]);
        });
    });

    describe("an order of an owner that was closed meanwhile", () => {
        it("does not end the present term of its host when an executor refuses it", async () => {
            // Guards against a host that gives up the cell for an order of its earlier term.
            const cell = new CellSimulation({ hosts: 1, executors: 1 });
            await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
            const host = cell.owner!;
            const { executor } = cell.executors[0]!.options;
            const earlier = host.owner!;
            earlier.onFenced(executor);
            await cell.advanceUntil(() => host.owner !== undefined, 5_000);
            const present = host.owner!;
            expect(present !== undefined && present !== earlier).toEqual(true);
            earlier.onFenced(executor);
            const isKept = host.owner === present;
            cell.close();
            expect(isKept).toEqual(true);
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

    describe("an executor that leaves and still answers", () => {
        for (const { name, leave } of waysToLeave) {
            it(`gets no work under this owner or the next one (${name})`, async () => {
                // Guards against executors that are used again after a takeover because the stored roster lists them.
                const cell = new CellSimulation({
                    hosts: 2,
                    executors: 2,
                    planRun: () => ({ workMs: 60_000, outcome: "done" }),
                });
                await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
                await cell.advance(2_000);
                leave(cell);
                cell.owner!.kill();
                await cell.advanceUntil(() => cell.owner !== undefined, 5_000);
                const submitted = cell.submit(cell.owner!, "a", [{ taskCount: 6, estimateMs: 60_000 }]);
                await cell.advance(6_000);
                expect((await submitted).ok).toEqual(true);
                expect(cell.executors.map(executor => executor.runningCount)).toEqual([tasksPerExecutor, 0]);
                // Nothing but the entry keeps the executor from being used.
                cell.putExecutorEntry(1);
                await cell.advance(3_000);
                expect(cell.executors[1]!.runningCount).toEqual(2);
                leave(cell);
                await cell.advance(3_000);
                void cell.submit(cell.owner!, "b", [{ taskCount: 2, estimateMs: 60_000 }]);
                await cell.advance(3_000);
                expect(cell.executors[1]!.runningCount <= 2).toEqual(true);
                expect(cell.checker.startCount).toEqual(6);
                cell.close();
            });
        }
    });
});
