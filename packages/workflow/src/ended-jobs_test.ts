import type { ExecutorId, JobId, QueueId, RackId, TeamId, ZoneId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, SchedulerFixture, team, toCores } from "./testing/scheduler-fixture.js";
import type { PoolId, TaskKey } from "./types.js";

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

        // Guards against one run that is never reported as ended, which would hold up all teams for good.
        describe("that is never reported as ended", () => {
            const executor = toId<ExecutorId>("e0");

            function list(fixture: SchedulerFixture, run: number): void {
                const listed = { task: toId<TaskKey>("old.0.0.0"), run, checkpoint: "", percent: 0 };
                fixture.scheduler.adoptRunToStop(fixture.now, executor, listed);
            }

            function createBlocked(): SchedulerFixture {
                const fixture = new SchedulerFixture(10, [createQueue("queue")], { ...limit, cpuMillis: 16_000 });
                list(fixture, 3);
                fixture.submit("new", [createStep({ taskCount: 4, resources: toCores(4) })]);
                return fixture;
            }

            /** Ticks each 100 ms for 30 s at most. Returns the time after which tasks were started, ms. */
            function measureBlock(fixture: SchedulerFixture, change: (elapsedMs: number) => void = () => {}): number {
                const startedAt = fixture.now;
                for (;;) {
                    change(fixture.now - startedAt);
                    const starts = fixture.startTasks();
                    if (starts.length > 0 || fixture.now - startedAt >= 30_000) {
                        expect(starts.length).toEqual(4);
                        expect(starts.some(start => start.executor === executor)).toEqual(false);
                        return fixture.now - startedAt;
                    }
                    fixture.now += 100;
                }
            }

            it("counts until a reachable executor must have stopped it", () => {
                expect(measureBlock(createBlocked())).toEqual(2_000);
            });

            it("counts until the lease of an unreachable executor must have ended", () => {
                const fixture = createBlocked();
                fixture.putExecutor(0, "unreachable");
                expect(measureBlock(fixture)).toEqual(8_000);
            });

            it("counts for the time of a stop after the executor is reachable again", () => {
                const fixture = createBlocked();
                const measured = measureBlock(
                    fixture,
                    elapsedMs => fixture.putExecutor(0, elapsedMs < 3_000 ? "unreachable" : "ready"),
                );
                expect(measured).toEqual(5_000);
            });

            it("counts no longer than the lease allows on an executor that is reachable now and then", () => {
                const fixture = createBlocked();
                const measured = measureBlock(
                    fixture,
                    elapsedMs => fixture.putExecutor(0, elapsedMs % 1_000 < 500 ? "unreachable" : "ready"),
                );
                expect(measured).toEqual(8_000);
            });

            it("does not count again when it is listed again", () => {
                const fixture = createBlocked();
                expect(measureBlock(fixture, () => list(fixture, 3))).toEqual(2_000);
            });

            it("counts for the same time on an executor whose capacity is not known", () => {
                const fixture = createBlocked();
                fixture.scheduler.updateExecutor({
                    executor,
                    pool: toId<PoolId>("pool"),
                    zone: toId<ZoneId>("zone"),
                    rack: toId<RackId>("r0"),
                    labels: [],
                    capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
                    state: "ready",
                    leavesAt: undefined,
                    emptyBy: undefined,
                });
                expect(measureBlock(fixture)).toEqual(2_000);
            });
        });
    });
});
