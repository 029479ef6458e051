import type { ExecutorId, QueueId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, noLimit, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { QueueRules, StepSpec, TaskKey } from "./types.js";
import type { WaitingCause, WaitingReason } from "./waiting-reasons.js";
import type { WaitingStep } from "./waiting-steps.js";

const advised = createQueue("queue", { advice: { callMs: 20, perExecutorMs: 1, validMs: 2_000 } });

class WaitingFixture extends SchedulerFixture {
    private readonly news: WaitingStep[] = [];
    /** Whether executors confirm the starts while `wait` ticks. */
    confirmsStarts = true;

    /** Ticks and samples for some seconds. */
    wait(seconds: number, onSecond: () => void = () => undefined): void {
        for (let second = 0; second < seconds; second++) {
            this.now += 1_000;
            onSecond();
            if (this.confirmsStarts) {
                this.startTasks();
            }
            else {
                this.tick();
            }
            this.news.push(...this.scheduler.sampleWaitingSteps(this.now).news);
        }
    }

    /** Lets time pass without a tick, as under an owner that may not order, and samples. */
    waitWithoutTick(ms: number): void {
        this.now += ms;
        this.news.push(...this.scheduler.sampleWaitingSteps(this.now).news);
    }

    /** Returns the reason that was reported last for the first step of a job. */
    getReason(job: string): WaitingReason | undefined {
        return this.getCause(job)?.reason;
    }

    getCause(job: string): WaitingCause | undefined {
        return this.news.findLast(({ step }) => step === `${job}.0.0`)?.cause;
    }

    countReports(job: string): number {
        return this.news.filter(({ step }) => step === `${job}.0.0`).length;
    }
}

function createFixture(executors: number, rules: QueueRules = createQueue("queue"), limit = noLimit): WaitingFixture {
    return new WaitingFixture(executors, [rules, createQueue("urgent", { priority: 0 })], limit);
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
    {
        reason: "maxPerExecutor",
        prepare: () => submitTo(createFixture(2), { taskCount: 3, maxPerExecutor: 1 }),
    },
    {
        reason: "startUnconfirmed",
        prepare: () => {
            const fixture = submitTo(createFixture(2));
            fixture.confirmsStarts = false;
            return fixture;
        },
    },
    {
        reason: "gangNeedsProven",
        prepare: () => {
            // A gang that is suspected of a crash, beside an executor with a start that is not confirmed.
            const fixture = createFixture(1);
            fixture.submit("a", [createStep()]);
            fixture.tick();
            submitTo(fixture, { taskCount: 2, isGang: true });
            fixture.tick().starts.forEach(start => fixture.endRun(start, "suspected"));
            fixture.confirmsStarts = false;
            return fixture;
        },
    },
    {
        reason: "ordersSuspended",
        prepare: () => {
            const fixture = createFixture(2);
            fixture.tick();
            submitTo(fixture);
            fixture.waitWithoutTick(1_000);
            fixture.waitWithoutTick(1_000);
            return fixture;
        },
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

    it("is tickDue where room appeared since the last tick, and names the step that took the room before", () => {
        const fixture = createFixture(1);
        fixture.submit("a", [createStep({ taskCount: 16 })]);
        const runs = [...fixture.startTasks()];
        fixture.submit("b", [createStep()]);
        fixture.wait(2);
        fixture.addJob("urgent", { queue: toId<QueueId>("urgent"), spec: { payload: "", steps: [createStep()] } });
        fixture.endRun(runs.pop()!, "done");
        fixture.wait(5);
        expect([fixture.getReason("b"), fixture.getCause("b")?.taken?.step as string | undefined])
            .toEqual(["noRoom", "urgent.0.0"]);
        fixture.endRun(runs.pop()!, "done");
        fixture.waitWithoutTick(10);
        expect([fixture.getReason("b"), fixture.getCause("b")?.newSlots, fixture.getCause("b")?.sinceTickMs])
            .toEqual(["tickDue", 1, 10]);
    });

    it("is tickDue where the limit of the team kept the step at the last tick", () => {
        const fixture = createFixture(2, undefined, toCores(2));
        fixture.submit("a", [createStep({ resources: toCores(2) })]);
        const [run] = fixture.startTasks();
        fixture.submit("b", [createStep({ resources: toCores(2) })]);
        fixture.wait(3);
        expect(fixture.getReason("b")).toEqual("teamLimit");
        fixture.endRun(run!, "done");
        fixture.waitWithoutTick(10);
        expect(fixture.getReason("b")).toEqual("tickDue");
    });

    it("names the run that keeps a gang from starting again, and the gang for which executors are reserved", () => {
        const fixture = createFixture(1);
        fixture.submit("b", [createStep({ taskCount: 2, isGang: true })]);
        const [start] = fixture.startTasks();
        fixture.endRun(start!, "failed");
        fixture.wait(3);
        const { awaitedRun } = fixture.getCause("b")!;
        expect([awaitedRun?.executor as string, awaitedRun?.state]).toEqual(["e0", "stopping"]);
        const other = createFixture(1);
        other.submit("a", [createStep({ resources: toCores(8) })]);
        other.startTasks();
        other.submit("gang", [createStep({ taskCount: 2, resources: toCores(8), isGang: true })]);
        other.submit("b", [createStep({ estimateMs: 20_000 })]);
        other.wait(4);
        expect([other.getReason("b"), other.getCause("b")?.reservedFor as string | undefined])
            .toEqual(["reservedForGang", "gang.0.0"]);
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
