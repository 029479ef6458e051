import type { ExecutorId, JobId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { parseTaskKey } from "./keys.js";
import { createQueue, createStep, noLimit, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { RunEnd, StartDecision, TaskKey, TickDecisions } from "./types.js";

describe("the workflow scheduler", () => {
    // Guards against overcommitting an executor.
    describe("with executors of limited capacity", () => {
        it("starts no more on an executor than its capacity allows", () => {
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 10, resources: toCores(4.5) })]);
            expect(fixture.startTasks().length).toEqual(3);
            expect(fixture.startTasks().length).toEqual(0);
        });

        it("charges a run that is being stopped until its end is recorded", () => {
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

        it("charges best-effort tasks for memory but not for processors", () => {
            // Guards against idle processors that stay unused because best-effort tasks are charged for them.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 4, resources: toCores(16), usesIdleProcessors: true })]);
            expect(fixture.startTasks().length).toEqual(4);
        });
    });

    describe("with steps and schedules", () => {
        it("starts a step only after all tasks of the steps it depends on are done", () => {
            // Guards against a step that runs on incomplete results of an earlier step.
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

        it("starts tasks only on executors with the required label, and no more on one than the step allows", () => {
            // Guards against tasks on executors that cannot run them, and against losing too many with one executor.
            const fixture = new SchedulerFixture(3);
            fixture.putExecutor(0, "ready", ["fast"]);
            fixture.putExecutor(1, "ready", ["fast"]);
            fixture.submit("a", [createStep({ taskCount: 6, requiredLabel: "fast", maxPerExecutor: 2 })]);
            const starts = fixture.startTasks();
            expect(starts.map(start => start.executor).sort() as string[]).toEqual(["e0", "e0", "e1", "e1"]);
        });

        it("starts the occurrences of a schedule when they are due, and not before", () => {
            // Guards against early occurrences, and against occurrences that are skipped when several are due at once.
            const fixture = new SchedulerFixture(1);
            const schedule = { startAtWallMs: 50_000, intervalMs: 1_000, occurrences: 2 };
            fixture.addJob("a", { spec: { payload: "", steps: [createStep()], schedule } });
            fixture.scheduler.openDueOccurrences(fixture.now, 49_999);
            expect(fixture.startTasks()).toEqual([]);
            fixture.scheduler.openDueOccurrences(fixture.now, 51_000);
            const starts = fixture.startTasks();
            expect(starts.map(start => start.task) as string[]).toEqual(["a.0.0.0", "a.1.0.0"]);
            starts.forEach(start => fixture.endRun(start, "done"));
            expect(fixture.getJobState("a")).toEqual("succeeded");
        });
    });

    describe("with a schedule whose occurrences are all due at once", () => {
        it("opens only as many as it can hold, and the others as these are finished", () => {
            // Guards against one job that ends the process, out of memory or in an endless loop.
            const fixture = new SchedulerFixture(1);
            const schedule = { startAtWallMs: 0, intervalMs: 0, occurrences: 1_000_000_000 };
            const steps = [createStep({ taskCount: 5_000, resources: noLimit })];
            fixture.addJob("a", { spec: { payload: "", steps, schedule } });
            fixture.scheduler.openDueOccurrences(fixture.now, fixture.now);
            const starts = fixture.startTasks();
            expect(new Set(starts.map(({ task }) => parseTaskKey(task)?.occurrence))).toEqual(new Set([0, 1, 2, 3]));
            starts.filter(({ task }) => parseTaskKey(task)?.occurrence === 0).forEach(start => {
                fixture.endRun(start, "done");
            });
            fixture.scheduler.openDueOccurrences(fixture.now, fixture.now);
            expect(parseTaskKey(fixture.startTasks()[0]!.task)?.occurrence).toEqual(4);
        });
    });

    describe("with ends of occurrences that an earlier owner opened and that are not open yet", () => {
        // Guards against second starts after a takeover by a host whose clock is behind that of the owner before.
        const schedule = { startAtWallMs: 50_000, intervalMs: 1_000, occurrences: 3 };
        const end = (task: string): RunEnd => ({
            executor: toId<ExecutorId>("e0"),
            task: toId<TaskKey>(task),
            run: 1,
            outcome: "done",
            checkpoint: "",
        });

        for (const source of ["storedEnd", "listing"] as const) {
            it(`does not start their tasks again when they become due (${source})`, () => {
                const fixture = new SchedulerFixture(1);
                const steps = [createStep({ taskCount: 2 })];
                fixture.addJob("a", { spec: { payload: "", steps, schedule }, mayHaveStarted: true });
                fixture.scheduler.openDueOccurrences(fixture.now, 50_900);
                ["a.0.0.0", "a.0.0.1", "a.1.0.0"].forEach(task =>
                    expect(fixture.scheduler.recordEnd(fixture.now, end(task), source)).toEqual(true)
                );
                fixture.scheduler.releaseUnknownTasks();
                fixture.scheduler.openDueOccurrences(fixture.now, 51_000);
                expect(fixture.startTasks().map(start => start.task) as string[]).toEqual(["a.1.0.1"]);
            });
        }

        it("takes over a run of such an occurrence that an executor lists, and starts only the other tasks", () => {
            const fixture = new SchedulerFixture(2);
            fixture.addJob("a", { spec: { payload: "", steps: [createStep({ taskCount: 2 })], schedule } });
            const listed = { task: toId<TaskKey>("a.1.0.0"), run: 1, checkpoint: "", percent: 10 };
            expect(fixture.scheduler.adoptRun(fixture.now, toId<ExecutorId>("e0"), listed)).toEqual(true);
            fixture.scheduler.openDueOccurrences(fixture.now, 51_000);
            const tasks = fixture.startTasks().map(start => start.task) as string[];
            expect(tasks.sort()).toEqual(["a.0.0.0", "a.0.0.1", "a.1.0.1"]);
        });

        it("does not start them again when there are more than a job has open at a time", () => {
            const fixture = new SchedulerFixture(1);
            const steps = [createStep({ taskCount: 5_000, resources: noLimit })];
            const atOnce = { startAtWallMs: 0, intervalMs: 0, occurrences: 6 };
            fixture.addJob("a", { spec: { payload: "", steps, schedule: atOnce }, mayHaveStarted: true });
            fixture.scheduler.openDueOccurrences(fixture.now, fixture.now);
            for (let occurrence = 0; occurrence < 6; occurrence++) {
                for (let index = 0; index < 5_000; index++) {
                    fixture.scheduler.recordEnd(fixture.now, end(`a.${occurrence}.0.${index}`), "storedEnd");
                }
            }
            fixture.scheduler.releaseUnknownTasks();
            fixture.scheduler.openDueOccurrences(fixture.now, fixture.now);
            expect(fixture.startTasks().length).toEqual(0);
            expect(fixture.getJobState("a")).toEqual("succeeded");
        });

        it("keeps back their tasks that an executor may still run, until it is settled", () => {
            const fixture = new SchedulerFixture(1);
            const steps = [createStep({ taskCount: 2 })];
            fixture.addJob("a", { spec: { payload: "", steps, schedule }, mayHaveStarted: true });
            fixture.scheduler.releaseUnknownTasks(new Set([toId<TaskKey>("a.0.0.0")]));
            fixture.scheduler.openDueOccurrences(fixture.now, 50_000);
            expect(fixture.startTasks().map(start => start.task) as string[]).toEqual(["a.0.0.1"]);
            fixture.scheduler.releaseUnknownTasks();
            expect(fixture.startTasks().map(start => start.task) as string[]).toEqual(["a.0.0.0"]);
        });

        it("ignores those of occurrences that the job does not have", () => {
            const fixture = new SchedulerFixture(1);
            fixture.addJob("a", { spec: { payload: "", steps: [createStep()], schedule } });
            expect(fixture.scheduler.recordEnd(fixture.now, end("a.3.0.0"))).toEqual(false);
        });
    });

    describe("with a job of a queue that was removed", () => {
        it("schedules it by the rules at its acceptance, after a change of owner too", () => {
            // Guards against accepted jobs that stand for ever once the owner changes.
            const fixture = new SchedulerFixture(1);
            const queueRules = createQueue("removed");
            const spec = { payload: "", steps: [createStep()] };
            fixture.addJob("a", { spec, queue: queueRules.queue, queueRules });
            const [start] = fixture.startTasks();
            fixture.endRun(start!, "done");
            expect(fixture.getJobState("a")).toEqual("succeeded");
        });
    });

    describe("with an executor that refuses starts", () => {
        function refuse(fixture: SchedulerFixture, starts: readonly StartDecision[]): void {
            starts.forEach(start => fixture.endRun(start, "notStarted"));
        }

        it("counts a job as pending until an executor has begun one of its tasks", () => {
            // Guards against a count of pending jobs that leaves out jobs of which nothing runs.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep()]);
            refuse(fixture, fixture.tick().starts);
            expect([...fixture.scheduler.countPending().values()]).toEqual([1]);
            fixture.now += 200;
            expect(fixture.startTasks().length).toEqual(1);
            expect([...fixture.scheduler.countPending().values()]).toEqual([]);
            expect(fixture.getJobState("a")).toEqual("running");
        });

        it("asks it again after growing delays, and at once after it has taken one", () => {
            // Guards against a thousand refused starts a second.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 4 })]);
            let rounds = 0;
            for (let elapsed = 0; elapsed < 10_000; elapsed += 10) {
                fixture.now += 10;
                const { starts } = fixture.tick();
                rounds += starts.length > 0 ? 1 : 0;
                refuse(fixture, starts);
            }
            expect(rounds >= 6 && rounds <= 12).toEqual(true);
            fixture.now += 2_000;
            expect(fixture.startTasks().length).toEqual(4);
            fixture.submit("b", [createStep()]);
            expect(fixture.startTasks().length).toEqual(1);
        });
    });

    describe("with runs that make no progress", () => {
        for (
            const { name, isListed } of [{ name: "stops one that is listed", isListed: true }, {
                name: "stops none of an executor that lists nothing for a while",
                isListed: false,
            }]
        ) {
            it(name, () => {
                // Guards against running tasks of a machine that is only slow to report, which are stopped when it is back.
                const fixture = new SchedulerFixture(1);
                fixture.submit("a", [createStep({ estimateMs: 8_000 })]);
                const [{ executor, task, run }] = fixture.startTasks() as [StartDecision];
                const stops: unknown[] = [];
                for (let elapsed = 0; elapsed < 6_000; elapsed += 500) {
                    fixture.now += 500;
                    if (isListed) {
                        fixture.scheduler.recordRunning(fixture.now, executor, {
                            task,
                            run,
                            checkpoint: "",
                            percent: 0,
                        });
                    }
                    stops.push(...fixture.tick().stops);
                }
                expect(stops.length).toEqual(isListed ? 1 : 0);
            });
        }
    });

    // Guards against gangs that run incompletely, or block each other or other work.
    describe("with gangs", () => {
        it("starts all members with one run number, or none of them", () => {
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

        it("stops the other members when the start of one was refused, and starts all again after their ends", () => {
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
            // Guards against a gang over the limit of its team that keeps executors from all other work for ever.
            const fixture = new SchedulerFixture(2, [createQueue("queue")], { ...noLimit, cpuMillis: 8_000 });
            fixture.submit("gang", [createStep({ taskCount: 6, resources: toCores(4.5), isGang: true })]);
            fixture.submit("other", [createStep({ estimateMs: 60_000 })]);
            expect(fixture.startTasks().length).toEqual(1);
        });
    });

    describe("with team limits, failures and checkpoints", () => {
        it("starts no task that would bring its team over its limit", () => {
            // Guards against a team that takes the resources of others.
            const fixture = new SchedulerFixture(4, [createQueue("queue")], { ...noLimit, cpuMillis: 3_000 });
            fixture.submit("a", [createStep({ taskCount: 5 })]);
            expect(fixture.startTasks().length).toEqual(3);
        });

        it("fails a job after the last attempt of a task and stops its other runs", () => {
            // Guards against endless attempts, and against runs of a failed job that keep executors busy.
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep({ taskCount: 2 })]);
            const [first, second] = fixture.startTasks();
            fixture.endRun(first!, "failed");
            const [again] = fixture.startTasks();
            fixture.endRun(again!, "failed");
            expect(fixture.getJobState("a")).toEqual("failed");
            expect(fixture.tick().stops.map(stop => stop.task)).toEqual([second!.task]);
        });

        it("counts a failed run once, however often its end is reported", () => {
            // Guards against failing a job because an executor lists an end again that the previous owner has stored.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep()]);
            const [first] = fixture.startTasks();
            fixture.endRun(first!, "failed");
            fixture.endRun(first!, "failed");
            expect(fixture.getJobState("a")).toEqual("running");
        });

        it("restarts a long-running task however its run ends", () => {
            // Guards against a service that stays down after its task ended or failed more often than others may.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ isLongRunning: true })]);
            for (const outcome of ["failed", "done", "failed", "failed", "lapsed"] as const) {
                const [run] = fixture.startTasks();
                fixture.endRun(run!, outcome);
            }
            expect(fixture.startTasks().length).toEqual(1);
            expect(fixture.getJobState("a")).toEqual("running");
        });

        it("resumes all members of a gang from the last checkpoint that any member saved", () => {
            // Guards against members that resume from different progress.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 2, isGang: true, savesCheckpoints: true })]);
            const [first, second] = fixture.startTasks();
            fixture.endRun(first!, "memberEnded", "at-40");
            fixture.endRun(second!, "memberEnded");
            expect(fixture.startTasks().map(start => start.checkpoint)).toEqual(["at-40", "at-40"]);
        });
    });

    describe("with an advisor", () => {
        const queue = createQueue("queue", { advice: { callMs: 10, perExecutorMs: 1, validMs: 2_500 } });

        it("starts only on granted executors, with their tickets, and never asks about a refused one again", () => {
            // Guards against starts that the advisor forbids, and against calls that cannot bring a new answer.
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

        it("asks again about an executor whose ticket has expired before it starts a task there", () => {
            // Guards against starts with expired tickets.
            const fixture = new SchedulerFixture(1, [queue]);
            fixture.submit("a", [createStep()]);
            fixture.grantAdvice(() => true);
            fixture.now += 2_400;
            expect(fixture.startTasks()).toEqual([]);
            expect(fixture.grantAdvice(() => true).length).toEqual(1);
            expect(fixture.startTasks().length).toEqual(1);
        });

        it("asks about other executors when the granted ones are reserved for a gang", () => {
            // Guards against a step that counts reserved executors as its own and never asks about others.
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
        it("starts no task that may still run elsewhere until unknown tasks are released", () => {
            // Guards against running a task twice: an earlier owner may have started it on an executor that does not
            // answer yet.
            const fixture = new SchedulerFixture(1);
            fixture.submit("old", [createStep()], "queue", true);
            fixture.submit("new", [createStep()]);
            expect(fixture.startTasks().map(start => start.task) as string[]).toEqual(["new.0.0.0"]);
            fixture.scheduler.releaseUnknownTasks();
            expect(fixture.startTasks().map(start => start.task) as string[]).toEqual(["old.0.0.0"]);
        });

        it("uses run numbers above those of earlier owners", () => {
            // Guards against taking a run of an earlier owner for one of this owner.
            const fixture = new SchedulerFixture(1);
            fixture.scheduler.setEpoch(3);
            fixture.submit("a", [createStep()]);
            expect(fixture.startTasks()[0]!.run > 20_000).toEqual(true);
        });

        it("starts nothing on an executor with a run of unknown resources until its end is recorded", () => {
            // Guards against overcommitting an executor that still runs a task of a job that an earlier owner ended.
            const fixture = new SchedulerFixture(1);
            const unknownRun = { task: "gone.0.0.0" as never, run: 5, checkpoint: "", percent: 3 };
            const executor = toId<ExecutorId>("e0");
            expect(fixture.scheduler.adoptRun(fixture.now, executor, unknownRun)).toEqual(false);
            fixture.scheduler.adoptRunToStop(fixture.now, executor, unknownRun);
            fixture.submit("a", [createStep()]);
            expect(fixture.startTasks()).toEqual([]);
            fixture.endRun(
                { executor, ...unknownRun, payload: "", ticket: undefined, slackMs: 0, isProbe: false },
                "stopped",
            );
            expect(fixture.startTasks().length).toEqual(1);
        });

        it("does not adopt a run whose job has ended", () => {
            // Guards against a run of a cancelled job that goes on under the next owner.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep()], "queue", true);
            fixture.scheduler.cancelJob(toId<JobId>("a"));
            const listed = { task: "a.0.0.0" as never, run: 5, checkpoint: "", percent: 3 };
            expect(fixture.scheduler.adoptRun(fixture.now, toId<ExecutorId>("e0"), listed)).toEqual(false);
        });
    });

    describe("with serving and best-effort tasks on one executor", () => {
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

        it("throttles best-effort tasks to a pause within 2 s while the latency target is missed", () => {
            // Guards against best-effort tasks that run on while a serving task misses its target for seconds.
            const { reportTail } = createServingFixture();
            const percents = [1, 2, 3, 4].flatMap(() => reportTail(150).map(decision => decision.percent));
            expect(percents.at(-1)).toEqual(0);
            expect(percents.length <= 4).toEqual(true);
        });

        it("raises the speed of best-effort tasks in steps up to full speed when the latency is low again", () => {
            // Guards against best-effort tasks that stay slow, or that disturb serving tasks again by a sudden restart.
            const { fixture, reportTail } = createServingFixture();
            [1, 2, 3, 4].forEach(() => reportTail(150));
            const percents: number[] = [];
            for (let round = 0; round < 30; round++) {
                fixture.now += 1_500;
                percents.push(...reportTail(20).map(decision => decision.percent));
            }
            expect(percents.slice(0, 2)).toEqual([15, 30]);
            expect(percents.at(-1)).toEqual(100);
        });

        it("repeats a throttle decision that was not confirmed", () => {
            // Guards against a task that runs on at the old speed because one order was lost.
            const { fixture, reportTail } = createServingFixture();
            const [decision] = reportTail(150);
            fixture.scheduler.recordThrottleUnconfirmed(decision!.executor, decision!.task, decision!.run);
            expect(fixture.tick().throttles).toEqual([decision!]);
        });

        it("does not throttle best-effort tasks on an executor without serving tasks", () => {
            // Guards against processors that stay idle although no serving task needs them.
            const fixture = new SchedulerFixture(1);
            fixture.submit("fill", [bestEffort]);
            fixture.startTasks();
            expect(fixture.tick().throttles).toEqual([]);
        });
    });

    describe("with an executor whose capacity changes", () => {
        function setCapacity(fixture: SchedulerFixture, cores: number): void {
            fixture.scheduler.updateExecutor({
                executor: toId<ExecutorId>("e0"),
                pool: toId("pool"),
                zone: toId("zone"),
                rack: undefined,
                labels: [],
                capacity: toCores(cores),
                state: "ready",
            });
        }

        it("starts nothing above a capacity that shrank, counting runs that are being stopped", () => {
            // Guards against an executor that is charged beyond what it can hold.
            const fixture = new SchedulerFixture(1);
            fixture.submit("a", [createStep({ taskCount: 4, resources: { ...toCores(4), memoryMb: 1 } })]);
            const starts = fixture.startTasks();
            expect(starts.length).toEqual(4);
            fixture.submit("b", [createStep({ taskCount: 4, resources: { ...toCores(4), memoryMb: 1 } })]);
            setCapacity(fixture, 8);
            fixture.scheduler.cancelJob(toId("a"));
            expect(fixture.startTasks()).toEqual([]);
            starts.slice(0, 2).forEach(start => fixture.endRun(start, "stopped"));
            expect(fixture.startTasks()).toEqual([]);
            fixture.endRun(starts[2]!, "stopped");
            expect(fixture.startTasks().length).toEqual(1);
        });

        it("uses a capacity that grows again at once, also for steps that were blocked", () => {
            const fixture = new SchedulerFixture(1);
            setCapacity(fixture, 4);
            fixture.submit("a", [createStep({ taskCount: 4, resources: { ...toCores(4), memoryMb: 1 } })]);
            expect(fixture.startTasks().length).toEqual(1);
            expect(fixture.startTasks()).toEqual([]);
            setCapacity(fixture, 16);
            expect(fixture.startTasks().length).toEqual(3);
        });
    });

    describe("with faulty executors", () => {
        it("stops a run that makes no progress and starts its task on another executor", () => {
            // Guards against a task that never ends because its executor hangs.
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep()]);
            const [stalled] = fixture.startTasks();
            const { executor, task, run } = stalled!;
            fixture.now += 4_000;
            // Only what the executor lists shows that the run stands still.
            fixture.scheduler.recordRunning(fixture.now, executor, { task, run, checkpoint: "", percent: 0 });
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

        it("lets a task end whose hundredth takes longer than its estimate allows", () => {
            // Guards against a healthy run that is stopped again and again, since progress is reported in whole percents.
            const fixture = new SchedulerFixture(4);
            const workMs = 600_000;
            fixture.submit("a", [createStep({ estimateMs: 60_000 })]);
            let [run] = fixture.startTasks();
            let beganAt = fixture.now;
            let stops = 0;
            for (
                let elapsedMs = 0;
                elapsedMs < 2 * workMs && fixture.getJobState("a") !== "succeeded";
                elapsedMs += 500
            ) {
                fixture.now += 500;
                const decisions = fixture.tick();
                if (decisions.stops.length > 0) {
                    stops += 1;
                    fixture.endRun(run!, "stopped");
                    continue;
                }
                const started = decisions.starts[0];
                if (started !== undefined) {
                    run = started;
                    beganAt = fixture.now;
                }
                const percent = Math.floor((fixture.now - beganAt) / workMs * 100);
                const { executor, task } = run!;
                fixture.scheduler.recordRunning(fixture.now, executor, {
                    task,
                    run: run!.run,
                    checkpoint: "",
                    percent,
                });
                if (percent >= 100) {
                    fixture.endRun(run!, "done");
                }
            }
            expect(fixture.getJobState("a")).toEqual("succeeded");
            expect(stops).toEqual(1);
        });

        it("stops a long-running task that is not fully available, but not one that is", () => {
            // Guards against a service that stays degraded, and against stopping a healthy one that stays at 100 %.
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

        it("does not stop members of a gang that wait for the slowest, nor runs on an unreachable executor", () => {
            // Guards against throwing away the work of a gang because one member takes longer, and that of runs whose
            // executor only cannot be reached.
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

        it("starts nothing on an executor whose failure rate is far above that of the others", () => {
            // Guards against an executor that fails task after task because it is always free first.
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
