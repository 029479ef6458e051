import type { Failure, QueueId, RequestKey, Result, TaskId, TeamId, WriterToken, ZoneId } from "@waxwingroute/core";
import type { ExecutorRequest, TaskStart } from "@waxwingroute/platform";
import { HttpExecutor, HttpHostList, HttpStore, HttpWorker } from "@waxwingroute/platform";
import { expect } from "earl";
import { Agent, request as sendRequest } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import { isWholeEcho } from "./executor-state.js";
import { layoutSchema } from "./layout.js";
import type { RecordsReport } from "./records-report.js";
import type { StandInAddresses } from "./stand-in.js";
import { applyControlToStandIn, StandIn } from "./stand-in.js";

/** Longer than any call takes on a busy machine. */
const timeoutMs = 10_000;
/** For calls that must time out; their connections are already open. */
const shortMs = 500;
const absent = { kind: "absent" } as const;

function describeResult(result: Result<unknown, Failure>): unknown {
    return result.ok ? "ok" : [result.val.code, result.val.verdict];
}

function createWrite(key: string, value = "v") {
    return { key, value, expected: absent, token: "token-1" as WriterToken };
}

function createStart(task: string, changes: Partial<TaskStart> = {}): TaskStart {
    return {
        task: task as TaskId,
        team: "sales" as TeamId,
        job: "job" as never,
        resources: { cpuMillis: 600, memoryMb: 100, accelerators: 0 },
        command: "run forever",
        leaseMs: 60_000,
        expiresInMs: timeoutMs,
        epoch: 1,
        ...changes,
    };
}

function createRequest(name: string, changes: Partial<ExecutorRequest> = {}): ExecutorRequest {
    return {
        attempt: `attempt-${name}` as never,
        requestKey: `glasgow.0.1.1.${name}` as RequestKey,
        queue: "orders" as QueueId,
        team: "sales" as TeamId,
        isIdempotent: false,
        contentType: "application/octet-stream",
        body: Buffer.from([0, 255, 13, 10, 200]),
        timeoutMs,
        epoch: 7,
        ...changes,
    };
}

