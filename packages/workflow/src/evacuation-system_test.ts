import { expect } from "earl";
import { describe, it } from "node:test";
import { createStep, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { StartDecision } from "./types.js";

/** Reports that the executor of a run leaves after this time. */
function announceLeaving(fixture: SchedulerFixture, start: StartDecision, afterMs: number): void {
    fixture.putExecutor(Number(start.executor.slice(1)), "leaving", [], fixture.now + afterMs);
}

function recordProgress(fixture: SchedulerFixture, start: StartDecision, percent: number): void {
    const { executor, task, run } = start;
    fixture.scheduler.recordRunning(fixture.now, executor, { task, run, checkpoint: "", percent });
}

// Guards against work that is lost with an executor although its leave was announced in time.
describe("runs on an executor that is leaving", () => {
    it("stops a task with checkpoints only when a stop is due, and resumes it on another executor", () => {
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

    it("stops a task without checkpoints at once if it cannot end in time", () => {
        // Guards against running a task whose work will be lost, while another executor could already run it.
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ estimateMs: 20_000 })]);
        const [first] = fixture.startTasks();
        announceLeaving(fixture, first!, 3_000);
        expect(fixture.tick().stops.length).toEqual(1);
    });

    it("lets a task run to its end if it will end in time", () => {
        // Guards against throwing away nearly finished work: the estimate alone would say that the task ends too late.
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
        // Guards against members on other executors that run on although the gang can no longer finish.
        const fixture = new SchedulerFixture(3);
        fixture.submit("a", [createStep({ taskCount: 2, resources: toCores(16), isGang: true, estimateMs: 20_000 })]);
        const [first] = fixture.startTasks();
        announceLeaving(fixture, first!, 3_000);
        expect(fixture.tick().stops.length).toEqual(2);
    });

    it("stops a long-running task only when another executor has a free slot for it", () => {
        // Guards against a service that goes down early because its task has nowhere to run.
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

// Guards against work that is lost to planned maintenance, and against a machine that is never emptied.
describe("runs on an executor whose machine is due for maintenance", () => {
    function planMaintenance(fixture: SchedulerFixture, start: StartDecision, afterMs: number): void {
        fixture.putExecutor(Number(start.executor.slice(1)), "leaving", [], undefined, fixture.now + afterMs);
    }

    it("lets a task without checkpoints run until the deadline, then stops it", () => {
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

    it("stops a task with checkpoints at once", () => {
        const fixture = new SchedulerFixture(2);
        fixture.submit("a", [createStep({ estimateMs: 20_000, savesCheckpoints: true })]);
        const [first] = fixture.startTasks();
        planMaintenance(fixture, first!, 5_000);
        expect(fixture.tick().stops.length).toEqual(1);
    });

    it("makes no more long-running tasks of a step unavailable at one time than the step allows", () => {
        // Guards against a service that loses all its tasks on an executor at the same time.
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
