import type { Failure, JobId, RackId, Result, TaskId, TeamId, WorkerId, ZoneId } from "@waxwingroute/core";
import { ManualClock } from "@waxwingroute/core";
import type { TaskStart } from "@waxwingroute/platform";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { FakeWorker } from "./fake-worker.js";
import { Fleet } from "./fleet.js";

function createStart(task: string, command = "run forever", changes: Partial<TaskStart> = {}): TaskStart {
    return {
        task: task as TaskId,
        team: "sales" as TeamId,
        job: "job" as JobId,
        resources: { cpuMillis: 600, memoryMb: 100, accelerators: 0 },
        command,
        leaseMs: 60_000,
        expiresInMs: 1_000,
        epoch: 1,
        ...changes,
    };
}

function createFleet(): { clock: ManualClock; fleet: Fleet; first: FakeWorker; second: FakeWorker; } {
    const clock = new ManualClock();
    const fleet = new Fleet({ clock });
    const add = (worker: string) =>
        fleet.addWorker({
            worker: worker as WorkerId,
            zone: "glasgow" as ZoneId,
            rack: "rack-0" as RackId,
            url: "",
            capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 },
        });
    return { clock, fleet, first: add("w0"), second: add("w1") };
}

function describeResult(result: Result<unknown, Failure>): unknown {
    return result.ok ? "ok" : [result.val.code, result.val.verdict];
}

async function getOutcomes(worker: FakeWorker): Promise<unknown> {
    const report = (await worker.list()).unwrap();
    return Object.fromEntries(report.tasks.map(({ task, outcome }) => [task, outcome ?? "running"]));
}

