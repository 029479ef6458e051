import type { Failure, QueueId, RequestKey, Result, TaskId, TeamId, WriterToken, ZoneId } from "@waxwingroute/core";
import { expect } from "earl";
import fc from "fast-check";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { HttpExecutor } from "./http-executor.js";
import { HttpHostList } from "./http-host-list.js";
import { HttpStore } from "./http-store.js";
import { HttpWorker } from "./http-worker.js";

const task = "job/0" as TaskId;
const zone = "glasgow" as ZoneId;
const resources = { cpuMillis: 1, memoryMb: 1, accelerators: 0 };
const write = { key: "a", value: "b", expected: { kind: "absent" }, token: "t" as WriterToken } as const;
const request = {
    attempt: "attempt-1" as never,
    requestKey: "glasgow.0.1.1.x" as RequestKey,
    queue: "orders" as QueueId,
    team: "sales" as TeamId,
    isIdempotent: false,
    contentType: "text/plain",
    body: Buffer.from("body"),
    timeoutMs: 1_000,
    epoch: 1,
};

/** Valid response bodies. Truncated or altered copies of them are the likeliest to be accepted by mistake. */
const validBodies: readonly unknown[] = [
    { isFound: true, entry: { key: "a", value: "b", revision: 1 } },
    { entries: [{ key: "a", value: "b", revision: 1 }], revision: 2 },
    { changes: [{ isDeleted: false, key: "a", value: "b", revision: 1 }], revision: 1 },
    { revision: 3 },
    { isDone: true },
    { worker: "w", capacity: resources, isDraining: false, tasks: [{ task, team: "t", resources, epoch: 1 }] },
    { executor: "e", slots: 8, isDraining: false, running: ["a"] },
    { workers: [], executors: [] },
    { error: { code: "store-conflict", message: "no", verdict: "notRun" } },
];

describe("HTTP adapters with invalid responses", () => {
    let server: Server;
    let store: HttpStore;
    let worker: HttpWorker;
    let executor: HttpExecutor;
    let hostList: HttpHostList;
    let sendResponse: (socket: Socket) => void = () => undefined;

    before(async () => {
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => sendResponse(socket));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        store = new HttpStore({ url });
        worker = new HttpWorker({ url });
        executor = new HttpExecutor({ url });
        hostList = new HttpHostList({ url });
    });

    after(() => {
        [store, worker, executor, hostList].forEach(adapter => adapter.close());
        server.close();
    });

    const callsByName: Readonly<Record<string, () => Promise<Result<unknown, Failure>>>> = {
        read: () => store.read("a"),
        readRange: () => store.readRange("a"),
        write: () => store.write(write),
        delete: () => store.delete("a", 1),
        watch: () => store.watch("a", 0, 10),
        readToken: () => store.readToken("a"),
        start: () =>
            worker.start({
                task,
                team: "t" as TeamId,
                job: "job" as never,
                resources,
                command: "run 1s",
                leaseMs: 1_000,
                expiresInMs: 1_000,
                epoch: 1,
            }),
        renew: () => worker.renew({ tasks: [task], leaseMs: 1_000, acknowledged: [] }),
        workerList: () => worker.list(),
        stop: () => worker.stop(task),
        execute: () => executor.execute(request),
        executorList: () => executor.list(),
        hostList: () => hostList.list(zone),
    };
    const callNames = Object.keys(callsByName);

    function createResponse(status: number, body: Buffer): Buffer {
        const head = `HTTP/1.1 ${status} X\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n`;
        return Buffer.concat([Buffer.from(head), body]);
    }

    /** Runs one call against a raw response; returns whether it failed. A failure must have a code and a message. */
    async function checkCall(name: string, response: Buffer): Promise<boolean> {
        sendResponse = socket => socket.end(response);
        const result = await callsByName[name]?.() as Result<unknown, Failure>;
        if (!result.ok) {
            expect(result.val.code).toMatchRegex(/^[a-z]+(-[a-z]+)+$/);
            expect(result.val.message.length).toBeGreaterThan(10);
        }
        return !result.ok;
    }

    /** Bodies that are not JSON: truncated JSON, and arbitrary bytes that do not parse. */
    const brokenJson = fc.oneof(
        fc.tuple(fc.constantFrom(...validBodies), fc.nat(200)).map(([body, length]) => {
            const text = JSON.stringify(body);
            return Buffer.from(text.slice(0, length % text.length));
        }),
        fc.uint8Array({ maxLength: 60 }).map(bytes => Buffer.from(bytes)),
    ).filter(body => {
        try {
            JSON.parse(body.toString("utf8"));
            return false;
        }
        catch {
            return true;
        }
    });

    // Guards against a crash or a false success when a proxy or a failing service sends something other than JSON.
    it("reports mayHaveRun for bodies that are not JSON", async t => {
        let refused = 0;
        const property = fc.asyncProperty(
            fc.constantFrom(...callNames),
            fc.constantFrom(200, 400, 409, 500, 503),
            brokenJson,
            async (name, status, body) => {
                refused += Number(await checkCall(name, createResponse(status, body)));
                const result = await callsByName[name]?.() as Result<unknown, Failure>;
                expect(!result.ok && result.val.verdict).toEqual("mayHaveRun");
            },
        );
        await fc.assert(property, { seed: 41, numRuns: 1_500 });
        t.diagnostic(`result: ${refused} of 1500 bodies that are not JSON refused`);
        expect(refused).toEqual(1_500);
    });

    // Guards against accepting a field of the wrong type or range, for example a revision that is a string.
    it("rejects JSON that does not match the schema of the call", async () => {
        const invalidContent = fc.oneof(
            fc.jsonValue(),
            fc.record({ isFound: fc.jsonValue(), entry: fc.jsonValue(), entries: fc.jsonValue() }),
            fc.record({ tasks: fc.jsonValue(), worker: fc.jsonValue(), error: fc.jsonValue() }),
            // Negative and fractional revisions have the right type but are not valid.
            fc.record({ changes: fc.constant([]), revision: fc.constantFrom(-1, 0.5, "1", null) }),
        );
        const property = fc.asyncProperty(fc.constantFrom(...callNames), invalidContent, async (name, body) => {
            expect(await checkCall(name, createResponse(200, Buffer.from(JSON.stringify(body))))).toEqual(true);
        });
        await fc.assert(property, { seed: 42, numRuns: 1_500 });
    });

    // Guards against an exception when the HTTP parser of Node.js fails.
    it("returns a result for bytes that are not HTTP", async () => {
        const bytes = fc.oneof(
            fc.uint8Array({ minLength: 1, maxLength: 80 }).map(array => Buffer.from(array)),
            fc.tuple(fc.nat(300), fc.nat(255)).map(([position, value]) => {
                const response = createResponse(200, Buffer.from(JSON.stringify(validBodies[5])));
                response[position % response.length] = value;
                return response;
            }),
        );
        const property = fc.asyncProperty(fc.constantFrom(...callNames), bytes, async (name, response) => {
            await checkCall(name, response);
        });
        await fc.assert(property, { seed: 43, numRuns: 1_500 });
    });

    // Guards against a second response on a keep-alive connection that is taken for the response to the next read.
    it("rejects the entry of another key in the response to a read", async () => {
        const body = { isFound: true, entry: { key: "other", value: "b", revision: 1 } };
        expect(await checkCall("read", createResponse(200, Buffer.from(JSON.stringify(body))))).toEqual(true);
    });
});