describe("StandIn over HTTP", () => {
    let standIn: StandIn;
    let addresses: StandInAddresses;
    let store: HttpStore;
    let worker: HttpWorker;
    let executor: HttpExecutor;
    let hostList: HttpHostList;

    beforeEach(async () => {
        standIn = new StandIn(layoutSchema.parse({
            hostListLagMs: 10,
            zones: [{
                zone: "glasgow",
                workers: { count: 2, capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 } },
                executors: { count: 2, connections: 3 },
            }],
        }));
        addresses = await standIn.open();
        const source = "glasgow/host-1";
        store = new HttpStore({ url: addresses.store, timeoutMs, source });
        worker = new HttpWorker({ url: addresses.workers[0]?.url ?? "", timeoutMs, source });
        executor = new HttpExecutor({ url: addresses.executors[0]?.url ?? "", timeoutMs, source });
        hostList = new HttpHostList({ url: addresses.hostList, timeoutMs, source });
    });

    afterEach(async () => {
        [store, worker, executor, hostList].forEach(adapter => adapter.close());
        await standIn.close();
    });

    describe("HttpStore", () => {
        it("reads, writes and deletes entries, reads ranges and returns tokens", async () => {
            expect((await store.read("a/ü?&")).unwrap()).toEqual(undefined);
            expect((await store.write(createWrite("a/ü?&", "välue"))).unwrap()).toEqual(1);
            expect((await store.read("a/ü?&")).unwrap()).toEqual({ key: "a/ü?&", value: "välue", revision: 1 });
            expect((await store.readToken("a/ü?&")).unwrap()).toEqual({ token: "token-1" as WriterToken, revision: 1 });
            expect((await store.readRange("a/")).unwrap().entries.length).toEqual(1);
            expect(describeResult(await store.write(createWrite("a/ü?&")))).toEqual(["store-conflict", "notRun"]);
            expect((await store.delete("a/ü?&", 1)).unwrap()).toEqual(2);
            expect((await store.readToken("a/ü?&")).unwrap()).toEqual(undefined);
        });

        it("keeps a long poll open beyond the timeout of other calls", async () => {
            const patient = new HttpStore({ url: addresses.store, timeoutMs: shortMs });
            const watching = patient.watch("a", 0, 10_000);
            await new Promise(resolve => setTimeout(resolve, shortMs + 50));
            await store.write(createWrite("a"));
            const watched = (await watching).unwrap();
            patient.close();
            expect(watched).toEqual({ changes: [{ key: "a", value: "v", revision: 1 }], revision: 1 });
            await store.delete("a", 1);
            expect((await store.watch("a", 1, 0)).unwrap().changes).toEqual([
                { key: "a", value: undefined, revision: 2 },
            ]);
            standIn.fleet.store.state.compact();
            expect(describeResult(await store.watch("a", 0, 0))).toEqual(["store-compacted", "notRun"]);
        });

        // Guards against a lost answer that is reported as a write that did not happen.
        it("reports a lost answer as mayHaveRun, and the write's token is stored", async () => {
            await applyControlToStandIn(standIn, { action: "lose-answers", target: "store", count: 1 });
            expect(describeResult(await store.write(createWrite("a")))).toEqual(["store-unavailable", "mayHaveRun"]);
            expect((await store.readToken("a")).unwrap()?.token).toEqual("token-1" as WriterToken);
        });

        it("reports calls to a store that is down as notRun, and works once it is up", async () => {
            await store.write(createWrite("a"));
            await applyControlToStandIn(standIn, { action: "down", target: "store" });
            // A request on a kept-alive connection whose end has not arrived yet counts as sent.
            const fresh = new HttpStore({ url: addresses.store, timeoutMs });
            expect(describeResult(await fresh.write(createWrite("b")))).toEqual(["store-unavailable", "notRun"]);
            await applyControlToStandIn(standIn, { action: "up", target: "store" });
            expect((await fresh.read("a")).unwrap()?.revision).toEqual(1);
            expect((await fresh.read("b")).unwrap()).toEqual(undefined);
            fresh.close();
        });

        it("times out while cut off, and the write never takes effect", async () => {
            const options = { timeoutMs: shortMs, source: "glasgow/host-1" };
            const cutStore = new HttpStore({ url: addresses.store, ...options });
            const cutList = new HttpHostList({ url: addresses.hostList, ...options });
            await cutStore.read("a");
            await cutList.list("glasgow" as ZoneId);
            await applyControlToStandIn(standIn, { action: "cut", source: "glasgow", target: "platform" });
            expect(describeResult(await cutStore.write(createWrite("a")))).toEqual(["store-timeout", "mayHaveRun"]);
            expect(describeResult(await cutList.list("glasgow" as ZoneId))).toEqual([
                "host-list-unavailable",
                "mayHaveRun",
            ]);
            cutStore.close();
            cutList.close();
            await applyControlToStandIn(standIn, { action: "mend", source: "glasgow", target: "platform" });
            expect((await store.read("a")).unwrap()).toEqual(undefined);
        });

        it("refuses oversize values in the adapter and in the server", async () => {
            const value = "x".repeat(1_048_577);
            expect(describeResult(await store.write(createWrite("a", value)))).toEqual(["store-too-large", "notRun"]);
            expect(standIn.fleet.store.state.counts.writes).toEqual(0);
            const path = `${addresses.store}/v1/entry`;
            const response = await fetch(path, { method: "PUT", body: JSON.stringify(createWrite("a", value)) });
            expect(response.status).toEqual(413);
            expect(describeResult(await store.write(createWrite("a", value.slice(1))))).toEqual("ok");
        });
    });

    describe("HttpWorker", () => {
        it("starts, renews, throttles, checkpoints, stops and lists tasks", async () => {
            expect(describeResult(await worker.start(createStart("job/0")))).toEqual("ok");
            expect(describeResult(await worker.throttle("job/0" as TaskId, 50))).toEqual("ok");
            expect(describeResult(await worker.throttle("job/9" as TaskId, 50))).toEqual([
                "worker-unknown-task",
                "notRun",
            ]);
            expect(describeResult(await worker.checkpoint("job/0" as TaskId))).toEqual("ok");
            expect(describeResult(await worker.stop("job/0" as TaskId))).toEqual("ok");
            const [listed] = (await worker.list()).unwrap().tasks;
            expect([listed?.task, listed?.outcome, listed?.usage]).toEqual(["job/0" as TaskId, "stopped", undefined]);
            const renewal = { tasks: [], leaseMs: 1_000, acknowledged: ["job/0" as TaskId] };
            expect((await worker.renew(renewal)).unwrap().tasks).toEqual([]);
        });

        it("reports a lost answer to a start as mayHaveRun", async () => {
            await applyControlToStandIn(standIn, { action: "lose-answers", target: "glasgow-worker-0", count: 1 });
            expect(describeResult(await worker.start(createStart("job/0")))).toEqual(["worker-lost", "mayHaveRun"]);
            expect((await worker.list()).unwrap().tasks.length).toEqual(1);
        });

        // Guards against a start that is delayed in transit and runs after its sender has given it up.
        it("does not run a task whose start arrives after its expiry", async () => {
            await worker.list();
            await applyControlToStandIn(standIn, { action: "hang", target: "glasgow-worker-0" });
            const start = createStart("job/0", { expiresInMs: shortMs });
            expect(describeResult(await worker.start(start))).toEqual(["worker-lost", "mayHaveRun"]);
            await applyControlToStandIn(standIn, { action: "go-on", target: "glasgow-worker-0" });
            expect((await worker.list()).unwrap().tasks).toEqual([]);
            expect(standIn.fleet.records.lateStarts.length).toEqual(1);
        });

        it("reports a start on a killed worker as notRun", async () => {
            await applyControlToStandIn(standIn, { action: "kill", target: "glasgow-worker-0" });
            expect(describeResult(await worker.start(createStart("job/0")))).toEqual(["worker-unreachable", "notRun"]);
            await applyControlToStandIn(standIn, { action: "restart", target: "glasgow-worker-0" });
            expect(describeResult(await worker.start(createStart("job/0")))).toEqual("ok");
        });
    });

    describe("HttpExecutor", () => {
        const setMode = (mode: string, delayMs = 0) =>
            applyControlToStandIn(standIn, { action: "executor-behaviour", target: "glasgow", mode, delayMs });

        it("transfers raw bytes in both directions and lists running requests", async () => {
            const request = createRequest("1");
            const answer = (await executor.execute(request)).unwrap();
            expect(isWholeEcho(request.body, answer.body)).toEqual(true);
            expect([answer.status, answer.contentType]).toEqual([200, "application/octet-stream"]);
            await setMode("hang");
            const running = executor.execute(createRequest("2"));
            while ((await executor.list()).unwrap().running.length === 0) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            expect((await executor.list()).unwrap().running).toEqual(["attempt-2" as never]);
            await setMode("echo");
            expect(describeResult(await running)).toEqual("ok");
        });

        it("reports each fault with its verdict", async () => {
            await setMode("fail");
            expect((await executor.execute(createRequest("1"))).unwrap().status).toEqual(500);
            await setMode("refuse");
            expect(describeResult(await executor.execute(createRequest("2")))).toEqual(["executor-refused", "notRun"]);
            for (const mode of ["cut", "hang", "late"]) {
                await setMode(mode);
                const result = await executor.execute(createRequest(mode, { timeoutMs: shortMs }));
                expect([mode, describeResult(result)]).toEqual([mode, ["executor-lost", "mayHaveRun"]]);
            }
            await applyControlToStandIn(standIn, { action: "kill", target: "glasgow-executor-0" });
            const fresh = new HttpExecutor({ url: addresses.executors[0]?.url ?? "" });
            expect(describeResult(await fresh.execute(createRequest("3")))).toEqual(["executor-unreachable", "notRun"]);
            fresh.close();
        });

        // Guards against a second copy of an answer being taken for the answer to the next request.
        it("never gives a caller the answer to another request when answers come twice", async () => {
            await setMode("twice");
            let answered = 0;
            for (let index = 0; index < 50; index++) {
                const request = createRequest(String(index), { body: Buffer.from(`body ${index}`) });
                const result = await executor.execute(request);
                if (result.ok) {
                    answered++;
                    expect(isWholeEcho(request.body, result.val.body)).toEqual(true);
                }
                else {
                    expect(describeResult(result)).toEqual(["executor-lost", "mayHaveRun"]);
                }
            }
            expect(answered).toBeGreaterThan(0);
        });

        it("refuses to send a content type that is not a valid header value", async () => {
            const request = createRequest("1", { contentType: "text/plain\r\nx: y" });
            expect(describeResult(await executor.execute(request))).toEqual(["executor-invalid-request", "notRun"]);
        });

        // Guards against stand-ins that miss more connections than an executor accepts.
        it("records more open connections than it accepts", async () => {
            await setMode("echo", 500);
            await Promise.all(["1", "2", "3", "4"].map(name => executor.execute(createRequest(name))));
            const overloads = standIn.fleet.records.overloads.map(({ kind, bound }) => [kind, bound]);
            expect(overloads).toEqual([["connections", 3]]);
        });
    });

    it("lists hosts with reachable addresses", async () => {
        await applyControlToStandIn(standIn, { action: "drain", target: "glasgow-worker-1", isDraining: true });
        await new Promise(resolve => setTimeout(resolve, 200));
        const listing = (await hostList.list("glasgow" as ZoneId)).unwrap();
        expect(listing.workers.map(({ state }) => state)).toEqual(["live", "leaving"]);
        expect(listing.executors.length).toEqual(2);
        const second = new HttpWorker({ url: listing.workers[1]?.address.url ?? "", timeoutMs });
        expect((await second.list()).unwrap().isDraining).toEqual(true);
        second.close();
    });

    describe("control server", () => {
        const post = (content: unknown) =>
            fetch(`${addresses.control}/control`, { method: "POST", body: JSON.stringify(content) });

        it("applies commands and returns records", async () => {
            expect((await post({ action: "drain", target: "glasgow-worker-0", isDraining: true })).status).toEqual(200);
            expect((await worker.list()).unwrap().isDraining).toEqual(true);
            await worker.start(createStart("job/0"));
            await worker.start(createStart("job/1"));
            const report = await (await fetch(`${addresses.control}/records`)).json() as RecordsReport;
            expect(report.overcommits.length).toEqual(1);
            expect(report.taskRuns.map(run => run.task)).toEqual(["job/0", "job/1"] as TaskId[]);
            const short = await (await fetch(`${addresses.control}/records?runs=false`)).json() as RecordsReport;
            expect([short.taskRunCount, short.taskRuns.length]).toEqual([2, 0]);
        });

        it("names the unknown target or the invalid property of a command", async () => {
            const unknown = await post({ action: "kill", target: "nowhere" });
            expect(unknown.status).toEqual(404);
            expect(await unknown.text()).toEqual(expect.includes("nowhere"));
            const invalid = await post({ action: "slow", target: "store", delayMs: -1 });
            expect(invalid.status).toEqual(400);
            expect(await invalid.text()).toEqual(expect.includes("delayMs"));
        });
    });

    // Guards against a stand-in that crashes on malformed input.
    it("refuses malformed calls and keeps serving", async () => {
        const put = (body: string) => fetch(`${addresses.store}/v1/entry`, { method: "PUT", body });
        expect((await put("{")).status).toEqual(400);
        expect((await put("{\"key\":\"\"}")).status).toEqual(400);
        expect((await fetch(`${addresses.store}/v1/watch?revision=-1&waitMs=1`)).status).toEqual(400);
        expect((await fetch(`${addresses.store}/v2`)).status).toEqual(404);
        expect((await fetch(`${addresses.executors[0]?.url}/v1/execute`, { method: "POST" })).status).toEqual(400);
        expect(describeResult(await store.read("a"))).toEqual("ok");
    });

    // Guards against a crash when a caller closes its connection in the middle of a body.
    it("keeps serving after a caller disconnects in the middle of a request", async () => {
        const agent = new Agent();
        const headers = { "content-length": 1_000 };
        const outgoing = sendRequest(`${addresses.store}/v1/entry`, { method: "PUT", agent, headers });
        outgoing.on("error", () => undefined);
        outgoing.write("{");
        await new Promise(resolve => setTimeout(resolve, 20));
        outgoing.destroy();
        expect(describeResult(await store.write(createWrite("a")))).toEqual("ok");
        agent.destroy();
    });
});
