import type { JobState } from "@waxwingroute/workflow";
import { expect } from "earl";
import { describe, it } from "node:test";
import { toCancelKey } from "./store-keys.js";
import type { CellSimulationOptions } from "./testing/cell-simulation.js";
import { CellSimulation, limitedTeam } from "./testing/cell-simulation.js";
import { toFakeAddress } from "./testing/fake-executor.js";

async function openCell(options: Partial<CellSimulationOptions> = {}): Promise<CellSimulation> {
    const cell = new CellSimulation({ hosts: 2, executors: 3, ...options });
    const hasOwner = await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
    expect(hasOwner).toEqual(true);
    await cell.advance(1_000);
    return cell;
}

function isEnded(state: JobState | undefined): boolean {
    return state === "succeeded" || state === "failed";
}

describe("CellOwner", () => {
    describe("without faults", () => {
        it("runs the steps of a job in order and reports the job as succeeded", async () => {
            const cell = await openCell();
            void cell.submit(cell.hosts[1]!, "a", [{ taskCount: 3 }, { taskCount: 2, after: [0] }]);
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 5_000)).toEqual(true);
            expect(cell.checker.startCount).toEqual(5);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("stops the runs of a job that is cancelled, so that none stays on an executor", async () => {
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

    describe("a task that crashes its executors", () => {
        /** More starts of a task than this break the rule of the platform: three crashes, and then three more starts. */
        const maxStarts = 5;

        for (const crashAfterMs of [2, 20]) {
            it(`is given up across owners when it crashes them ${crashAfterMs} ms after its start`, async () => {
                // Guards against one task that crashes executor after executor.
                const starts = new Map<string, number>();
                const cell = await openCell({
                    hosts: 3,
                    executors: 4,
                    planRun: task => {
                        starts.set(task, (starts.get(task) ?? 0) + 1);
                        return task.startsWith("bad")
                            ? { workMs: 300, outcome: "done", crashAfterMs }
                            : { workMs: 300, outcome: "done" };
                    },
                });
                const names = ["good0", "good1", "bad", "good2", "good3"];
                names.forEach(name => void cell.submit(cell.hosts[0]!, name, [{ taskCount: 2 }]));
                await cell.advance(2_500);
                cell.owner!.restart();
                await cell.advanceUntil(() => names.every(name => isEnded(cell.getState(name))), 60_000);
                expect(names.map(name => cell.getState(name))).toEqual([
                    "succeeded",
                    "succeeded",
                    "failed",
                    "succeeded",
                    "succeeded",
                ]);
                expect([...starts].filter(([, count]) => count > maxStarts)).toEqual([]);
                expect(cell.checker.violations).toEqual([]);
                cell.close();
            });
        }
    });

    describe("an executor that is gone", () => {
        it("gets no further starts after one was refused because nothing listens at its address", async () => {
            // Guards against starts that are sent to the same dead executor again in each tick.
            const cell = await openCell({ executors: 2 });
            const gone = cell.executors[0]!;
            gone.refusesWhenDown = true;
            gone.kill(true);
            void cell.submit(cell.hosts[0]!, "a", [{ taskCount: 8 }]);
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 10_000)).toEqual(true);
            // Four tasks fit on the executor, and their starts are in flight together.
            expect(gone.refusedOrders <= 4).toEqual(true);
            gone.start();
            await cell.advance(2_000);
            void cell.submit(cell.hosts[0]!, "b", [{ taskCount: 8 }]);
            expect(await cell.advanceUntil(() => cell.getState("b") === "succeeded", 2_000)).toEqual(true);
            cell.close();
        });
    });

    describe("a takeover", () => {
        it("does not run a finished task again whose unstored end preceded one that needs no storing", async () => {
            // Guards against acknowledging ends out of order. An end whose job has already ended is acknowledged at
            // once; when it followed an end that an outage kept from being stored, the executor forgot both.
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

        it("starts new jobs within 2.5 s after the owner's process has ended", async () => {
            const cell = await openCell();
            const previous = cell.owner!;
            previous.kill();
            const successor = cell.hosts.find(host => host !== previous)!;
            const before = cell.checker.startCount;
            void cell.submit(successor, "a", [{}]);
            expect(await cell.advanceUntil(() => cell.checker.startCount > before, 2_500)).toEqual(true);
            cell.close();
        });

        it("keeps a deposed owner from starting newer jobs that are announced to it", async () => {
            // Guards against a second run of a task. An owner that loses its lease because only its own path to the
            // store fails continues: executors that have not heard from the successor accept its orders, while the
            // successor starts newer jobs at once.
            const cell = await openCell({ planRun: () => ({ workMs: 3_000, outcome: "done" }) });
            const deposed = cell.owner!;
            const successor = cell.hosts.find(host => host !== deposed)!;
            cell.arePeersCutOff = true;
            deposed.store.mode = "silent";
            successor.connector.unreachable.add(toFakeAddress(0));
            expect(await cell.advanceUntil(() => successor.owner !== undefined, 4_000)).toEqual(true);
            void cell.submit(successor, "newer", [{ taskCount: 3 }]);
            await cell.advance(500);
            successor.connector.unreachable.clear();
            expect(await cell.advanceUntil(() => cell.getState("newer") === "succeeded", 15_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("keeps a team within its limit while an executor that may run its tasks is silent", async () => {
            // Guards against counting only the runs that reachable executors list: the tasks on the silent executor
            // continue while newer jobs of the team start elsewhere.
            const cell = await openCell({
                executors: 4,
                planRun: () => ({ workMs: 4_000, outcome: "done" }),
            });
            const previous = cell.owner!;
            void cell.submit(previous, "old", [{ taskCount: 8, estimateMs: 4_000 }], limitedTeam);
            await cell.advanceUntil(() => cell.checker.startCount === 8, 2_000);
            cell.executors.find(executor => executor.runningCount === 4)!.isPartitioned = true;
            previous.kill();
            const successor = cell.hosts.find(host => host !== previous)!;
            await cell.advanceUntil(() => cell.owner === successor, 3_000);
            void cell.submit(successor, "new", [{ taskCount: 12, estimateMs: 4_000 }], limitedTeam);
            await cell.advance(10_000);
            expect(cell.checker.violations).toEqual([]);
            cell.executors.forEach(executor => {
                executor.isPartitioned = false;
            });
            expect(await cell.advanceUntil(() => cell.getState("new") === "succeeded", 20_000)).toEqual(true);
            cell.close();
        });

        it("adopts the running tasks and starts none of them again", async () => {
            // Guards against treating runs that an earlier owner started as unknown.
            const cell = await openCell({ planRun: () => ({ workMs: 4_000, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 6, estimateMs: 4_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 6, 3_000);
            cell.owner!.kill();
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 20_000)).toEqual(true);
            expect(cell.checker.startCount).toEqual(6);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        describe("from an owner whose machine is gone together with executors", () => {
            /** `finish_s` of the operators' sites less the 3 s for which a task may stand then. */
            const maxHeldMs = 11_000;

            async function endOwner(cell: CellSimulation, lostExecutors: readonly number[]): Promise<void> {
                const lost = cell.owner!;
                lost.kill();
                lostExecutors.forEach(index => cell.executors[index]!.kill(true));
                await cell.advanceUntil(() => cell.owner !== undefined, 4_000);
            }

            async function openLossyCell(): Promise<CellSimulation> {
                const cell = await openCell({
                    hosts: 4,
                    executors: 7,
                    planRun: () => ({ workMs: 2_000, outcome: "done" }),
                });
                cell.arePeersCutOff = true;
                void cell.submit(cell.hosts[0]!, "a", [{ taskCount: 60, estimateMs: 2_000 }]);
                await cell.advanceUntil(() => cell.checker.startCount === 28, 3_000);
                return cell;
            }

            it("starts the tasks of earlier jobs in time on the executors that answer", async () => {
                // Guards against a few silent executors that hold back every task for the longest outage of the store.
                const cell = await openLossyCell();
                const lostAt = cell.clock.getNow();
                await endOwner(cell, [0, 1]);
                expect(await cell.advanceUntil(() => cell.checker.startCount > 28, maxHeldMs)).toEqual(true);
                expect(cell.clock.getNow() - lostAt).toBeLessThan(maxHeldMs);
                expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 20_000)).toEqual(true);
                expect(cell.checker.violations).toEqual([]);
                cell.close();
            });

            it("starts them as soon after the loss of its successor too, which changed the roster", async () => {
                // Guards against a wait that begins anew with each owner, because the next one knows another roster.
                const cell = await openLossyCell();
                await endOwner(cell, [0, 1]);
                cell.removeExecutorEntry(2);
                await cell.advance(700);
                const lostAt = cell.clock.getNow();
                await endOwner(cell, []);
                await cell.advanceUntil(() => cell.checker.startCount > 28, maxHeldMs);
                expect(cell.clock.getNow() - lostAt).toBeLessThan(maxHeldMs);
                expect(cell.checker.violations).toEqual([]);
                cell.close();
            });

            it("waits for the end of the earlier owner's authority where most executors are silent", async () => {
                // Guards against a successor that trusts a majority which it has not reached.
                const cell = await openLossyCell();
                await endOwner(cell, [0, 1, 2, 3]);
                await cell.advance(maxHeldMs + 3_000);
                expect(cell.checker.startCount).toEqual(28);
                expect(await cell.advanceUntil(() => cell.checker.startCount > 28, 5_000)).toEqual(true);
                expect(cell.checker.violations).toEqual([]);
                cell.close();
            });
        });

        it("holds back tasks that may run on an unreachable executor until their leases have expired", async () => {
            // Guards against a second run of a task while the first continues on a partitioned executor.
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

    describe("entries of other writers", () => {
        /** The first cannot be decoded without an error, the second names an address that cannot be opened. */
        const oddEntries = ["[", JSON.stringify({ index: 99 })];

        it("leave the other executors in use, and the owner in place", async () => {
            // Guards against one entry that ends each owner in turn or keeps it from reading the others.
            const cell = await openCell({
                executors: 4,
                toleratesErrors: true,
                planRun: () => ({ workMs: 2_000, outcome: "done" }),
            });
            const host = cell.owner!;
            cell.removeExecutorEntry(3);
            await cell.advance(2_000);
            oddEntries.forEach((entry, index) => cell.putEntry(`0-${index}`, entry));
            await cell.advance(2_000);
            cell.putExecutorEntry(3);
            await cell.advance(2_000);
            void cell.submit(host, "a", [{ taskCount: 16, estimateMs: 2_000 }]);
            await cell.advance(1_000);
            expect(cell.executors.map(executor => executor.runningCount)).toEqual([4, 4, 4, 4]);
            expect(cell.owner === host).toEqual(true);
            expect(cell.logLines.some(line => line.includes("unexpected error") && line.includes("executors/0-0")))
                .toEqual(true);
            cell.close();
        });

        for (const [number, entry] of oddEntries.entries()) {
            it(`do not end the running tasks of the executor whose entry they replace for a while (${number + 1})`, async () => {
                // Guards against tasks that are lost and started again because an entry was unreadable for seconds.
                const cell = await openCell({
                    toleratesErrors: true,
                    planRun: () => ({ workMs: 8_000, outcome: "done" }),
                });
                void cell.submit(cell.owner!, "a", [{ taskCount: 9, estimateMs: 8_000 }]);
                await cell.advanceUntil(() => cell.checker.startCount === 9, 3_000);
                const count = cell.executors[1]!.runningCount;
                expect(count > 0).toEqual(true);
                cell.putEntry("1", entry);
                await cell.advance(4_000);
                expect(cell.executors[1]!.runningCount).toEqual(count);
                cell.putExecutorEntry(1);
                expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 8_000)).toEqual(true);
                void cell.submit(cell.owner!, "b", [{ taskCount: 12, estimateMs: 8_000 }]);
                await cell.advance(1_000);
                expect(cell.executors.map(executor => executor.runningCount)).toEqual([4, 4, 4]);
                expect(cell.checker.startCount).toEqual(21);
                expect(cell.checker.violations).toEqual([]);
                cell.close();
            });
        }
    });

    describe("an executor with more ends than a listing holds", () => {
        const maxListedEnds = 10;

        async function openLoadedCell(): Promise<CellSimulation> {
            const cell = await openCell({
                executors: 2,
                maxListedEnds,
                planRun: () => ({ workMs: 250, outcome: "done" }),
            });
            for (let index = 0; index < 10; index++) {
                void cell.submit(cell.owner!, `j${index}`, [{ taskCount: 24, estimateMs: 250 }]);
            }
            await cell.advanceUntil(() => cell.checker.startCount > 8, 3_000);
            return cell;
        }

        function isAllDone(cell: CellSimulation): boolean {
            return Array.from({ length: 10 }, (_, index) => `j${index}`).every(name =>
                cell.getState(name) === "succeeded"
            );
        }

        it("has none of its tasks started again after the store was away", async () => {
            // Guards against a run that counts as lost because its end is not among the listed ones.
            const cell = await openLoadedCell();
            cell.data.mode = "refusing";
            await cell.advance(6_500);
            cell.data.mode = "up";
            expect(await cell.advanceUntil(() => isAllDone(cell), 60_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            expect(cell.checker.startCount).toEqual(240);
            cell.close();
        });

        it("has none of them started again by the next owner", async () => {
            // Guards against a takeover that releases all tasks that the first listing does not name.
            const cell = await openLoadedCell();
            cell.data.mode = "refusing";
            await cell.advance(5_000);
            cell.owner!.kill();
            cell.data.mode = "up";
            expect(await cell.advanceUntil(() => isAllDone(cell), 60_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });
    });

    describe("an owner that is cut off from the store", () => {
        /** Longest outage of the store on the operators' sites, ms. */
        const outageMs = 6_900;

        async function openCutCell(workMs: number, reached: readonly number[]): Promise<CellSimulation> {
            const cell = await openCell({ executors: 4, planRun: () => ({ workMs, outcome: "done" }) });
            const [first, second] = [cell.owner!, cell.hosts.find(host => host !== cell.owner)!];
            void cell.submit(first, "a", [{ taskCount: 20, estimateMs: workMs }]);
            void cell.submit(first, "b", [{ taskCount: 20, estimateMs: workMs }]);
            await cell.advanceUntil(() => cell.checker.startCount === 16, 3_000);
            cell.arePeersCutOff = true;
            first.store.mode = "silent";
            for (const index of [0, 1, 2, 3]) {
                (reached.includes(index) ? second : first).connector.unreachable.add(toFakeAddress(index));
            }
            return cell;
        }

        for (const workMs of [2_000, 8_000]) {
            for (const reached of [[0, 1], [0, 1, 2], [0], []]) {
                for (const cutMs of [8_000, 22_000]) {
                    const name =
                        `${reached.length} of 4 executors on its side, tasks of ${workMs} ms, cut off for ${cutMs} ms`;
                    it(`runs no task beside its successor: ${name}`, async () => {
                        // Guards against two owners that each start what the other may run, or renew what it counts as lost.
                        const cell = await openCutCell(workMs, reached);
                        await cell.advance(cutMs);
                        expect(cell.hosts[1]!.owner !== undefined && cell.hosts[0]!.owner !== undefined).toEqual(true);
                        cell.arePeersCutOff = false;
                        cell.hosts.forEach(host => {
                            host.store.mode = "up";
                            host.connector.unreachable.clear();
                        });
                        const isDone = () => ["a", "b"].every(job => cell.getState(job) === "succeeded");
                        expect(await cell.advanceUntil(isDone, 40_000)).toEqual(true);
                        expect(cell.checker.violations).toEqual([]);
                        cell.close();
                    });
                }
            }
        }

        it("sends no starts and renews no leases after the bound of its authority", async () => {
            // Guards against an owner that acts for as long as it is cut off.
            const cell = await openCutCell(60_000, [0, 1]);
            await cell.advance(11_500);
            const startCount = cell.checker.startCount;
            await cell.advance(6_000);
            const [first, second] = cell.executors;
            expect([first!.runningCount, second!.runningCount]).toEqual([0, 0]);
            expect(cell.checker.startCount >= startCount).toEqual(true);
            expect(cell.logLines.some(line => line.includes("orders suspended"))).toEqual(true);
            cell.close();
        });

        it("starts no task again that its successor has noted as done before the executor restarted", async () => {
            // Guards against an owner that takes a restart, after which the executor knows no token, for the loss of its runs.
            const cell = await openCutCell(2_000, [0, 1]);
            const previous = cell.hosts.find(host => host.store.mode === "silent")!;
            await cell.advance(6_000);
            const successor = cell.hosts.find(host => host !== previous)!;
            expect(previous.owner !== undefined && successor.owner !== undefined).toEqual(true);
            cell.executors[2]!.kill();
            successor.connector.unreachable.add(toFakeAddress(2));
            previous.connector.unreachable.delete(toFakeAddress(2));
            await cell.advance(4_000);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("sends no starts once it reaches only a few executors, long before the bound of its authority", async () => {
            // Guards against two owners that act at once: a successor that most executors have answered counts on it.
            const cell = await openCutCell(1_000, [0]);
            const first = cell.owner!;
            // The lease, and the time for which answers count.
            await cell.advance(2_600);
            const startCount = cell.checker.startCount;
            expect(cell.logLines.some(line => line.includes("most executors have not answered"))).toEqual(true);
            await cell.advance(4_000);
            expect(first.owner !== undefined).toEqual(true);
            expect(cell.checker.startCount).toEqual(startCount);
            cell.close();
        });

        it("goes on starting what was accepted while the store is away for all", async () => {
            // Guards against a bound that stops a zone in an ordinary outage of the store.
            const cell = await openCell({ planRun: () => ({ workMs: 900, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 200, estimateMs: 900 }]);
            await cell.advance(1_000);
            cell.data.mode = "silent";
            await cell.advance(outageMs);
            const before = cell.checker.startCount;
            await cell.advance(1_500);
            expect(cell.checker.startCount > before).toEqual(true);
            cell.data.mode = "up";
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 30_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("stops at once when its successor reaches it", async () => {
            // Guards against a takeover that waits for an owner that could be told.
            const cell = await openCutCell(5_000, [0, 1]);
            cell.arePeersCutOff = false;
            const first = cell.owner!;
            expect(await cell.advanceUntil(() => first.owner === undefined, 3_000)).toEqual(true);
            // The leases of the executors that the successor does not reach last 6.5 s if these have restarted.
            const before = cell.checker.startCount;
            expect(await cell.advanceUntil(() => cell.checker.startCount > before, 7_600)).toEqual(true);
            cell.close();
        });
    });

    describe("an owner that continues in a later term", () => {
        it("starts no task again when an older read of its record overtakes a newer one", async () => {
            // Guards against a second owner of the same host in the same epoch, for which the tasks of jobs that were
            // accepted in this epoch have never started.
            const cell = await openCell({ hosts: 1, planRun: () => ({ workMs: 2_000, outcome: "done" }) });
            const host = cell.owner!;
            cell.data.mode = "silent";
            await cell.advance(3_000);
            cell.data.expireAllLeases();
            cell.data.mode = "up";
            let reads = 0;
            host.store.chooseAnswerDelayMs = ({ kind }) => kind === "list" && ++reads === 1 ? 300 : 0;
            void host.verifyOwnership();
            void host.verifyOwnership();
            for (let round = 0; round < 15; round++) {
                await cell.advance(50);
                void cell.submit(host, `j${round}`, [{ taskCount: 1 }]);
                // An executor that does not list its runs while the second owner would recover the cell.
                cell.executors[0]!.isPartitioned = round > 3;
            }
            cell.executors[0]!.isPartitioned = false;
            await cell.advance(12_000);
            expect(cell.checker.violations).toEqual([]);
            expect(cell.checker.startCount).toEqual(15);
            cell.close();
        });

        it("keeps the cell when its own later token overtakes an order with the earlier one", async () => {
            // Guards against an owner that takes its own token for that of a successor: the cell has no owner until the
            // lease of its record has expired.
            const cell = await openCell({ hosts: 1 });
            cell.data.mode = "silent";
            await cell.advance(4_000);
            cell.data.mode = "up";
            await cell.advanceUntil(() => cell.logLines.some(line => line.includes("\"isContinued\":true")), 2_000);
            for (const name of ["a", "b", "c"]) {
                void cell.submit(cell.hosts[0]!, name, [{ taskCount: 3 }]);
                await cell.advance(200);
            }
            await cell.advance(3_000);
            expect(cell.logLines.filter(line => line.includes("ownership lost"))).toEqual([]);
            expect(["a", "b", "c"].map(name => cell.getState(name))).toEqual(["succeeded", "succeeded", "succeeded"]);
            cell.close();
        });
    });

    describe("a cancellation that the owner knows before its job", () => {
        const key = toCancelKey("late" as never);

        function storeCancellation(cell: CellSimulation): void {
            const transaction = { conditions: [], writes: [{ key, value: "1" }], removals: [] };
            cell.data.execute({ kind: "commit", transaction });
            cell.owner!.owner!.acceptAnnounced([{ key, value: "1", revision: 1, createdRevision: 1 }]);
        }

        it("is applied to the job once it is known", async () => {
            // Guards against a cancelled job that runs because the owner heard of its cancellation first.
            const cell = await openCell();
            storeCancellation(cell);
            await cell.advance(400);
            void cell.submit(cell.owner!, "late", [{ taskCount: 4 }]);
            await cell.advance(2_000);
            expect(cell.checker.startCount).toEqual(0);
            expect(cell.getState("late")).toEqual("cancelled");
            void cell.submit(cell.owner!, "next", [{}]);
            await cell.advance(2_000);
            expect(cell.data.items.has(key)).toEqual(false);
            cell.close();
        });

        it("is applied by the next owner", async () => {
            // Guards against a stored cancellation that is removed before its job has ended.
            const cell = await openCell();
            storeCancellation(cell);
            void cell.submit(cell.owner!, "other", [{}]);
            await cell.advance(1_500);
            cell.owner!.kill();
            await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 8_000);
            const before = cell.checker.startCount;
            void cell.submit(cell.owner!, "late", [{ taskCount: 4 }]);
            await cell.advance(2_000);
            expect(cell.checker.startCount).toEqual(before);
            expect(cell.getState("late")).toEqual("cancelled");
            cell.close();
        });

        it("is removed if two reads of all jobs show none", async () => {
            // Guards against cancellations of jobs that have expired, which would stay in the store.
            const cell = await openCell();
            storeCancellation(cell);
            await cell.advance(30_000);
            void cell.submit(cell.owner!, "next", [{}]);
            await cell.advance(2_000);
            expect(cell.data.items.has(key)).toEqual(false);
            cell.close();
        });
    });

    describe("a failed executor", () => {
        it("has its tasks started elsewhere after its entry is removed, even while the owner calls it", async () => {
            // Guards against extending the lease of the executor with each renewal that it does not answer.
            const cell = await openCell({ planRun: () => ({ workMs: 4_000, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 9, estimateMs: 4_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 9, 3_000);
            cell.executors[1]!.kill(true);
            cell.removeExecutorEntry(1);
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 20_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("has its tasks started again at once after it restarts", async () => {
            // Guards against waiting for the leases of runs that ended with the restart.
            const cell = await openCell({ planRun: () => ({ workMs: 2_000, outcome: "done" }) });
            void cell.submit(cell.owner!, "a", [{ taskCount: 9, estimateMs: 2_000 }]);
            await cell.advanceUntil(() => cell.checker.startCount === 9, 3_000);
            cell.executors[1]!.kill();
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 8_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("gets no second run of its tasks while it loses all answers from its restart on", async () => {
            // Guards against leases that end later than the owner counts on: a restarted executor takes a lease end for
            // one of its new clock, and grants the longest lease.
            const cell = await openCell({ executors: 2, planRun: () => ({ workMs: 20_000, outcome: "done" }) });
            const [restarted] = cell.executors;
            restarted!.kill();
            restarted!.losesAnswers = true;
            void cell.submit(cell.owner!, "a", [{ taskCount: 4, estimateMs: 20_000 }]);
            await cell.advance(15_000);
            restarted!.losesAnswers = false;
            expect(await cell.advanceUntil(() => cell.getState("a") === "succeeded", 60_000)).toEqual(true);
            expect(cell.checker.violations).toEqual([]);
            cell.close();
        });

        it("gets no second run of a task whose start is unanswered and carried out late", async () => {
            // Guards against treating an unanswered start as one that was not carried out.
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
