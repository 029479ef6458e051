import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { Gangs } from "./gangs.js";
import { RunRecord } from "./run-record.js";

function createFixture(isFailure = false) {
    const gangs = new Gangs(new RunRecord());
    const events: string[] = [];
    const run = { key: "a.0.0#1", size: 3, workMs: 500, isFailure };
    const add = (task: string) =>
        gangs.add(run, task, {
            onComplete: () => events.push(`${task} works`),
            onEnd: kind => events.push(`${task} ${kind}`),
        });
    return { gangs, add, run, events };
}

describe("gangs at the executors", () => {
    // Guards against gangs that work without a member, and against members that wait for ever.
    const withTimers = (test: () => void) => () => {
        mock.timers.enable({ apis: ["setTimeout"] });
        try {
            test();
        }
        finally {
            mock.timers.reset();
        }
    };

    it(
        "work once all members are present, and end together",
        withTimers(() => {
            const { add, events } = createFixture();
            add("t0");
            add("t1");
            mock.timers.tick(2_900);
            expect(events).toEqual([]);
            add("t2");
            expect(events).toEqual(["t0 works", "t1 works", "t2 works"]);
            mock.timers.tick(499);
            expect(events.length).toEqual(3);
            mock.timers.tick(1);
            expect(events.slice(3)).toEqual(["t0 done", "t1 done", "t2 done"]);
        }),
    );

    it(
        "end alone, each member after its own wait",
        withTimers(() => {
            const { add, events } = createFixture();
            add("t0");
            mock.timers.tick(1_000);
            add("t1");
            mock.timers.tick(2_000);
            expect(events).toEqual(["t0 alone"]);
            mock.timers.tick(1_000);
            expect(events).toEqual(["t0 alone", "t1 alone"]);
        }),
    );

    it(
        "are broken by a member that ends by itself",
        withTimers(() => {
            const { gangs, add, run, events } = createFixture();
            ["t0", "t1", "t2"].forEach(add);
            gangs.remove(run.key, "t1");
            mock.timers.tick(10_000);
            expect(events.slice(3)).toEqual(["t0 broken", "t2 broken"]);
        }),
    );

    it(
        "fail with one member, and the others are broken",
        withTimers(() => {
            const { add, events } = createFixture(true);
            ["t0", "t1", "t2"].forEach(add);
            mock.timers.tick(500);
            expect(events.slice(3)).toEqual(["t0 failed", "t1 broken", "t2 broken"]);
        }),
    );
});
