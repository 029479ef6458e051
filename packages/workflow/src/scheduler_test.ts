import type { ExecutorId, JobId, QueueId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { parseTaskKey } from "./keys.js";
import { createQueue, createStep, noLimit, SchedulerFixture, team, toCores } from "./testing/scheduler-fixture.js";
import type { StartDecision, TickDecisions } from "./types.js";

describe("WorkflowScheduler", () => {
    describe("room", () => {
        it("gives an executor no more than its capacity", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 10, resources: toCores(4.5) })]);
            expect(fixture.startTasks().length).toEqual(3);
            expect(fixture.startTasks().length).toEqual(0);
        });

        it("counts a task that is being stopped until its end is recorded", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ resources: toCores(16) })]);
            const [first] = fixture.startTasks();
            fixture.scheduler.cancelJob(toId<JobId>("a"));
            fixture.submit("b", [createStep({ resources: toCores(16) })]);
            expect(fixture.startTasks()).toEqual([]);
            fixture.endRun(first!, "stopped");
            expect(fixture.startTasks().length).toEqual(1);
        });

        it("starts nothing on an executor that is leaving or does not answer", () => {
            const fixture = new SchedulerFixture(2);
            fixture.putExecutor(0, "leaving");
            fixture.putExecutor(1, "unreachable");
            fixture.submit("a", [createStep()]);
            expect(fixture.startTasks()).toEqual([]);
        });

        it("counts only the memory of tasks that use idle processors", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 4, resources: toCores(16), usesIdleProcessors: true })]);
            expect(fixture.startTasks().length).toEqual(4);
        });
    });

    describe("steps", () => {
        it("starts a step only after all tasks of the steps before it are done", () => {
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep({ taskCount: 2 }), createStep({ after: [0] })]);
            const [first, second] = fixture.startTasks();
            fixture.endRun(first!, "done");
            expect(fixture.startTasks()).toEqual([]);
            fixture.endRun(second!, "done");
            const [third] = fixture.startTasks();
            expect(parseTaskKey(third!.task)?.step).toEqual(1);
            fixture.endRun(third!, "done");
            fixture.tick();
            expect(fixture.getJobState("a")).toEqual("succeeded");
        });

        it("keeps to labels and to the most tasks on one executor", () => {
            const fixture = new SchedulerFixture(3);
            fixture.putExecutor(0, "ready", ["fast"]);
            fixture.putExecutor(1, "ready", ["fast"]);
            fixture.submit("a", [createStep({ taskCount: 6, requiredLabel: "fast", maxPerExecutor: 2 })]);
            const starts = fixture.startTasks();
            expect(starts.map(start => start.executor).sort() as string[]).toEqual(["e0", "e0", "e1", "e1"]);
        });

        it("opens the occurrences of a schedule when they are due, and not before", () => {
            const fixture = new SchedulerFixture(1);
            fixture.scheduler.addJob(fixture.now, {
                job: toId<JobId>("a"),
                queue: toId<QueueId>("queue"),
                team,
                spec: {
                    payload: "",
                    steps: [createStep()],
                    schedule: { startAtWallMs: 50_000, intervalMs: 1_000, occurrences: 2 },
                },
                acceptedAt: fixture.now,
                mayHaveStarted: false,
            });
            fixture.scheduler.openDueOccurrences(fixture.now, 49_999);
            expect(fixture.startTasks()).toEqual([]);
            fixture.scheduler.openDueOccurrences(fixture.now, 51_000);
            const starts = fixture.startTasks();
            expect(starts.map(start => start.task) as string[]).toEqual(["a.0.0.0", "a.1.0.0"]);
            starts.forEach(start => fixture.endRun(start, "done"));
            expect(fixture.getJobState("a")).toEqual("succeeded");
        });
    });

    describe("gangs", () => {
        it("starts all members with one run number, or none", () => {
            const fixture = new SchedulerFixture(2);
            fixture.submit("big", [createStep({ taskCount: 7, resources: toCores(4.5), isGang: true })]);
            expect(fixture.startTasks()).toEqual([]);
            fixture.submit("fits", [createStep({ taskCount: 6, resources: toCores(4.5), isGang: true })]);
            const starts = fixture.startTasks();
            expect(starts.length).toEqual(6);
            expect(new Set(starts.map(start => start.run)).size).toEqual(1);
        });

        it("counts a failed run once, whichever member reports it", () => {
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep({ taskCount: 3, isGang: true })]);
            fixture.startTasks().forEach(start => fixture.endRun(start, "failed"));
            expect(fixture.getJobState("a")).toEqual("running");
            fixture.startTasks().forEach(start => fixture.endRun(start, "failed"));
            expect(fixture.getJobState("a")).toEqual("failed");
        });

        it("stops the other members when one was refused, and starts all again", () => {
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep({ taskCount: 3, isGang: true })]);
            const [first, second, third] = fixture.startTasks();
            fixture.endRun(first!, "notStarted");
            expect(fixture.tick().stops.map(stop => stop.task)).toEqual([second!.task, third!.task]);
            fixture.endRun(second!, "stopped");
            expect(fixture.startTasks()).toEqual([]);
            fixture.endRun(third!, "stopped");
            expect(fixture.startTasks().length).toEqual(3);
        });

        it("reserves no executors for a gang that the limit of its team forbids", () => {
            // Guards against a gang beyond its team's limit that kept executors from all other work for ever.
            const fixture = new SchedulerFixture(2, [createQueue("queue")], { ...noLimit, cpuMillis: 8_000 });
            fixture.submit("gang", [createStep({ taskCount: 6, resources: toCores(4.5), isGang: true })]);
            fixture.submit("other", [createStep({ estimateMs: 60_000 })]);
            expect(fixture.startTasks().length).toEqual(1);
        });
    });

    describe("limits and attempts", () => {
        it("starts nothing that brings a team over its limit", () => {
            const fixture = new SchedulerFixture(4, [createQueue("queue")], { ...noLimit, cpuMillis: 3_000 });
            fixture.submit("a", [createStep({ taskCount: 5 })]);
            expect(fixture.startTasks().length).toEqual(3);
        });

        it("fails the job after the last attempt and stops what else runs", () => {
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep({ taskCount: 2 })]);
            const [first, second] = fixture.startTasks();
            fixture.endRun(first!, "failed");
            const [again] = fixture.startTasks();
            fixture.endRun(again!, "failed");
            expect(fixture.getJobState("a")).toEqual("failed");
            expect(fixture.tick().stops.map(stop => stop.task)).toEqual([second!.task]);
        });

        it("counts an end once, however often it is reported", () => {
            // Guards against a stored end that its executor lists again to the next owner.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep()]);
            const [first] = fixture.startTasks();
            fixture.endRun(first!, "failed");
            fixture.endRun(first!, "failed");
            expect(fixture.getJobState("a")).toEqual("running");
        });

        it("restarts a long-running task however it ends", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ isLongRunning: true })]);
            for (const outcome of ["failed", "done", "failed", "failed", "lapsed"] as const) {
                const [run] = fixture.startTasks();
                fixture.endRun(run!, outcome);
            }
            expect(fixture.startTasks().length).toEqual(1);
            expect(fixture.getJobState("a")).toEqual("running");
        });

        it("resumes from the last checkpoint, which any member of a gang can give", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 2, isGang: true, savesCheckpoints: true })]);
            const [first, second] = fixture.startTasks();
            fixture.endRun(first!, "memberEnded", "at-40");
            fixture.endRun(second!, "memberEnded");
            expect(fixture.startTasks().map(start => start.checkpoint)).toEqual(["at-40", "at-40"]);
        });
    });

    describe("advice", () => {
        const queue = createQueue("queue", { advice: { callMs: 10, perExecutorMs: 1, validMs: 2_500 } });

        it("starts only on granted executors, with their tickets, and never names a refused one again", () => {
            const fixture = new SchedulerFixture(8, [queue]);
            fixture.submit("a", [createStep({ taskCount: 20, resources: toCores(4.5) })]);
            expect(fixture.startTasks()).toEqual([]);
            const isGranted = (executor: ExecutorId) => Number(executor.slice(1)) % 2 === 0;
            const askedCounts = new Map<string, number>();
            for (let round = 0; round < 6; round++) {
                for (const { executors } of fixture.grantAdvice(isGranted)) {
                    executors.forEach(executor => askedCounts.set(executor, (askedCounts.get(executor) ?? 0) + 1));
                }
                fixture.startTasks().forEach(start => {
                    expect(isGranted(start.executor)).toEqual(true);
                    expect(start.ticket).toEqual(`t-${start.executor}`);
                });
            }
            [...askedCounts].filter(([executor]) => !isGranted(executor as ExecutorId)).forEach(([, count]) =>
                expect(count).toEqual(1)
            );
        });

        it("asks again for an executor whose ticket ran out, before it starts there", () => {
            const fixture = new SchedulerFixture(1, [queue]);
            fixture.submit("a", [createStep()]);
            fixture.grantAdvice(() => true);
            fixture.now += 2_400;
            expect(fixture.startTasks()).toEqual([]);
            expect(fixture.grantAdvice(() => true).length).toEqual(1);
            expect(fixture.startTasks().length).toEqual(1);
        });

        it("asks for other executors when the granted ones are reserved for a gang", () => {
            // Guards against work that counted reserved executors as its own and never asked for others.
            const fixture = new SchedulerFixture(8, [queue]);
            fixture.submit("fill", [createStep({ taskCount: 8, resources: toCores(10), estimateMs: 60_000 })]);
            while (fixture.grantAdvice(() => true).length > 0) {
                fixture.startTasks();
            }
            fixture.submit("gang", [
                createStep({ taskCount: 3, resources: toCores(16), isGang: true, estimateMs: 100 }),
            ]);
            fixture.grantAdvice(() => true);
            fixture.startTasks();
            fixture.submit("other", [createStep({ taskCount: 1, resources: toCores(4), estimateMs: 60_000 })]);
            let started = 0;
            for (let round = 0; round < 10 && started === 0; round++) {
                fixture.grantAdvice(() => true);
                started += fixture.startTasks().length;
            }
            expect(started).toEqual(1);
        });
    });

    describe("after a change of owner", () => {
        it("keeps tasks back that may run somewhere until all executors are settled", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("old", [createStep()], "queue", true);
            fixture.submit("new", [createStep()]);
            expect(fixture.startTasks().map(start => start.task) as string[]).toEqual(["new.0.0.0"]);
            fixture.scheduler.releaseUnknownTasks();
            expect(fixture.startTasks().map(start => start.task) as string[]).toEqual(["old.0.0.0"]);
        });

        it("numbers runs above all of earlier owners", () => {
            const fixture = new SchedulerFixture(1);
            fixture.scheduler.setEpoch(3);
            fixture.submit("a", [createStep()]);
            expect(fixture.startTasks()[0]!.run > 20_000).toEqual(true);
        });

        it("starts nothing beside a run of unknown size until its end is recorded", () => {
            // Guards against overcommitting an executor that still runs a task of a job that an earlier owner ended.
            const fixture = new SchedulerFixture(1);
            const orphan = { task: "gone.0.0.0" as never, run: 5, checkpoint: "", percent: 3 };
            const executor = toId<ExecutorId>("e0");
            expect(fixture.scheduler.adoptRun(fixture.now, executor, orphan)).toEqual(false);
            fixture.scheduler.adoptOrphanedRun(fixture.now, executor, orphan);
            fixture.submit("a", [createStep()]);
            expect(fixture.startTasks()).toEqual([]);
            fixture.endRun({ executor, ...orphan, payload: "", ticket: undefined, slackMs: 0 }, "stopped");
            expect(fixture.startTasks().length).toEqual(1);
        });

        it("stops a run whose job has ended", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep()], "queue", true);
            fixture.scheduler.cancelJob(toId<JobId>("a"));
            const listed = { task: "a.0.0.0" as never, run: 5, checkpoint: "", percent: 3 };
            expect(fixture.scheduler.adoptRun(fixture.now, toId<ExecutorId>("e0"), listed)).toEqual(false);
        });
    });

    describe("serving tasks beside tasks that use idle processors", () => {
        const serving = createStep({ isLongRunning: true, targetMs: 100, resources: toCores(4) });
        const bestEffort = createStep({ isLongRunning: true, usesIdleProcessors: true, resources: toCores(8) });

        function createServingFixture(): {
            fixture: SchedulerFixture;
            reportTail: (tailMs: number) => TickDecisions["throttles"];
        } {
            const fixture = new SchedulerFixture(1);
            fixture.submit("serve", [serving]);
            fixture.submit("fill", [bestEffort]);
            const starts = fixture.startTasks();
            const servingStart = starts.find(start => start.task.startsWith("serve"))!;
            const reportTail = (tailMs: number) => {
                fixture.now += 500;
                const { executor, task, run } = servingStart;
                fixture.scheduler.recordRunning(fixture.now, executor, {
                    task,
                    run,
                    checkpoint: "",
                    percent: 100,
                    tailMs,
                });
                return fixture.tick().throttles;
            };
            return { fixture, reportTail };
        }

        it("slows them to a stop within 2 s while the target is missed", () => {
            // Guards against filling work that goes on while a serving task misses its target for seconds.
            const { reportTail: report } = createServingFixture();
            const percents = [1, 2, 3, 4].flatMap(() => report(150).map(pace => pace.percent));
            expect(percents.at(-1)).toEqual(0);
            expect(percents.length <= 4).toEqual(true);
        });

        it("lets them work again step by step, and to the full", () => {
            const { fixture, reportTail: report } = createServingFixture();
            [1, 2, 3, 4].forEach(() => report(150));
            const percents: number[] = [];
            for (let round = 0; round < 30; round++) {
                fixture.now += 1_500;
                percents.push(...report(20).map(pace => pace.percent));
            }
            expect(percents.slice(0, 2)).toEqual([15, 30]);
            expect(percents.at(-1)).toEqual(100);
        });

        it("decides a pace again that was not confirmed", () => {
            const { fixture, reportTail: report } = createServingFixture();
            const [pace] = report(150);
            fixture.scheduler.recordThrottleUnconfirmed(pace!.executor, pace!.task, pace!.run);
            expect(fixture.tick().throttles).toEqual([pace!]);
        });

        it("leaves them alone where nothing is served", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("fill", [bestEffort]);
            fixture.startTasks();
            expect(fixture.tick().throttles).toEqual([]);
        });
    });

    describe("faulty executors", () => {
        it("moves a run that makes no progress", () => {
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep()]);
            const [stalled] = fixture.startTasks();
            fixture.now += 4_000;
            expect(fixture.tick().stops).toEqual([{
                executor: stalled!.executor,
                task: stalled!.task,
                run: stalled!.run,
                reason: "stalled",
                percent: 0,
            }]);
            fixture.endRun(stalled!, "stopped");
            expect(fixture.startTasks()[0]!.executor === stalled!.executor).toEqual(false);
        });

        it("moves a long-running task that is not at work, and leaves one alone that is", () => {
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep({ isLongRunning: true })]);
            const [{ executor, task, run }] = fixture.startTasks() as [StartDecision];
            const report = (percent: number) =>
                fixture.scheduler.recordRunning(fixture.now, executor, { task, run, checkpoint: "", percent });
            report(100);
            fixture.now += 60_000;
            report(100);
            expect(fixture.tick().stops).toEqual([]);
            for (let elapsed = 0; elapsed < 3_500; elapsed += 500) {
                fixture.now += 500;
                report(40);
            }
            expect(fixture.tick().stops.map(stop => stop.reason)).toEqual(["stalled"]);
        });

        it("does not move members of a gang that wait for the slowest, nor runs of a silent executor", () => {
            // Guards against throwing away the work of a whole gang because one member takes longer.
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep({ taskCount: 2, isGang: true, resources: toCores(16) })]);
            const [fast, slow] = fixture.startTasks();
            fixture.now += 1_000;
            fixture.scheduler.recordRunning(fixture.now, fast!.executor, { ...fast!, percent: 100 });
            for (let percent = 1; percent < 10; percent++) {
                fixture.now += 1_000;
                fixture.scheduler.recordRunning(fixture.now, slow!.executor, { ...slow!, percent });
                expect(fixture.tick().stops).toEqual([]);
            }
            fixture.putExecutor(0, "unreachable");
            fixture.putExecutor(1, "unreachable");
            fixture.now += 10_000;
            expect(fixture.tick().stops).toEqual([]);
        });

        it("avoids an executor that fails what others finish", () => {
            const fixture = new SchedulerFixture(4, [createQueue("queue", { maxAttempts: 20 })]);
            for (let round = 0; round < 6; round++) {
                fixture.submit(`j${round}`, [createStep({ taskCount: 40 })]);
                fixture.startTasks().forEach(start =>
                    fixture.endRun(start, start.executor === "e1" ? "failed" : "done")
                );
            }
            fixture.submit("last", [createStep({ taskCount: 4 })]);
            expect(fixture.startTasks().some(start => start.executor === "e1")).toEqual(false);
        });
    });
});
