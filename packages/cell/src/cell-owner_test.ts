import { expect } from "earl";
import { describe, it } from "node:test";
import type { CellSimulationOptions } from "./testing/cell-simulation.js";
import { CellSimulation, limitedTeam } from "./testing/cell-simulation.js";
import { toFakeAddress } from "./testing/fake-executor.js";

async function openCell(options: Partial<CellSimulationOptions> = {}): Promise<CellSimulation> {
    const cell = new CellSimulation({ hosts: 2, executors: 3, ...options });
    const hasOwner = await cell.advanceUntil(() => cell.owner?.owner?.isSettled === true, 5_000);
    expect(hasOwner).toEqual(true);
    await cell.advance(1_000);
    return cell;
}

describe("CellOwner", () => {
    describe("without faults", () => {
        it("runs the steps of a job in order and shows it as succeeded", async () => {
            const cell = await openCell();
            void cell.submit(cell.hosts[1]!, "a", [{ taskCount: 3 }, { taskCount: 2, after: [0] }]);
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 5_000)).toEqual(true);
            expect(cell.checker.startCount).toEqual(5);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("cancels a job that runs, so that nothing of it stays on an executor", async () => {
            const cell = await openCell({ planRun: () => ({ workMs: 60_000, outcome: "done" }) });
            void cell.submit(cell.hosts[0]!, "a", [{ taskCount: 3, estimateMs: 60_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 3, 3_000);
            void cell.hosts[1]!.intake.cancel("a" as never);
            expect(await cell.advanceUntil(() => cell.getState("a") === "cancelled", 3_000)).toEqual(true);
            await cell.advance(1_000);
            expect(cell.executors.map(executor => executor.runningCount)).toEqual([0, 0, 0]);
            cell.close();
        });

        it("fails a job after its last attempt and starts no further run", async () => {
            const cell = await openCell({ planRun: () => ({ workMs: 100, outcome: "failed" }) });
            void cell.submit(cell.hosts[0]!, "a", [{}]);
            expect(await cell.advanceUntil(() => cell.getState("a") === "failed", 20_000)).toEqual(true);
            await cell.advance(3_000);
            expect(cell.checker.startCount).toEqual(3);
            cell.close();
        });
    });

    describe("a takeover", () => {
        it("does not run a done task again whose end came after one that was not stored", async () => {
            // Guards against acknowledging ends out of order: an end that is stored at once, because its job has ended,
            // followed one that the outage kept from being stored, and both were forgotten by the executor.
            const cell = await openCell({
                executors: 1,
                planRun: task => ({ workMs: task.startsWith("slow") ? 30_000 : 600, outcome: "done" }),
            });
            const host = cell.owner!;
            void cell.submit(host, "long", [{ taskCount: 1 }, { taskCount: 1, after: [0], estimateMs: 30_000 }]);
            void cell.submit(host, "slow", [{ taskCount: 1, estimateMs: 30_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 2, 2_000);
            void host.intake.cancel("slow" as never);
            await cell.advance(150);
            cell.data.mode = "silent";
            await cell.advance(3_000);
            host.kill();
            cell.data.mode = "up";
            await cell.advance(15_000);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("starts within 2.5 s of the owner's death", async () => {
            const cell = await openCell();
            const dead = cell.owner!;
            dead.kill();
            const other = cell.hosts.find(host => host !== dead)!;
            const before = cell.checker.startCount;
            void cell.submit(other, "a", [{}]);
            expect(await cell.advanceUntil(() => cell.checker.startCount > before, 2_500)).toEqual(true);
            cell.close();
        });

        it("leaves jobs accepted after it to itself, though the deposed owner hears of them", async () => {
            // Guards against an owner that lost its lease in an outage of its own way to the store and goes on: executors that
            // have not heard from the next owner take its orders, and the next owner starts newer jobs at once.
            const cell = await openCell({ planRun: () => ({ workMs: 3_000, outcome: "done" }) });
            const deposed = cell.owner!;
            const next = cell.hosts.find(host => host !== deposed)!;
            deposed.store.mode = "silent";
            next.connector.unreachable.add(toFakeAddress(0));
            expect(await cell.advanceUntil(() => next.owner !== undefined, 4_000)).toEqual(true);
            void cell.submit(next, "newer", [{ taskCount: 3 }]);
            await cell.advance(500);
            next.connector.unreachable.clear();
            expect(await cell.advanceUntil(() => cell.getState("newer") === "succeeded", 15_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("keeps a team within its limit while an executor that may run its tasks is silent", async () => {
            // Guards against counting only what reachable executors list: the tasks on the silent one run on, and newer jobs
            // of the team start elsewhere.
            const cell = await openCell({
                executors: 4,
                planRun: () => ({ workMs: 4_000, outcome: "done" }),
            });
            const dead = cell.owner!;
            void cell.submit(dead, "old", [{ taskCount: 8, estimateMs: 4_000 }], limitedTeam);
            await cell.advanceUntil(() => cell.checker.startCount === 8, 2_000);
            cell.executors.find(executor => executor.runningCount === 4)!.isPartitioned = true;
            dead.kill();
            const other = cell.hosts.find(host => host !== dead)!;
            await cell.advanceUntil(() => cell.owner === other, 3_000);
            void cell.submit(other, "new", [{ taskCount: 12, estimateMs: 4_000 }], limitedTeam);
            await cell.advance(10_000);
            expect(cell.checker.violations).toEqual([]);
            cell.executors.forEach(executor => {
                executor.isPartitioned = false;
            });
            expect(await cell.advanceUntil(() => cell.getState("new") === "succeeded", 20_000)).toEqual(true);
            cell.close();
        });

        it("adopts what runs and starts nothing twice", async () => {
            const cell = await openCell({ planRun: () => ({ workMs: 4_000, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 6, estimateMs: 4_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 6, 3_000);
            cell.owner!.kill();
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 20_000)).toEqual(true);
            expect(cell.checker.startCount).toEqual(6);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("keeps tasks back that may run on an executor it cannot reach until their leases have run out", async () => {
            const cell = await openCell({ planRun: () => ({ workMs: 5_000, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 9, estimateMs: 5_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 9, 3_000);
            cell.executors[0]!.isPartitioned = true;
            cell.owner!.kill();
            await cell.advance(4_000);
            expect(cell.checker.startCount).toEqual(9);
            await cell.advance(20_000);
            expect(cell.checker.startCount > 9).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });
    });

    describe("an executor that fails", () => {
        it("has its runs started elsewhere after it left, although it is tried again and again", async () => {
            // Guards against moving the end of its lease on with each renewal that it does not answer.
            const cell = await openCell({ planRun: () => ({ workMs: 4_000, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 9, estimateMs: 4_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 9, 3_000);
            cell.executors[1]!.kill(true);
            cell.removeExecutorEntry(1);
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 20_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("has its runs started again at once when it restarted", async () => {
            const cell = await openCell({ planRun: () => ({ workMs: 2_000, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 9, estimateMs: 2_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 9, 3_000);
            cell.executors[1]!.kill();
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 8_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("gets no second run of a task whose start has no answer and is carried out late", async () => {
            const cell = await openCell();
            cell.executors.forEach(executor => {
                executor.isDelayingOrders = true;
            });
            void cell.submit(cell.owner!, "a", [{ taskCount: 4 }]);
            await cell.advance(2_000);
            cell.executors.forEach(executor => {
                executor.isDelayingOrders = false;
            });
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 20_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });
    });
});
