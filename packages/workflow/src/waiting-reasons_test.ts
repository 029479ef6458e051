import type { ExecutorId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, noLimit, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { QueueRules, StepSpec, TaskKey } from "./types.js";
import type { WaitingReason } from "./waiting-reasons.js";
import type { WaitingStep } from "./waiting-steps.js";

const advised = createQueue("queue", { advice: { callMs: 20, perExecutorMs: 1, validMs: 2_000 } });

class WaitingFixture extends SchedulerFixture {
    private readonly news: WaitingStep[] = [];

    /** Ticks and samples for some seconds. */
    wait(seconds: number, onSecond: () => void = () => undefined): void {
        for (let second = 0; second < seconds; second++) {
            this.now += 1_000;
            onSecond();
            this.tick();
            this.news.push(...this.scheduler.sampleWaitingSteps(this.now).news);
        }
    }

    /** Returns the reason that was reported last for the first step of a job. */
    getReason(job: string): WaitingReason | undefined {
        return this.news.findLast(({ step }) => step === `${job}.0.0`)?.cause.reason;
    }

    countReports(job: string): number {
        return this.news.filter(({ step }) => step === `${job}.0.0`).length;
    }
}

function createFixture(executors: number, rules: QueueRules = createQueue("queue"), limit = noLimit): WaitingFixture {
    return new WaitingFixture(executors, [rules], limit);
}

/** A situation in which the step of job `b` cannot start, and the reason that an operator has to be told. */
interface WaitingCase {
    readonly reason: WaitingReason;
    readonly prepare: () => WaitingFixture;
    readonly onSecond?: (fixture: WaitingFixture) => void;
}

function submitTo(fixture: WaitingFixture, step: Partial<StepSpec> = {}): WaitingFixture {
    fixture.submit("b", [createStep(step)]);
    return fixture;
}

/** Fills all executors with tasks of job `a`. */
function fillExecutors(fixture: WaitingFixture): WaitingFixture {
    fixture.submit("a", [createStep({ taskCount: 16 * fixture.executorCount })]);
    fixture.startTasks();
    return fixture;
}

const cases: readonly WaitingCase[] = [
    { reason: "noRoom", prepare: () => submitTo(fillExecutors(createFixture(2))) },
    {
        reason: "noRoom",
        prepare: () => submitTo(createFixture(1), { taskCount: 40, isGang: true }),
    },
    {
        reason: "teamLimit",
        prepare: () => submitTo(createFixture(2, undefined, toCores(1)), { resources: toCores(2) }),
    },
    {
        reason: "mayStillRun",
        prepare: () => {
            const fixture = createFixture(2);
            fixture.submit("b", [createStep()], "queue", true);
            return fixture;
        },
    },
    {
        reason: "gangIncomplete",
        prepare: () => {
            const fixture = submitTo(createFixture(2), { taskCount: 3, isGang: true });
            fixture.endRun(fixture.startTasks()[0]!, "failed");
            return fixture;
        },
    },
    {
        reason: "executorsUnreachable",
        prepare: () => {
            const fixture = createFixture(2);
            fixture.putExecutor(0, "unreachable");
            fixture.putExecutor(1, "unreachable");
            return submitTo(fixture);
        },
    },
    {
        reason: "executorsLeaving",
        prepare: () => {
            const fixture = createFixture(1);
            fixture.putExecutor(0, "leaving");
            return submitTo(fixture);
        },
    },
    { reason: "noExecutor", prepare: () => submitTo(createFixture(2), { requiredLabel: "gpu" }) },
    {
        reason: "executorsBlocked",
        prepare: () => {
            const fixture = createFixture(1);
            const task = toId<TaskKey>("unknown.0.0.0");
            fixture.scheduler.adoptRunToStop(fixture.now, toId<ExecutorId>("e0"), {
                task,
                run: 1,
                checkpoint: "",
                percent: 0,
            });
            return submitTo(fixture);
        },
    },
    { reason: "adviceNotAsked", prepare: () => submitTo(createFixture(2, advised)) },
    {
        reason: "adviceInFlight",
        prepare: () => {
            const fixture = submitTo(createFixture(2, advised));
            fixture.scheduler.sendAdviceRequests(fixture.now, () => "sent");
            return fixture;
        },
    },
    {
        reason: "adviceRefused",
        prepare: () => {
            const fixture = submitTo(createFixture(2, advised));
            fixture.grantAdvice(() => false);
            return fixture;
        },
    },
    {
        reason: "ticketExpired",
        prepare: () => {
            const fixture = submitTo(createFixture(2, advised));
            fixture.grantAdvice(executor => executor === "e0");
            fixture.now += 3_000;
            return fixture;
        },
    },
    {
        reason: "noRoom",
        prepare: () => {
            // The executors that the advisor refused have room.
            const fixture = createFixture(2, advised);
            fixture.submit("a", [createStep({ taskCount: 16 })]);
            fixture.grantAdvice(executor => executor === "e0");
            fixture.startTasks();
            return submitTo(fixture);
        },
        onSecond: fixture => fixture.grantAdvice(executor => executor === "e0"),
    },
];

describe("the reason why a step waits", () => {
    cases.forEach(({ reason, prepare, onSecond }, index) => {
        it(`is ${reason} where that keeps its tasks from starting (case ${index + 1})`, () => {
            const fixture = prepare();
            fixture.wait(3, () => onSecond?.(fixture));
            expect(fixture.getReason("b")).toEqual(reason);
        });
    });

    it("is reported again at intervals, and not with each sample", () => {
        const fixture = submitTo(fillExecutors(createFixture(2)));
        fixture.wait(12);
        expect(fixture.countReports("b")).toEqual(3);
    });

    it("is reported at once when it changes, and no more once the tasks have started", () => {
        const fixture = submitTo(fillExecutors(createFixture(2)));
        fixture.wait(3);
        fixture.putExecutor(0, "unreachable");
        fixture.putExecutor(1, "unreachable");
        fixture.wait(2);
        expect(fixture.getReason("b")).toEqual("executorsUnreachable");
        const reports = fixture.countReports("b");
        fixture.putExecutor(2, "ready");
        fixture.wait(8);
        expect(fixture.countReports("b")).toEqual(reports);
        expect(fixture.scheduler.sampleWaitingSteps(fixture.now).counts.size).toEqual(0);
    });

    it("says for how long a request has been due that no round has sent, and not while the rounds reach the step", () => {
        const fixture = submitTo(createFixture(2, advised));
        fixture.wait(3);
        const unreached = fixture.scheduler.sampleWaitingSteps(fixture.now).adviceOverdue;
        expect(unreached).toEqual({ steps: 1, longestMs: 2_000 });
        fixture.grantAdvice(() => false);
        fixture.wait(1);
        fixture.scheduler.sendAdviceRequests(fixture.now, () => "noHost");
        expect(fixture.scheduler.sampleWaitingSteps(fixture.now).adviceOverdue.steps).toEqual(0);
    });

    it("is decided for a bounded number of steps in one sample, and for all of them in turn", () => {
        const fixture = createFixture(400);
        for (let index = 0; index < 400; index++) {
            fixture.putExecutor(index, "unreachable");
        }
        const jobs = Array.from({ length: 200 }, (_, index) => `j${index}`);
        jobs.forEach(job => fixture.submit(job, [createStep()]));
        fixture.wait(2);
        const first = fixture.scheduler.sampleWaitingSteps(fixture.now);
        expect(first.news.length <= 50).toEqual(true);
        expect(first.notExamined > 0).toEqual(true);
        fixture.wait(9);
        expect(jobs.every(job => fixture.getReason(job) === "executorsUnreachable")).toEqual(true);
    });
});
