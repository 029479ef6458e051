import type { JobId } from "@waxwingroute/core";
import { SeededRandom, toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createStep, SchedulerFixture } from "./testing/scheduler-fixture.js";
import type { RunOutcome, StartDecision } from "./types.js";

const outcomes: readonly RunOutcome[] = ["done", "done", "done", "failed", "lost", "stopped", "crashed", "notStarted"];
const seeds = Array.from({ length: 20 }, (_, index) => index + 1);

describe("applyRunEnd", () => {
    describe("of a job that has ended", () => {
        it("starts no later step when a cancelled job's first step ends", () => {
            // Guards against steps of a cancelled job that start because the stop of its running task arrived late.
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep(), createStep({ taskCount: 8, after: [0] })]);
            const [first] = fixture.startTasks();
            fixture.scheduler.cancelJob(toId<JobId>("a"));
            fixture.endRun(first!, "done");
            expect(fixture.startTasks()).toEqual([]);
        });

        it("starts no further attempt of a task whose job has failed when another step ends", () => {
            // Guards against a task that is started again after all its attempts.
            const fixture = new SchedulerFixture(2);
            fixture.submit("a", [createStep(), createStep()]);
            const [first, second] = fixture.startTasks();
            fixture.endRun(first!, "failed");
            const [retried] = fixture.startTasks();
            fixture.endRun(retried!, "failed");
            expect(fixture.getJobState("a")).toEqual("failed");
            fixture.endRun(second!, "done");
            expect(fixture.startTasks()).toEqual([]);
        });

        for (const seed of seeds) {
            it(`starts nothing of it, whatever happens to its runs (seed ${seed})`, () => {
                // Guards against any path by which a task of an ended job becomes startable.
                const fixture = new SchedulerFixture(3);
                const random = new SeededRandom(seed);
                const running: StartDecision[] = [];
                const startedAfterEnd: string[] = [];
                for (let round = 0; round < 150; round++) {
                    fixture.now += 50;
                    if (round % 3 === 0) {
                        const isGang = random.getInteger(3) === 0;
                        const first = createStep({ taskCount: 1 + random.getInteger(4), isGang });
                        const schedule = { startAtWallMs: fixture.now, intervalMs: 300, occurrences: 3 };
                        fixture.addJob(`j${round}`, {
                            spec: {
                                payload: "",
                                steps: [first, createStep({ taskCount: 2, after: [0] }), createStep()],
                                schedule: random.getInteger(3) === 0 ? schedule : undefined,
                            },
                        });
                    }
                    fixture.scheduler.openDueOccurrences(fixture.now, fixture.now);
                    if (random.getInteger(3) === 0) {
                        fixture.scheduler.cancelJob(
                            toId<JobId>(`j${3 * random.getInteger(1 + Math.floor(round / 3))}`),
                        );
                    }
                    if (random.getInteger(10) === 0) {
                        const executor = toId<never>(`e${random.getInteger(3)}`);
                        fixture.scheduler.recordRunsLost(fixture.now, executor);
                    }
                    while (running.length > 0 && random.getInteger(3) > 0) {
                        const [run] = running.splice(random.getInteger(running.length), 1);
                        fixture.endRun(run!, random.pickOne(outcomes)!);
                    }
                    const endedBefore = new Set(listEndedJobs(fixture, round));
                    const starts = fixture.startTasks();
                    startedAfterEnd.push(
                        ...starts.map(({ task }) => task).filter(task => endedBefore.has(task.split(".")[0]!)),
                    );
                    running.push(...starts);
                }
                expect(startedAfterEnd).toEqual([]);
            });
        }
    });
});

function listEndedJobs(fixture: SchedulerFixture, lastRound: number): string[] {
    const names = Array.from({ length: lastRound + 1 }, (_, round) => `j${round}`);
    return names.filter(name => ["cancelled", "failed", "succeeded"].includes(fixture.getJobState(name) ?? ""));
}
