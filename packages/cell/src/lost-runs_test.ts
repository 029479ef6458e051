/**
 * Checks that runs which ended with their executors are reported once the owner has a valid lease, whatever became of the
 * executors meanwhile.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";
import type { FakeExecutor } from "./testing/fake-executor.js";

const executorCount = 4;
/** Duration of an outage of the store: longer than the lease of the owner, shorter than its authority. */
const outageMs = 4_500;
/** Time after which the lease of the owner has ended, ms. */
const leaseEndMs = 1_200;
/** Time within which a task that can run has to start, ms: a rule of the platform. */
const startMs = 3_000;

/** A cell with one job whose only task has begun; its executor has not listed the run yet. */
class LostRunFixture {
    readonly cell = new CellSimulation({
        // With one host, no other owner finds the runs.
        hosts: 1,
        executors: executorCount + 1,
        planRun: () => ({ workMs: 60_000, outcome: "done" }),
    });
    executor!: FakeExecutor;

    /** `isListed`: whether the executor lists the run before it crashes. */
    constructor(private readonly isListed = false) {}

    async prepare(): Promise<void> {
        const { cell } = this;
        // The last executor is a spare address.
        cell.removeExecutorEntry(executorCount);
        await cell.advanceUntil(() => cell.owner?.owner?.hasReleasedAllTasks === true, 10_000);
        await cell.advance(3_000);
        void cell.submit(cell.owner!, "a", [{ taskCount: 1, estimateMs: 60_000 }]);
        await cell.advanceUntil(() => cell.checker.startCount === 1, 2_000);
        this.executor = cell.executors.find(({ runningCount }) => runningCount === 1)!;
    }

    get index(): number {
        return this.cell.executors.indexOf(this.executor);
    }

    /** Lets the store refuse all calls, and calls `cause` once the lease of the owner has ended, `outageMs` before the end. */
    async playOutage(cause: () => void | Promise<void>): Promise<void> {
        this.cell.data.mode = "refusing";
        if (!this.isListed) {
            this.executor.kill(true);
        }
        await this.cell.advance(leaseEndMs);
        await cause();
        await this.cell.advance(outageMs);
        this.cell.data.mode = "up";
    }

    /** Returns whether the task starts again in time after the store is back. */
    async startsAgain(): Promise<boolean> {
        // The owner has its lease again within a second.
        return this.cell.advanceUntil(() => this.cell.checker.startCount > 1, 1_000 + startMs);
    }
}

describe("runs that end with their executors while the store is away", () => {
    // Each case guards against a loss that waits for a listing of its executor which never comes, so that the task is
    // taken for running until the owner changes.
    const cases: readonly {
        readonly name: string;
        readonly cause: (fixture: LostRunFixture) => void | Promise<void>;
    }[] = [
        { name: "is replaced by another one at its address", cause: ({ executor }) => executor.replace() },
        {
            name: "is replaced, and its entry is removed",
            cause: fixture => {
                fixture.executor.replace();
                fixture.cell.removeExecutorEntry(fixture.index);
            },
        },
        {
            name: "restarts, lists nothing, and is lost again",
            cause: async ({ cell, executor }) => {
                executor.kill();
                await cell.advance(1_500);
                executor.replace();
            },
        },
        {
            name: "restarts at another address",
            cause: ({ cell, executor, index }: LostRunFixture) => {
                executor.kill(true);
                cell.putEntry(`${index}`, JSON.stringify({ index, addressIndex: executorCount }));
            },
        },
    ];
    for (const { name, cause } of cases) {
        for (const isListed of [false, true]) {
            it(`run again soon after the store is back, if the executor ${name}${isListed ? " (listed run)" : ""}`, async () => {
                const fixture = new LostRunFixture(isListed);
                await fixture.prepare();
                await fixture.playOutage(() => cause(fixture));
                expect(await fixture.startsAgain()).toEqual(true);
                expect(fixture.cell.checker.violations).toEqual([]);
                fixture.cell.close();
            });
        }
    }

    for (const isListed of [false, true]) {
        it(`count for one crash, however often it is noticed${isListed ? " (listed run)" : ""}`, async () => {
            // Guards against steps that are isolated, and jobs that are given up, after a single crash.
            const fixture = new LostRunFixture(isListed);
            await fixture.prepare();
            await fixture.playOutage(() => fixture.executor.replace());
            await fixture.cell.advance(2_000);
            expect(fixture.cell.owner!.owner!.waitingGauges.crashed_executors).toEqual(1);
            fixture.cell.close();
        });
    }

    it("wait for the lease if an executor restarts at another address while only the lease is not renewed", async () => {
        // Guards against a task that starts again although a successor may have noted its end.
        const fixture = new LostRunFixture(true);
        await fixture.prepare();
        const { cell, executor, index } = fixture;
        const { owner, store } = cell.owner!;
        store.chooseFault = () => "answerLost";
        await cell.advance(leaseEndMs);
        executor.kill(true);
        cell.putEntry(`${index}`, JSON.stringify({ index, addressIndex: executorCount }));
        await cell.advance(2_000);
        expect([cell.owner!.owner === owner, cell.checker.startCount]).toEqual([true, 1]);
        store.chooseFault = () => "none";
        expect(await fixture.startsAgain()).toEqual(true);
        cell.close();
    });

    it("are found by the next owner, if the one that knew of them is gone", async () => {
        // Guards against losses that end with the memory of an owner.
        const fixture = new LostRunFixture();
        await fixture.prepare();
        await fixture.playOutage(() => fixture.executor.replace());
        fixture.cell.owner!.restart();
        expect(await fixture.cell.advanceUntil(() => fixture.cell.checker.startCount > 1, 8_000)).toEqual(true);
        expect(fixture.cell.checker.violations).toEqual([]);
        fixture.cell.close();
    });

    it("show in a gauge and in the log while they wait", async () => {
        // Guards against a wait of this kind that no metric shows.
        const fixture = new LostRunFixture();
        await fixture.prepare();
        await fixture.playOutage(() => fixture.executor.replace());
        expect(fixture.cell.owner!.owner!.unreportedLossMs).toBeGreaterThan(2_000);
        expect(fixture.cell.logLines.filter(line => line.includes("loss waits for the lease")).length).toEqual(1);
        await fixture.cell.advance(1_500);
        expect(fixture.cell.owner!.owner!.unreportedLossMs).toEqual(0);
        fixture.cell.close();
    });
});
