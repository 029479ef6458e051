import { ManualClock, Ok } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { LogFields } from "./logger.js";
import { Supervisor } from "./supervisor.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly lines: LogFields[] = [];
    readonly supervisor = new Supervisor({
        clock: this.clock,
        logger: { write: (_level, _message, fields = {}) => this.lines.push(fields) },
        restartDelayMs: 100,
    });
}

function fail(): never {
    throw new Error("odd input");
}

describe("Supervisor", () => {
    describe("an error that nobody awaits", () => {
        // Guards against a process that ends because of one message.
        it("is logged with its input, whether it is thrown at once or later", async () => {
            const { supervisor, lines, clock } = new Fixture();
            expect(supervisor.run("timer", { key: "a" }, fail)).toEqual(false);
            supervisor.start("call", { key: "b" }, fail);
            supervisor.start("answer", { key: "c" }, async () => fail());
            await clock.advance(0);
            expect(lines.map(({ operation, key }) => [operation, key])).toEqual([
                ["timer", "a"],
                ["call", "b"],
                ["answer", "c"],
            ]);
            expect(lines.every(({ stack }) => String(stack).includes("odd input"))).toEqual(true);
        });

        // Guards against a call that is counted as not carried out although its outcome is unknown.
        it("gives a call an unknown outcome", async () => {
            const { supervisor } = new Fixture();
            const result = await supervisor.call("call", {}, async () => fail());
            expect(result.ok).toEqual(false);
            expect((result.val as { verdict: string; }).verdict).toEqual("mayHaveRun");
            expect((await supervisor.call("call", {}, async () => Ok(1))).unwrap()).toEqual(1);
        });
    });

    describe("a loop", () => {
        // Guards against a watch or session that ends for good after its first error.
        it("starts again after each error and ends when it is stopped", async () => {
            const { supervisor, clock } = new Fixture();
            let runs = 0;
            const isStopped = () => runs === 3;
            supervisor.startLoop({
                operation: "watch",
                isStopped,
                run: async () => {
                    runs += 1;
                    fail();
                },
            });
            await clock.advance(1_000);
            expect(runs).toEqual(3);
        });
    });

    describe("the log of repeated errors", () => {
        // Guards against thousands of stacks a second from an error that every tick repeats.
        it("has one line a second for each operation, with the number of those left out", async () => {
            const { supervisor, lines, clock } = new Fixture();
            for (let index = 0; index < 25; index++) {
                supervisor.run("tick", {}, fail);
                await clock.advance(100);
            }
            expect(lines.map(({ suppressed }) => suppressed)).toEqual([undefined, 9, 9]);
            expect(supervisor.failureCount).toEqual(25);
        });
    });
});
