import type { ExecutorId, QueueId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { AdviceRequest } from "./types.js";

const advice = { callMs: 90, perExecutorMs: 0, validMs: 2_000 };
const queues = [
    createQueue("urgent", { advice, priority: 0 }),
    createQueue("slow", { advice }),
    createQueue("long", { advice: { ...advice, callMs: 900 } }),
];

/** Lets the scheduler send one call and answers it with no grant. Returns the step, and whether it was overdue. */
function sendOne(fixture: SchedulerFixture): AdviceRequest {
    const sent: AdviceRequest[] = [];
    fixture.scheduler.sendAdviceRequests(fixture.now, request => {
        if (sent.length > 0) {
            return "noHost";
        }
        sent.push(request);
        return "sent";
    });
    const [request] = sent;
    fixture.scheduler.recordAdvice(fixture.now, request!.step, request!.executors, []);
    return request!;
}

/** Submits an urgent job, so that there always is one, and sends one call, many times. Returns the steps of the calls. */
function sendUnderUrgentLoad(fixture: SchedulerFixture, calls: number): string[] {
    const steps: string[] = [];
    for (let call = 0; call < calls; call++) {
        fixture.submit(`u${call}a`, [createStep()], "urgent");
        fixture.submit(`u${call}b`, [createStep()], "urgent");
        steps.push(sendOne(fixture).step);
        fixture.now += 100;
    }
    return steps;
}

describe("the order of calls to the advisor", () => {
    describe("while more urgent steps need calls in each round", () => {
        it("serves a step once it has waited for too long", () => {
            // Guards against steps that wait for as long as there is more urgent work (issue 35).
            const fixture = new SchedulerFixture(1, queues);
            fixture.submit("a", [createStep()], "slow");
            fixture.submit("b", [createStep()], "slow");
            const steps = sendUnderUrgentLoad(fixture, 30);
            expect(steps.indexOf("a.0.0")).toBeGreaterThanOrEqual(20);
            expect(steps.indexOf("a.0.0")).toBeLessThanOrEqual(21);
            expect(steps.indexOf("b.0.0")).toBeLessThanOrEqual(23);
        });

        it("gives overdue steps half of the advisor's work, and not more", () => {
            // Guards against urgent steps that wait until all overdue ones are served.
            const fixture = new SchedulerFixture(1, queues);
            for (let index = 0; index < 60; index++) {
                fixture.submit(`a${index}`, [createStep()], "slow");
            }
            const steps = sendUnderUrgentLoad(fixture, 60).slice(22);
            const newest = steps.filter(step => step.startsWith("a")).length;
            expect(newest).toBeGreaterThanOrEqual(18);
            expect(newest).toBeLessThanOrEqual(20);
        });
    });

    describe("under a new owner", () => {
        it("serves a step that has waited under earlier ones before newer urgent work", () => {
            // Guards against waits that begin anew with each of several owners in a row (issue 35).
            const fixture = new SchedulerFixture(1, queues);
            fixture.now = 60_000;
            fixture.addJob("old", {
                queue: toId<QueueId>("slow"),
                spec: { payload: "old", steps: [createStep()] },
                acceptedAt: fixture.now - 5_000,
            });
            expect(sendUnderUrgentLoad(fixture, 3)[0]).toEqual("old.0.0");
        });
    });

    describe("for a step that finds no room when it is evaluated", () => {
        it("keeps its place until it is sent", () => {
            // Guards against steps that lose each room to others, because their wait begins anew whenever there is none.
            const fixture = new SchedulerFixture(1, queues);
            fixture.submit("full", [createStep({ resources: toCores(16) })], "slow");
            fixture.submit("a", [createStep({ taskCount: 2, resources: toCores(16) })], "slow");
            const grantAll = (request: AdviceRequest) =>
                fixture.scheduler.recordAdvice(
                    fixture.now,
                    request.step,
                    request.executors,
                    request.executors.map(executor => ({ executor: toId<ExecutorId>(executor), ticket: "t" })),
                );
            const requests: AdviceRequest[] = [];
            const send = () =>
                fixture.scheduler.sendAdviceRequests(fixture.now, request => {
                    requests.push(request);
                    return "sent";
                });
            send();
            requests.splice(0).forEach(grantAll);
            const [start] = fixture.startTasks();
            fixture.now += 5_000;
            send();
            expect(requests).toEqual([]);
            fixture.now += 2_500;
            fixture.endRun(start!, "done");
            fixture.submit("b", [createStep({ resources: toCores(16) })], "slow");
            send();
            expect(requests.map(({ isOverdue, step }) => [step as string, isOverdue])[0]).toEqual(["a.0.0", true]);
        });
    });

    describe("for a queue whose calls no host takes now", () => {
        it("goes on with the calls of other queues, and asks for no further one of that queue", () => {
            // Guards against rounds that evaluate each of many steps although none of their calls can be sent.
            const fixture = new SchedulerFixture(1, queues);
            fixture.submit("a", [createStep()], "long");
            fixture.submit("b", [createStep()], "long");
            fixture.submit("c", [createStep({ estimateMs: 60_000 })], "slow");
            const steps: string[] = [];
            fixture.scheduler.sendAdviceRequests(fixture.now, ({ queue, step }) => {
                steps.push(step);
                return (queue as string) === "long" ? "postponed" : "sent";
            });
            expect(steps.length).toEqual(2);
            expect(steps).toInclude("c.0.0");
        });
    });
});
