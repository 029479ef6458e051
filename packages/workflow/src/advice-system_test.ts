import { expect } from "earl";
import { describe, it } from "node:test";
import type { SchedulerState } from "./state.js";
import { createQueue, createStep, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { AdviceRequest } from "./types.js";

const advice = { callMs: 90, perExecutorMs: 0, validMs: 2_000 };
const queues = [createQueue("urgent", { advice, priority: 0 }), createQueue("slow", { advice })];

/** Sends all requests that are due. */
function sendAll(fixture: SchedulerFixture): AdviceRequest[] {
    const requests: AdviceRequest[] = [];
    fixture.scheduler.sendAdviceRequests(fixture.now, request => {
        requests.push(request);
        return "sent";
    });
    return requests;
}

/** Lets each call fail for a time, and returns the times at which calls were sent, from the first one on. */
function failCalls(fixture: SchedulerFixture, durationMs: number): number[] {
    const startedAt = fixture.now;
    const times: number[] = [];
    while (fixture.now < startedAt + durationMs) {
        for (const { executors, step } of sendAll(fixture)) {
            times.push(fixture.now - startedAt);
            fixture.scheduler.recordAdvice(fixture.now, step, executors, undefined);
        }
        fixture.now += 50;
    }
    return times;
}

describe("requests for advice", () => {
    describe("for a step whose calls fail", () => {
        it("are repeated less and less often", () => {
            // Guards against a step unknown to the advisor that costs a call each 100 ms for as long as it is open.
            const fixture = new SchedulerFixture(1, queues);
            fixture.submit("a", [createStep()], "slow");
            expect(failCalls(fixture, 10_000)).toEqual([0, 100, 300, 700, 1_500, 3_100, 6_300, 9_500]);
        });

        it("keep their place before steps that began to wait later", () => {
            // Guards against a step that goes behind all waiting steps each time that a call is lost.
            const fixture = new SchedulerFixture(1, queues);
            fixture.submit("a", [createStep()], "slow");
            const calls: number[] = [];
            for (
                const startedAt = fixture.now;
                calls.length < 4 && fixture.now < startedAt + 10_000;
                fixture.now += 100
            ) {
                fixture.submit(`u${fixture.now}a`, [createStep()], "urgent");
                fixture.submit(`u${fixture.now}b`, [createStep()], "urgent");
                const sent: AdviceRequest[] = [];
                fixture.scheduler.sendAdviceRequests(
                    fixture.now,
                    request => sent.length > 0 ? "noHost" : (sent.push(request), "sent"),
                );
                const { executors, step } = sent[0]!;
                const isFailing = (step as string) === "a.0.0";
                if (isFailing) {
                    calls.push(fixture.now - startedAt);
                }
                fixture.scheduler.recordAdvice(fixture.now, step, executors, isFailing ? undefined : []);
            }
            expect(calls.length).toEqual(4);
            expect(calls[3]! - calls[0]!).toBeLessThanOrEqual(1_500);
        });

        it("are repeated soon after a failure that follows an answer", () => {
            const fixture = new SchedulerFixture(1, queues);
            fixture.submit("a", [createStep({ taskCount: 100 })], "slow");
            failCalls(fixture, 10_000);
            fixture.now += 3_200;
            const [request] = sendAll(fixture);
            fixture.scheduler.recordAdvice(fixture.now, request!.step, request!.executors, []);
            for (const id of ["b", "c"]) {
                fixture.submit(id, [createStep()], "slow");
            }
            fixture.now += 200;
            expect(failCalls(fixture, 200)).toEqual([0, 0, 100, 100]);
        });
    });

    it("begin a new wait for a step whose tasks started while it waited", () => {
        // Guards against a step that is overdue as soon as a task of it fails, because of a wait that has long ended.
        const fixture = new SchedulerFixture(1, queues);
        const grantAll = () =>
            sendAll(fixture).forEach(({ executors, step }) =>
                fixture.scheduler.recordAdvice(
                    fixture.now,
                    step,
                    executors,
                    executors.map(executor => ({ executor, ticket: "t" })),
                )
            );
        fixture.submit("full", [createStep({ resources: toCores(16) })], "slow");
        grantAll();
        const [full] = fixture.startTasks();
        fixture.submit("a", [createStep({ resources: toCores(16) })], "slow");
        grantAll();
        fixture.now += 200;
        expect(sendAll(fixture)).toEqual([]);
        fixture.endRun(full!, "done");
        const [start] = fixture.startTasks();
        expect(start?.task as string).toEqual("a.0.0.0");
        fixture.now += 60_000;
        fixture.endRun(start!, "failed");
        fixture.now += 3_000;
        expect(sendAll(fixture).map(({ isOverdue, step }) => [step as string, isOverdue])).toEqual([["a.0.0", false]]);
    });

    describe("for many steps that lack room on many executors", () => {
        const executorCount = 400;
        const stepCount = 300;

        function createFullFixture(): SchedulerFixture {
            const fixture = new SchedulerFixture(executorCount, [...queues, createQueue("open")]);
            fixture.submit("full", [createStep({ taskCount: executorCount, resources: toCores(16) })], "open");
            fixture.startTasks();
            for (let index = 0; index < stepCount; index++) {
                fixture.submit(`a${index}`, [createStep({ resources: toCores(16) })], "slow");
            }
            fixture.grantAdvice(() => true);
            fixture.now += 10_000;
            return fixture;
        }

        it("examine a bounded number of executors in a round", () => {
            // Guards against an owner whose rounds take all its time because it examines each executor for each waiting step.
            const fixture = createFullFixture();
            const state = Reflect.get(fixture.scheduler, "state") as SchedulerState;
            sendAll(fixture);
            const evaluated = [...state.openSteps].filter(step => step.advice.evaluateAt > fixture.now).length;
            expect(evaluated * executorCount).toBeLessThanOrEqual(20_000);
            expect(evaluated > 0).toEqual(true);
        });

        it("reach each of them within the interval between two evaluations", () => {
            const fixture = createFullFixture();
            const state = Reflect.get(fixture.scheduler, "state") as SchedulerState;
            const waiting = [...state.openSteps].filter(step => step.waitingCount > 0);
            const last = new Map(waiting.map(step => [step, step.advice.evaluateAt]));
            for (let round = 0; round < 12; round++) {
                sendAll(fixture);
                fixture.now += 20;
            }
            expect(waiting.filter(step => step.advice.evaluateAt === last.get(step)).length).toEqual(0);
        });
    });
});
