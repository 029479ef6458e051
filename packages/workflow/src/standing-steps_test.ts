import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, SchedulerFixture } from "./testing/scheduler-fixture.js";
import { StandingSimulation } from "./testing/standing-simulation.js";

/** Seeds that CI runs; `WAXWING_SEEDS=<first>-<last>` runs others by hand. */
const [first = 1, last = 20] = (process.env.WAXWING_SEEDS ?? "").split("-").filter(Boolean).map(Number);

describe("steps whose tasks could start after trouble has ended", () => {
    const kinds = [
        { name: "lost advice, refused starts and executors that leave", options: {} },
        { name: "the same with gangs", options: { hasGangs: true } },
        { name: "the same with tasks that crash their executors", options: { hasCrashes: true } },
    ];
    for (const { name, options } of kinds) {
        for (let seed = first; seed <= last; seed++) {
            it(`do not stand: ${name} (seed ${seed})`, () => {
                // Guards against steps that wait for something that is remembered and never asked again.
                expect(new StandingSimulation({ seed, ...options }).run()).toEqual([]);
            });
        }
    }
});

describe("a start that an executor refuses because its ticket is of an earlier life of the executor", () => {
    const advice = { callMs: 20, perExecutorMs: 1, validMs: 60_000 };

    it("makes the scheduler ask for a new ticket, and keeps no other step from the executor", () => {
        // Guards against starts with a ticket that is refused again and again until it would have expired.
        const fixture = new SchedulerFixture(1, [createQueue("queue", { advice }), createQueue("open")]);
        fixture.submit("a", [createStep()]);
        fixture.grantAdvice(() => true);
        const [refused] = fixture.tick().starts;
        fixture.endRun(refused!, "ticketRefused");
        fixture.submit("b", [createStep()], "open");
        fixture.now += 20;
        expect(fixture.tick().starts.map(({ task }) => task as string)).toEqual(["b.0.0.0"]);
        fixture.now += 200;
        expect(fixture.grantAdvice(() => true).length).toEqual(1);
        expect(fixture.tick().starts.map(({ task }) => task as string)).toEqual(["a.0.0.0"]);
    });

    it("does not end the new ticket if it is answered after that has arrived", () => {
        // Guards against calls for advice and refusals that follow one another for each start with the old ticket.
        const fixture = new SchedulerFixture(1, [createQueue("queue", { advice })]);
        fixture.submit("a", [createStep({ taskCount: 2 })]);
        fixture.grantAdvice(() => true);
        const { starts } = fixture.tick();
        expect(starts.length).toEqual(2);
        fixture.endRun(starts[0]!, "ticketRefused");
        fixture.now += 200;
        expect(fixture.grantAdvice(() => true).length).toEqual(1);
        fixture.endRun(starts[1]!, "ticketRefused");
        fixture.now += 200;
        expect(fixture.grantAdvice(() => true).length).toEqual(0);
        expect(fixture.tick().starts.length).toEqual(2);
    });
});