describe("FakeWorker", () => {
    describe("records", () => {
        // Guards against stand-ins that miss a worker whose tasks exceed its capacity.
        it("records the amounts and the period of an overcommit", async () => {
            const { clock, fleet, first } = createFleet();
            await first.start(createStart("job/0"));
            expect(fleet.records.overcommits).toEqual([]);
            await clock.advance(10);
            expect(describeResult(await first.start(createStart("job/1")))).toEqual("ok");
            await clock.advance(5);
            await first.stop("job/1" as TaskId);
            expect(fleet.records.overcommits).toEqual([{
                worker: "w0" as WorkerId,
                capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 },
                used: { cpuMillis: 1_200, memoryMb: 200, accelerators: 0 },
                from: 10,
                until: 15,
            }]);
        });

        // Guards against stand-ins that miss a task that runs on two workers.
        it("records a task that runs on two workers at once, but not on one after the other", async () => {
            const { fleet, first, second } = createFleet();
            await first.start(createStart("job/0"));
            await first.stop("job/0" as TaskId);
            await second.start(createStart("job/0", "run forever", { epoch: 2 }));
            expect(fleet.records.tasksInTwoPlaces).toEqual([]);
            await first.start(createStart("job/0", "run forever", { epoch: 3 }));
            expect(fleet.records.tasksInTwoPlaces.map(({ task, workers, epochs }) => [task, workers, epochs])).toEqual([
                ["job/0" as TaskId, ["w1", "w0"] as WorkerId[], [2, 3]],
            ]);
        });

        it("records a task that it was asked to start twice", async () => {
            const { fleet, first } = createFleet();
            await first.start(createStart("job/0"));
            await first.start(createStart("job/0"));
            expect(fleet.records.repeatedStarts.map(({ task, wasRunning }) => [task, wasRunning])).toEqual([
                ["job/0" as TaskId, true],
            ]);
            expect(fleet.records.overcommits).toEqual([]);
        });
    });

    // Guards against a start that is delayed in transit and runs after the owner has given it up.
    it("refuses a start that arrives after its expiry", async () => {
        const { clock, fleet, first } = createFleet();
        first.faults.setHanging(true);
        const held = first.start(createStart("job/0"));
        await clock.advance(1_500);
        expect(describeResult(await held)).toEqual(["worker-lost", "mayHaveRun"]);
        first.faults.setHanging(false);
        await clock.advance(0);
        expect(await getOutcomes(first)).toEqual({});
        expect(fleet.records.lateStarts.map(({ task, lateByMs }) => [task, lateByMs])).toEqual([
            ["job/0" as TaskId, 500],
        ]);
    });

    describe("leases", () => {
        // Guards against tasks that outlive their lease, after which another zone may start them.
        it("stops tasks whose lease is not renewed", async () => {
            const { clock, first } = createFleet();
            await first.start(createStart("job/0", "run forever", { leaseMs: 100 }));
            await first.start(createStart("job/1", "run forever", { leaseMs: 100 }));
            await clock.advance(90);
            await first.renew({ tasks: ["job/0" as TaskId], leaseMs: 100, acknowledged: [] });
            await clock.advance(20);
            expect(await getOutcomes(first)).toEqual({ "job/0": "running", "job/1": "leaseExpired" });
            await first.renew({ tasks: [], leaseMs: 100, acknowledged: ["job/1" as TaskId, "job/0" as TaskId] });
            expect(await getOutcomes(first)).toEqual({ "job/0": "running" });
        });

        it("stops a task whose lease is expired explicitly", async () => {
            const { fleet, first } = createFleet();
            await first.start(createStart("job/0"));
            expect(fleet.expireLease("job/0" as TaskId)).toEqual(true);
            expect(fleet.expireLease("job/0" as TaskId)).toEqual(false);
            expect(await getOutcomes(first)).toEqual({ "job/0": "leaseExpired" });
        });
    });

    describe("commands", () => {
        it("ends tasks when and how their commands specify", async () => {
            const { clock, first } = createFleet();
            const commands = [
                "run 200ms",
                "run forever",
                "fail",
                "exit 1 after 50ms",
                "exit 0 after 50ms",
                "rm",
                "run",
            ];
            for (const [index, command] of commands.entries()) {
                await first.start(createStart(`job/${index}`, command));
            }
            await clock.advance(49);
            const outcomes = ["running", "running", "failed", "running", "running", "failed", "failed"];
            expect(await getOutcomes(first)).toEqual(
                Object.fromEntries(outcomes.map((outcome, index) => [`job/${index}`, outcome])),
            );
            await clock.advance(151);
            const later = ["succeeded", "running", "failed", "failed", "succeeded", "failed", "failed"];
            expect(await getOutcomes(first)).toEqual(
                Object.fromEntries(later.map((outcome, index) => [`job/${index}`, outcome])),
            );
        });

        it("continues a checkpointed task on another worker", async () => {
            const { clock, first, second } = createFleet();
            await first.start(createStart("job/0", "run 1s"));
            await clock.advance(800);
            await first.checkpoint("job/0" as TaskId);
            await second.start(createStart("job/0", "run 1s"));
            await clock.advance(200);
            expect(await getOutcomes(first)).toEqual({ "job/0": "stopped" });
            expect(await getOutcomes(second)).toEqual({ "job/0": "succeeded" });
        });

        it("reports throttled usage after a lag", async () => {
            const { clock, first } = createFleet();
            await first.start(createStart("job/0"));
            expect((await first.list()).unwrap().tasks[0]?.usage).toEqual(undefined);
            await clock.advance(2_000);
            await first.throttle("job/0" as TaskId, 50);
            expect((await first.list()).unwrap().tasks[0]?.usage?.cpuMillis).toEqual(225);
        });
    });

    describe("faults", () => {
        it("drops its tasks when killed", async () => {
            const { fleet, first } = createFleet();
            await first.start(createStart("job/0"));
            fleet.killEndpoint("w0");
            expect(describeResult(await first.list())).toEqual(["worker-unreachable", "notRun"]);
            fleet.restartEndpoint("w0");
            expect(await getOutcomes(first)).toEqual({});
            expect(fleet.records.listRunning()).toEqual([]);
        });

        it("fails every task while isFailingTasks is set", async () => {
            const { clock, first } = createFleet();
            first.state.isFailingTasks = true;
            await first.start(createStart("job/0"));
            await clock.advance(0);
            expect(await getOutcomes(first)).toEqual({ "job/0": "failed" });
        });
    });
});
