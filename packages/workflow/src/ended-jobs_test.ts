import type { ExecutorId, JobId, QueueId, TeamId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, SchedulerFixture, team, toCores } from "./testing/scheduler-fixture.js";
import type { TaskKey } from "./types.js";

/** Executors have 16 cores each; the team may use 20. */
const limit = { cpuMillis: 20_000, memoryMb: 0, accelerators: 0 };
const job = toId<JobId>("old");

function createFixture(executors: number): SchedulerFixture {
    return new SchedulerFixture(executors, [createQueue("queue")], limit);
}

function addEndedJob(fixture: SchedulerFixture, ofTeam: TeamId): void {
    fixture.scheduler.addEndedJob({
        job,
        queue: toId<QueueId>("queue"),
        team: ofTeam,
        state: "cancelled",
        remaining: [{ occurrence: 2, step: 1, resources: toCores(4), indexes: [0, 3] }],
    });
}

describe("a job that has ended", () => {
    describe("when its tasks are asked for", () => {
        it("names those that are being stopped and none whose runs have ended", () => {
            // Guards against an end that lets the next owner forget a run that goes on.
            const fixture = createFixture(2);
            fixture.submit("old", [createStep({ taskCount: 4, resources: toCores(4) })]);
            const starts = fixture.startTasks();
            expect(starts.length).toEqual(4);
            fixture.scheduler.cancelJob(job);
            fixture.endRun(starts[1]!, "stopped");
            expect(fixture.scheduler.findRemainingTasks(job)).toEqual({
                team,
                tasks: [{ occurrence: 0, step: 0, resources: toCores(4), indexes: [0, 2, 3] }],
            });
            [0, 2, 3].forEach(index => fixture.endRun(starts[index]!, "stopped"));
            expect(fixture.scheduler.findRemainingTasks(job)).toEqual(undefined);
        });

        it("names those that an earlier owner may have started", () => {
            const fixture = createFixture(2);
            fixture.submit("old", [createStep({ taskCount: 2 })], "queue", true);
            fixture.scheduler.cancelJob(job);
            expect(fixture.scheduler.findRemainingTasks(job)?.tasks[0]?.indexes).toEqual([0, 1]);
        });
    });

    describe("under an earlier owner", () => {
        it("is charged to its team until its tasks are released, and nothing of it starts", () => {
            const fixture = createFixture(3);
            fixture.putExecutor(2, "unreachable");
            addEndedJob(fixture, team);
            fixture.submit("new", [createStep({ taskCount: 20 })]);
            expect(fixture.startTasks().length).toEqual(12);
            expect(fixture.scheduler.forgetJob(job)).toEqual(false);
            fixture.scheduler.releaseUnknownTasks();
            expect(fixture.startTasks().map(start => start.task.split(".")[0])).toEqual(Array<string>(8).fill("new"));
            expect(fixture.scheduler.forgetJob(job)).toEqual(true);
        });

        it("is charged to its team and executor while a run of it is listed there", () => {
            const fixture = createFixture(2);
            addEndedJob(fixture, team);
            const listed = { task: toId<TaskKey>("old.2.1.3"), run: 7, checkpoint: "", percent: 0 };
            const executor = toId<ExecutorId>("e0");
            expect(fixture.scheduler.adoptRun(fixture.now, executor, listed)).toEqual(false);
            fixture.scheduler.adoptRunToStop(fixture.now, executor, listed);
            fixture.scheduler.releaseUnknownTasks();
            fixture.submit("new", [createStep({ taskCount: 20 })]);
            expect(fixture.startTasks().length).toEqual(16);
            fixture.scheduler.recordEnd(fixture.now, { executor, ...listed, outcome: "stopped" });
            expect(fixture.startTasks().length).toEqual(4);
        });
    });

    describe("of which nothing is known but a listed run", () => {
        it("counts toward the limit of every team with all that its executor has free", () => {
            // Guards against a team that exceeds its limit by runs whose record has expired or does not name its team.
            const fixture = createFixture(2);
            const executor = toId<ExecutorId>("e0");
            const listed = { task: toId<TaskKey>("old.0.0.0"), run: 7, checkpoint: "", percent: 0 };
            fixture.scheduler.adoptRunToStop(fixture.now, executor, listed);
            fixture.submit("new", [createStep({ taskCount: 20 })]);
            expect(fixture.startTasks().length).toEqual(4);
            fixture.scheduler.recordEnd(fixture.now, { executor, ...listed, outcome: "stopped" });
            expect(fixture.startTasks().length).toEqual(16);
        });
    });
});
