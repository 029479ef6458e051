import type { AttemptId, ExecutorId, Failure, QueueId, RequestKey, Result, TeamId, ZoneId } from "@waxwingroute/core";
import { ManualClock } from "@waxwingroute/core";
import type { ExecutorRequest } from "@waxwingroute/platform";
import { expect } from "earl";
import { describe, it } from "node:test";
import { isWholeEcho } from "./executor-state.js";
import { Fleet } from "./fleet.js";

function createRequest(key: string, attempt: string, changes: Partial<ExecutorRequest> = {}): ExecutorRequest {
    return {
        attempt: attempt as AttemptId,
        requestKey: key as RequestKey,
        queue: "orders" as QueueId,
        team: "sales" as TeamId,
        isIdempotent: false,
        contentType: "text/plain",
        body: Buffer.from(`body of ${key}`),
        timeoutMs: 1_000,
        epoch: 1,
        ...changes,
    };
}

function createFleet() {
    const clock = new ManualClock();
    const fleet = new Fleet({ clock });
    const add = (executor: string) =>
        fleet.addExecutor({
            executor: executor as ExecutorId,
            zone: "glasgow" as ZoneId,
            url: "",
            slots: 2,
            connections: 64,
            queues: [],
        });
    return { clock, fleet, first: add("e0"), second: add("e1") };
}

function describeResult(result: Result<unknown, Failure>): unknown {
    return result.ok ? "ok" : [result.val.code, result.val.verdict];
}

describe("FakeExecutor", () => {
    it("answers with the whole body and the attempt id", async () => {
        const { first } = createFleet();
        const answer = (await first.execute(createRequest("k", "a1"))).unwrap();
        expect(Buffer.from(answer.body).toString()).toEqual("body of k\na1\n");
        expect(isWholeEcho(Buffer.from("body of k"), answer.body)).toEqual(true);
        expect(isWholeEcho(Buffer.from("body of k"), answer.body.subarray(0, 12))).toEqual(false);
        expect(isWholeEcho(Buffer.from("body of j"), answer.body)).toEqual(false);
    });

    describe("records", () => {
        // Guards against stand-ins that miss a request that ran twice, on one executor or on two.
        it("records a non-idempotent request that is sent twice", async () => {
            const { fleet, first, second } = createFleet();
            await first.execute(createRequest("k", "a1"));
            await second.execute(createRequest("k", "a2"));
            await first.execute(createRequest("i", "a3", { isIdempotent: true }));
            await first.execute(createRequest("i", "a4", { isIdempotent: true }));
            expect(fleet.records.repeatedRequests.map(({ requestKey, executors }) => [requestKey, executors])).toEqual([
                ["k" as RequestKey, ["e0", "e1"] as ExecutorId[]],
            ]);
        });

        // Guards against stand-ins that miss an executor with more requests than slots.
        it("records more concurrent requests than slots", async () => {
            const { clock, fleet, first } = createFleet();
            first.state.setBehaviour({ mode: "echo", delayMs: 100 });
            const running = ["1", "2", "3"].map(name => first.execute(createRequest(name, name)));
            await clock.advance(50);
            expect((await first.list()).unwrap().running.length).toEqual(3);
            expect(fleet.records.overloads.map(({ kind, count }) => [kind, count])).toEqual([["slots", 3]]);
            await clock.advance(50);
            await Promise.all(running);
            expect((await first.list()).unwrap().running).toEqual([]);
        });
    });

    describe("behaviours", () => {
        it("applies a behaviour only to its queue", async () => {
            const { first } = createFleet();
            first.state.setBehaviour({ mode: "fail", delayMs: 0 }, "invoices" as QueueId);
            expect((await first.execute(createRequest("k", "a"))).unwrap().status).toEqual(200);
            const failing = createRequest("l", "b", { queue: "invoices" as QueueId });
            expect((await first.execute(failing)).unwrap().status).toEqual(500);
        });

        it("refuses requests without running them, cuts answers short, and answers late", async () => {
            const { clock, fleet, first } = createFleet();
            first.state.setBehaviour({ mode: "refuse", delayMs: 0 });
            expect(describeResult(await first.execute(createRequest("r", "a")))).toEqual([
                "executor-refused",
                "notRun",
            ]);
            expect(fleet.records.requestRunCount).toEqual(0);
            first.state.setBehaviour({ mode: "cut", delayMs: 0 });
            expect(describeResult(await first.execute(createRequest("c", "b")))).toEqual([
                "executor-lost",
                "mayHaveRun",
            ]);
            first.state.setBehaviour({ mode: "late", delayMs: 0 });
            const late = first.execute(createRequest("l", "c"));
            await clock.advance(1_000);
            expect(describeResult(await late)).toEqual(["executor-lost", "mayHaveRun"]);
            expect((await first.list()).unwrap().running).toEqual(["c" as AttemptId]);
            await clock.advance(200);
            expect((await first.list()).unwrap().running).toEqual([]);
        });

        it("holds requests while hanging and drops them when killed", async () => {
            const { clock, fleet, first } = createFleet();
            first.state.setBehaviour({ mode: "hang", delayMs: 0 });
            const held = first.execute(createRequest("k", "a", { timeoutMs: 500 }));
            await clock.advance(100);
            fleet.killEndpoint("e0");
            fleet.restartEndpoint("e0");
            await clock.advance(400);
            expect(describeResult(await held)).toEqual(["executor-lost", "mayHaveRun"]);
            expect((await first.list()).unwrap().running).toEqual([]);
        });
    });
});
