import { expect } from "earl";
import { describe, it } from "node:test";
import { createStep, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { StartDecision } from "./types.js";

/** Says that the executor of a run leaves after this time. */
function announceLeaving(fixture: SchedulerFixture, start: StartDecision, afterMs: number): void {
    fixture.putExecutor(Number(start.executor.slice(1)), "leaving", [], fixture.now + afterMs);
}

function recordProgress(fixture: SchedulerFixture, start: StartDecision, percent: number): void {
    const { executor, task, run } = start;
    fixture.scheduler.recordRunning(fixture.now, executor, { task, run, checkpoint: "", percent });
}

describe("an executor that leaves", () => {
    // Guards against work that is lost with the executor although the leave was announced in time.
    it("keeps a task with checkpoints until a stop is due, and the task resumes elsewhere", () => {
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ estimateMs: 20_000, savesCheckpoints: true })]);
        const [first] = fixture.startTasks();
        announceLeaving(fixture, first!, 3_000);
        expect(fixture.tick().stops).toEqual([]);
        fixture.now += 1_600;
        const { stops } = fixture.tick();
        expect(stops.map(stop => [stop.task, stop.reason] as const)).toEqual([[first!.task, "executorLeaving"]]);
        fixture.endRun(first!, "stopped", "half");
        const [second] = fixture.startTasks();
        expect(second!.checkpoint).toEqual("half");
        expect(second!.executor === first!.executor).toEqual(false);
    });

    it("gives up a long task without checkpoints at once", () => {
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ estimateMs: 20_000 })]);
        const [first] = fixture.startTasks();
        announceLeaving(fixture, first!, 3_000);
        expect(fixture.tick().stops.length).toEqual(1);
    });

    it("lets a task end that will be done in time", () => {
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ estimateMs: 20_000 })]);
        const [first] = fixture.startTasks();
        fixture.now += 8_000;
        recordProgress(fixture, first!, 80);
        announceLeaving(fixture, first!, 3_000);
        fixture.now += 1_900;
        expect(fixture.tick().stops).toEqual([]);
    });

    it("stops all members of a gang together", () => {
        const fixture = new SchedulerFixture(3);
        fixture.submit("a", [createStep({ taskCount: 2, resources: toCores(16), isGang: true, estimateMs: 20_000 })]);
        const [first] = fixture.startTasks();
        announceLeaving(fixture, first!, 3_000);
        expect(fixture.tick().stops.length).toEqual(2);
    });

    it("moves a long-running task only when another executor has room", () => {
        const fixture = new SchedulerFixture(2);
        fixture.submit("full", [createStep({ resources: toCores(16), estimateMs: 60_000 })]);
        const [full] = fixture.startTasks();
        fixture.submit("service", [createStep({ resources: toCores(8), isLongRunning: true })]);
        const [service] = fixture.startTasks();
        announceLeaving(fixture, service!, 3_000);
        expect(fixture.tick().stops).toEqual([]);
        fixture.endRun(full!, "done");
        expect(fixture.tick().stops.map(stop => stop.task)).toEqual([service!.task]);
    });
});

describe("an executor whose machine is to be serviced", () => {
    function planMaintenance(fixture: SchedulerFixture, start: StartDecision, afterMs: number): void {
        fixture.putExecutor(Number(start.executor.slice(1)), "leaving", [], undefined, fixture.now + afterMs);
    }

    it("lets tasks without checkpoints end, and stops them when their time is over", () => {
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ estimateMs: 20_000 })]);
        const [first] = fixture.startTasks();
        planMaintenance(fixture, first!, 5_000);
        fixture.now += 4_900;
        recordProgress(fixture, first!, 30);
        expect(fixture.tick().stops).toEqual([]);
        fixture.now += 200;
        expect(fixture.tick().stops.length).toEqual(1);
    });

    it("moves tasks with checkpoints at once", () => {
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ estimateMs: 20_000, savesCheckpoints: true })]);
        const [first] = fixture.startTasks();
        planMaintenance(fixture, first!, 5_000);
        expect(fixture.tick().stops.length).toEqual(1);
    });

    it("has no more long-running tasks of a step away than it allows", () => {
        // Guards against a service that loses all its tasks on one executor at the same time.
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ taskCount: 3, isLongRunning: true, maxUnavailable: 1 })]);
        const starts = fixture.startTasks();
        starts.forEach(start => recordProgress(fixture, start, 100));
        planMaintenance(fixture, starts[0]!, 60_000);
        const { stops } = fixture.tick();
        expect(stops.length).toEqual(1);
        expect(fixture.tick().stops).toEqual([]);
        const moved = starts.find(start => start.task === stops[0]!.task)!;
        fixture.endRun(moved, "stopped");
        const [again] = fixture.startTasks();
        expect(fixture.tick().stops).toEqual([]);
        recordProgress(fixture, again!, 100);
        expect(fixture.tick().stops.length).toEqual(1);
    });
});
