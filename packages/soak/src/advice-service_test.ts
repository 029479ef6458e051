import { expect } from "earl";
import { describe, it, mock } from "node:test";
import type { AdvisedExecutor } from "./advice-service.js";
import { AdviceService } from "./advice-service.js";
import { RunRecord } from "./run-record.js";
import type { AdviceReply } from "./types.js";

const step = { count: 1, cpu: 500, memoryMb: 256, estimateMs: 100, after: [] };
const ids = Array.from({ length: 20 }, (_, index) => `e${index + 1}`);

function createFixture() {
    let now = 0;
    const record = new RunRecord();
    Object.defineProperty(record, "now", { get: () => now });
    for (const [id, queue] of [["a", "short"], ["b", "plain"]] as const) {
        record.jobs.set(id, { id, queue, spec: "", steps: [step], attempts: [], states: [] });
    }
    const lives = new Map(ids.map(id => [id, 1]));
    const listExecutors = (): AdvisedExecutor[] => ids.map(id => ({ id, life: lives.get(id) }));
    const service = new AdviceService({ seed: 1, record, listExecutors });
    const replies: AdviceReply[] = [];
    return {
        service,
        lives,
        replies,
        ask: (host: string, slowness = 1) =>
            service.ask(host, {
                request: { step: "a.0.0", executors: ids },
                getSlowness: () => slowness,
                onReply: reply => replies.push(reply),
            }),
        advance: (ms: number) => {
            now += ms;
            mock.timers.tick(ms);
        },
        getTickets: () => replies.flatMap(reply => reply.kind === "grants" ? reply.grants : []),
    };
}

/** 9.3 ms and 0.13 ms for each of 20 executors. */
const callMs = 12;

describe("the stand-in of the advice service", () => {
    // Guards against a stand-in that is kinder than the service, and hides the wait for it.
    const withTimers = (test: () => void) => () => {
        mock.timers.enable({ apis: ["setTimeout"] });
        try {
            test();
        }
        finally {
            mock.timers.reset();
        }
    };

    describe("handles calls", () => {
        it(
            "of one host one after another, and of others meanwhile",
            withTimers(() => {
                const { ask, advance, replies } = createFixture();
                ["h1", "h1", "h2"].forEach(host => ask(host));
                advance(callMs - 1);
                expect(replies.length).toEqual(0);
                advance(1);
                expect(replies.length).toEqual(2);
                advance(callMs);
                expect(replies.length).toEqual(3);
            }),
        );

        it(
            "of a slow host in more time",
            withTimers(() => {
                const { ask, advance, replies } = createFixture();
                ask("h1", 5);
                advance(4 * callMs);
                expect(replies.length).toEqual(0);
                advance(2 * callMs);
                expect(replies.length).toEqual(1);
            }),
        );

        it(
            "until 32 wait beside the one that is handled",
            withTimers(() => {
                const { ask, replies } = createFixture();
                Array.from({ length: 33 }, () => ask("h1"));
                expect(replies).toEqual([]);
                ask("h1");
                expect(replies).toEqual([{ kind: "full" }]);
                ask("h2");
                expect(replies.length).toEqual(1);
            }),
        );
    });

    describe("grants", () => {
        it(
            "the same share of the executors each time",
            withTimers(() => {
                const { ask, advance, service, replies } = createFixture();
                ask("h1");
                ask("h2");
                advance(callMs + 1);
                const granted = replies.map(reply =>
                    reply.kind === "grants" ? reply.grants.map(({ executor }) => executor) : []
                );
                expect(granted[0]!.length).toEqual(14);
                expect(granted[1]).toEqual(granted[0]);
                expect(ids.filter(id => service.allows("a.0.0", id))).toEqual(granted[0]!);
            }),
        );

        it(
            "tickets for the step, the executor and its life, for 2 s",
            withTimers(() => {
                const { ask, advance, service, getTickets, lives } = createFixture();
                ask("h1");
                advance(callMs + 1);
                const { executor, ticket } = getTickets()[0]!;
                const isValid = (row: Partial<AdvisedExecutor>, name = "a.0.0") =>
                    service.isValid(ticket, name, { id: executor, life: 1, ...row });
                expect(isValid({})).toEqual(true);
                expect(isValid({}, "a.0.1")).toEqual(false);
                expect(isValid({ id: "e99" })).toEqual(false);
                expect(isValid({ life: 2 })).toEqual(false);
                expect(service.isValid("", "a.0.0", { id: executor, life: 1 })).toEqual(false);
                lives.set(executor, 2);
                advance(1_900);
                expect(isValid({})).toEqual(true);
                advance(200);
                expect(isValid({})).toEqual(false);
            }),
        );

        it("all executors to a queue without advice", () => {
            const { service } = createFixture();
            expect(service.allows("b.0.0", "e1")).toEqual(true);
            expect(service.isValid("", "b.0.0", { id: "e1", life: 1 })).toEqual(true);
        });
    });
});
