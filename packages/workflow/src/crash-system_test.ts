import type { ExecutorId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { RunOutcome, StartDecision } from "./types.js";

/** Crashes under one task after which three more starts of it break the rule of the platform. */
const toleratedCrashes = 3;

class Fixture extends SchedulerFixture {
    /** Starts what can start; confirms the starts without listing them, so that none is proven. */
    startUnproven(): readonly StartDecision[] {
        const { starts } = this.tick();
        starts.forEach(({ executor, task, run }) => this.scheduler.recordStarted(this.now, executor, task, run));
        return starts;
    }

    prove({ executor, task, run }: StartDecision): void {
        this.scheduler.recordRunning(this.now, executor, { task, run, checkpoint: "", percent: 0 });
    }

    /** Ends all given runs of an executor as after a crash: with the same outcome that a session reports. */
    crash(executor: ExecutorId, starts: readonly StartDecision[]): void {
        const lost = starts.filter(start => start.executor === executor);
        const outcome: RunOutcome = lost.length === 1 ? "crashed" : "suspected";
        lost.forEach(start => this.endRun(start, outcome));
    }

    /** Plays until nothing is open: the tasks of `crashing` jobs crash their executors, the others end at once. */
    play(crashing: ReadonlySet<string>, maxTicks: number): Map<string, number> {
        const startsByTask = new Map<string, number>();
        for (let tick = 0; tick < maxTicks; tick++) {
            this.now += 100;
            const starts = this.startUnproven();
            for (const { task } of starts) {
                startsByTask.set(task, (startsByTask.get(task) ?? 0) + 1);
            }
            const isGuilty = ({ task }: StartDecision) => crashing.has(task.split(".")[0]!);
            const crashed = new Set(starts.filter(isGuilty).map(({ executor }) => executor));
            crashed.forEach(executor => this.crash(executor, starts));
            starts.filter(({ executor }) => !crashed.has(executor)).forEach(start => {
                this.prove(start);
                this.endRun(start, "done");
            });
        }
        return startsByTask;
    }
}

describe("crash system", () => {
    describe("tasks that crash their executors", () => {
        it("gives a job up after as many crashes of one task as are tolerated, and finishes its neighbours", () => {
            // Guards against one task that crashes executor after executor.
            const fixture = new Fixture(4);
            ["a", "b", "c"].forEach(job => fixture.submit(job, [createStep({ taskCount: 3 })]));
            const starts = fixture.play(new Set(["b"]), 60);
            expect(fixture.getJobState("a")).toEqual("succeeded");
            expect(fixture.getJobState("b")).toEqual("failed");
            expect(fixture.getJobState("c")).toEqual("succeeded");
            expect(Math.max(...starts.values()) <= toleratedCrashes).toEqual(true);
        });

        it("does not give a job up for crashes that had other suspects", () => {
            // Guards against a count that cannot tell the cause from its neighbours.
            const fixture = new Fixture(1);
            fixture.submit("a", [createStep()]);
            const executor = toId<ExecutorId>("e0");
            for (let run = 1; run <= 5; run++) {
                const end = { executor, task: "a.0.0.0" as StartDecision["task"], run, checkpoint: "" };
                fixture.scheduler.recordEnd(fixture.now, { ...end, outcome: "suspected" });
            }
            expect(fixture.getJobState("a")).toEqual("queued");
        });

        it("leaves most executors to other queues when half of the jobs of one queue crash their executors", () => {
            // Guards against a collapse of all work by the crashing jobs of one queue.
            const fixture = new Fixture(16, [createQueue("queue"), createQueue("other")]);
            const crashing = new Set<string>();
            for (let index = 0; index < 40; index++) {
                fixture.submit(`a${index}`, [createStep()]);
                if (index % 2 === 0) {
                    crashing.add(`a${index}`);
                }
            }
            fixture.play(crashing, 4);
            fixture.submit("b", [createStep({ taskCount: 8, resources: toCores(16) })], "other");
            fixture.play(crashing, 2);
            expect(fixture.getJobState("b")).toEqual("succeeded");
            fixture.play(crashing, 400);
            for (let index = 0; index < 40; index++) {
                const job = `a${index}`;
                expect([job, fixture.getJobState(job)]).toEqual([job, crashing.has(job) ? "failed" : "succeeded"]);
            }
        });
    });

    describe("probes", () => {
        it("starts nothing beside a probe until it is proven", () => {
            // Guards against a second crash that again has several suspects.
            const fixture = new Fixture(1);
            fixture.submit("a", [createStep({ taskCount: 2 })]);
            fixture.crash(toId<ExecutorId>("e0"), fixture.startUnproven());
            fixture.submit("b", [createStep()]);
            fixture.now += 100;
            const [probe, ...others] = fixture.startUnproven();
            expect(others).toEqual([]);
            expect(probe!.isProbe).toEqual(true);
            fixture.prove(probe!);
            fixture.now += 100;
            expect(fixture.startUnproven().length > 0).toEqual(true);
        });

        it("bounds the executors on which probes are in flight", () => {
            const fixture = new Fixture(16);
            fixture.submit("a", [createStep({ taskCount: 32, resources: toCores(8) })]);
            const starts = fixture.startUnproven();
            expect(starts.length).toEqual(32);
            new Set(starts.map(({ executor }) => executor)).forEach(executor => fixture.crash(executor, starts));
            fixture.now += 100;
            const probes = fixture.startUnproven();
            expect(probes.length > 0).toEqual(true);
            // Half of the executors that are idle after it.
            expect(probes.length <= (16 - probes.length) / 2).toEqual(true);
        });
    });

    describe("queues with many crashes", () => {
        it("probes all starts once several executors are silent after unproven starts, and some proven ones end that", () => {
            // Guards against learning of crashes only when the successors of the executors answer, seconds later.
            const fixture = new Fixture(16);
            const submitWide = (job: string) =>
                fixture.submit(job, [createStep({ taskCount: 16, resources: toCores(16) })]);
            submitWide("a");
            expect(fixture.startUnproven().length).toEqual(16);
            for (let index = 0; index < 4; index++) {
                fixture.putExecutor(index, "unreachable");
            }
            fixture.scheduler.cancelJob(toId("a"));
            for (let index = 4; index < 16; index++) {
                fixture.scheduler.recordRunsLost(fixture.now, toId<ExecutorId>(`e${index}`));
            }
            submitWide("b");
            fixture.now += 100;
            const probes = fixture.startUnproven();
            expect(probes.every(({ isProbe }) => isProbe)).toEqual(true);
            expect(probes.length <= 12 / 2).toEqual(true);
            probes.forEach(probe => fixture.prove(probe));
            fixture.now += 100;
            expect(fixture.startUnproven().length > 0).toEqual(true);
            for (let round = 0; round < 20; round++) {
                fixture.now += 100;
                fixture.startUnproven().forEach(start => {
                    fixture.prove(start);
                    fixture.endRun(start, "done");
                });
            }
            submitWide("c");
            fixture.now += 100;
            expect(fixture.startUnproven().some(({ isProbe }) => isProbe)).toEqual(false);
        });
    });

    describe("after a change of owner", () => {
        it("counts the crashes that earlier owners stored, each once", () => {
            // Guards against a budget that begins anew with each owner.
            const fixture = new Fixture(4);
            fixture.submit("a", [createStep()]);
            const executor = toId<ExecutorId>("e0");
            for (const run of [1, 2, 2, 1]) {
                const end = { executor, task: "a.0.0.0" as StartDecision["task"], run, checkpoint: "" };
                fixture.scheduler.recordEnd(fixture.now, { ...end, outcome: "crashed" });
            }
            expect(fixture.getJobState("a")).toEqual("queued");
            const [probe] = fixture.startUnproven();
            fixture.crash(probe!.executor, [probe!]);
            expect(fixture.getJobState("a")).toEqual("failed");
        });
    });
});
