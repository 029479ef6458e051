import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellSimulation } from "./testing/cell-simulation.js";
import { FakeMachineManager, toMachineId } from "./testing/fake-machine-manager.js";

interface WaveOptions {
    readonly machines: number;
    readonly maxAtOnce: number;
    readonly durationMs?: number;
}

class Fixture {
    readonly clock = new ManualClock(1_000);
    readonly machines: FakeMachineManager;
    readonly cell: CellSimulation;

    constructor(private readonly options: WaveOptions, workMs = 300) {
        this.machines = new FakeMachineManager({
            clock: this.clock,
            maxAtOnce: options.maxAtOnce,
            serviceMs: 2_000,
        });
        this.cell = new CellSimulation({
            hosts: 2,
            executors: 4,
            clock: this.clock,
            machines: this.machines,
            planRun: () => ({ workMs, outcome: "done" }),
        });
        this.machines.connect(this.cell.executors);
    }

    async open(): Promise<void> {
        await this.cell.advanceUntil(() => this.cell.owner?.owner?.hasReleasedAllTasks === true, 5_000);
        await this.cell.advance(1_000);
    }

    requestWave(): void {
        const { durationMs = 60_000, machines, maxAtOnce } = this.options;
        const value = JSON.stringify({
            wave: 1,
            machines: this.cell.executors.slice(0, machines).map(toMachineId),
            durationMs,
            maxAtOnce,
        });
        const writes = [{ key: "waves/1", value }];
        this.cell.data.execute({ kind: "commit", transaction: { conditions: [], writes, removals: [] } });
    }

    get state(): string | undefined {
        return this.cell.data.items.get("wave-states/1")?.value;
    }

    /** Advances time and the machines' maintenance until the wave has succeeded. Returns whether it did in time. */
    async finishWave(maxMs = 60_000): Promise<boolean> {
        return this.cell.advanceUntil(() => {
            this.machines.advance();
            return this.state === "succeeded";
        }, maxMs);
    }
}

describe("MaintenanceDriver", () => {
    it("services every machine of a wave, no more at once than allowed, and stores its success", async () => {
        const fixture = new Fixture({ machines: 4, maxAtOnce: 2 });
        await fixture.open();
        fixture.requestWave();
        await fixture.cell.advance(3_000);
        expect(fixture.state).toEqual("running");
        expect(await fixture.finishWave()).toEqual(true);
        expect(fixture.machines.serviced.size).toEqual(4);
        expect(fixture.machines.violations).toEqual([]);
        fixture.cell.close();
    });

    it("ends no run by maintenance, because it evacuates an executor first", async () => {
        const fixture = new Fixture({ machines: 4, maxAtOnce: 1 }, 3_000);
        await fixture.open();
        void fixture.cell.submit(fixture.cell.hosts[0]!, "a", [{ taskCount: 40, estimateMs: 3_000 }]);
        await fixture.cell.advance(500);
        fixture.requestWave();
        expect(await fixture.finishWave()).toEqual(true);
        expect(fixture.machines.endedRuns).toEqual(0);
        expect(fixture.cell.getState("a")).toEqual("succeeded");
        expect(fixture.cell.checker.violations).toEqual([]);
        fixture.cell.close();
    });

    it("continues a wave after a takeover without exceeding the number of machines away at once", async () => {
        const fixture = new Fixture({ machines: 4, maxAtOnce: 1 });
        await fixture.open();
        fixture.requestWave();
        await fixture.cell.advanceUntil(() => {
            fixture.machines.advance();
            return fixture.machines.serviced.size === 2;
        }, 30_000);
        fixture.cell.owner!.kill();
        expect(await fixture.finishWave()).toEqual(true);
        expect(fixture.machines.serviced.size).toEqual(4);
        expect(fixture.machines.violations).toEqual([]);
        fixture.cell.close();
    });

    for (const index of [0, 1]) {
        it(`services no more machines at once than allowed after one was down while it was evacuated (${index})`, async () => {
            // Guards against two machines that are evacuated at a time, of which both are then ordered away.
            const fixture = new Fixture({ machines: 2, maxAtOnce: 1 }, 6_000);
            await fixture.open();
            void fixture.cell.submit(fixture.cell.hosts[0]!, "a", [{ taskCount: 16, estimateMs: 6_000 }]);
            await fixture.cell.advance(500);
            fixture.requestWave();
            await fixture.cell.advance(2_000);
            const machine = toMachineId(fixture.cell.executors[index]!);
            fixture.machines.down.add(machine);
            await fixture.cell.advance(2_000);
            fixture.machines.down.delete(machine);
            expect(await fixture.finishWave()).toEqual(true);
            expect(fixture.machines.serviced.size).toEqual(2);
            expect(fixture.machines.violations).toEqual([]);
            fixture.cell.close();
        });
    }

    it("keeps a wave running while an order has no answer", async () => {
        // Guards against a wave that succeeds although the maintenance of one of its machines may not have begun.
        const fixture = new Fixture({ machines: 1, maxAtOnce: 1 });
        await fixture.open();
        fixture.machines.losesAnswers = true;
        fixture.requestWave();
        expect(await fixture.finishWave(10_000)).toEqual(false);
        fixture.machines.losesAnswers = false;
        expect(await fixture.finishWave(10_000)).toEqual(true);
        fixture.cell.close();
    });
});
