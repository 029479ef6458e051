import { expect } from "earl";
import { describe, it, mock } from "node:test";
import type { AdviceService } from "./advice-service.js";
import { slowestRate } from "./executor-clock.js";
import { Executor } from "./executor.js";
import { Gangs } from "./gangs.js";
import { RunRecord } from "./run-record.js";
import { StoreState } from "./store-state.js";
import type { ExecutorReply, ExecutorRequest } from "./types.js";

const baseRequest: ExecutorRequest = {
    kind: "start",
    executor: "e1",
    token: 1,
    task: "a.0.0.0",
    run: 1,
    spec: "ms=60000",
    leaseEndsAt: 1_000,
    acknowledged: 0,
    waitMs: 0,
    ticket: "",
};

function createFixture() {
    let now = 0;
    const record = new RunRecord();
    Object.defineProperty(record, "now", { get: () => now });
    const executor = new Executor({
        id: "e1",
        service: "s",
        zone: "z",
        address: "127.0.0.1:1",
        cpu: 16_000,
        memoryMb: 32_768,
        store: new StoreState(),
        record,
        advice: { isValid: () => true } as unknown as AdviceService,
        gangs: new Gangs(record),
        canRegister: () => true,
    });
    executor.beginLife();
    return {
        executor,
        record,
        send: (changes: Partial<ExecutorRequest>): ExecutorReply => {
            const replies: ExecutorReply[] = [];
            executor.handle({ ...baseRequest, ...changes }, "h1", false, reply => replies.push(reply));
            return replies[0]!;
        },
        advance: (ms: number) => {
            now += ms;
            mock.timers.tick(ms);
        },
        /** Time passes, and no timer is served, as on a busy machine. */
        stall: (ms: number) => {
            now += ms;
        },
    };
}

describe("the stand-in of an executor", () => {
    // Guards against findings that are the stand-in's own: leases that are ended late, and lives that remember.
    const withTimers = (test: () => void) => () => {
        mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
        try {
            test();
        }
        finally {
            mock.timers.reset();
        }
    };

    it(
        "keeps a lease until its own clock has reached the end, also if the clock is slow",
        withTimers(() => {
            const { executor, record, send, advance } = createFixture();
            executor.steadyClock.setRate(slowestRate);
            send({});
            advance(1_019);
            expect(record.runs[0]!.end).toEqual(undefined);
            advance(21);
            expect(record.runs[0]!.end).toEqual("lapsed");
        }),
    );

    it(
        "ends a run with its lease when no timer was served meanwhile, and takes a renewal for too late",
        withTimers(() => {
            const { record, send, stall } = createFixture();
            send({});
            stall(1_300);
            send({ kind: "hold", leaseEndsAt: 4_000 });
            expect(record.runs[0]!.end).toEqual("lapsed");
            expect(record.runs[0]!.endedAt! <= 1_001).toEqual(true);
        }),
    );

    it(
        "rejects runs that are not higher than one stopped there, in one life only, and starts after their lease",
        withTimers(() => {
            const { executor, send } = createFixture();
            send({ kind: "stop", run: 5 });
            expect(send({ run: 5 })).toEqual({ kind: "rejected", reason: "old" });
            executor.endLife();
            executor.beginLife(70_000);
            expect(send({ run: 5 })).toEqual({ kind: "rejected", reason: "late" });
            expect(send({ run: 5, leaseEndsAt: 71_000 })).toEqual({ kind: "done" });
            executor.close();
        }),
    );
});
