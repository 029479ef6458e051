import { createFailure, Err, Ok } from "@waxwingroute/core";
import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { requestKey, startEntry } from "./testing/entry-fixture.js";
import type { EntryFixture } from "./testing/entry-fixture.js";
import { buildRequest, parseResponse, sendRaw } from "./testing/raw-client.js";
import type { RawResponse } from "./testing/raw-client.js";
import type { EntryServerOptions } from "./types.js";

async function withEntry(options: Partial<EntryServerOptions>, use: (fixture: EntryFixture) => Promise<void>) {
    const fixture = await startEntry(options);
    try {
        await use(fixture);
    }
    finally {
        await fixture.server.stop(0);
    }
}

function describeResponse({ status, headers, body }: RawResponse): string {
    const verdict = headers.get("waxwing-verdict");
    if (status < 400) {
        return `${status} ${verdict} ${body.toString()}`;
    }
    const { error } = JSON.parse(body.toString()) as { error: { code: string; message: string; verdict: string; }; };
    expect(error.verdict).toEqual(verdict as string);
    expect(error.message.length > 0).toEqual(true);
    return `${status} ${verdict} ${error.code}`;
}

const wait = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

describe("EntryServer", () => {
    // Guards against headers that are not forwarded to the owner, and against an answer without its key and verdict.
    it("forwards a request to the shard of its request key and returns the complete answer", async () => {
        await withEntry({}, async ({ gateway, port }) => {
            gateway.handleCall = async call => Ok(gateway.createEchoAnswer(call, 207));
            const headers = {
                "Waxwing-Request-Key": requestKey,
                "Waxwing-Idempotent": "true",
                "Waxwing-Deadline-Ms": "700",
            };
            const response = await sendRaw(port, buildRequest("hello", headers));
            expect(describeResponse(response)).toEqual("207 ran hello");
            expect(response.headers.get("waxwing-request-key")).toEqual(requestKey);
            expect(response.headers.get("content-type")).toEqual("text/plain");
            const { shard, request } = gateway.calls[0]!;
            expect([shard as string, request.team as string, request.isIdempotent]).toEqual([
                "glasgow/0",
                "quotes",
                true,
            ]);
            expect(request.timeoutMs > 600 && request.timeoutMs <= 700).toEqual(true);
        });
    });

    // Guards against bytes that are lost or reordered when a body arrives in many chunks.
    it("forwards a body that arrives in many chunks unchanged", async () => {
        await withEntry({}, async ({ port, server }) => {
            const body = Buffer.from(Array.from({ length: 900_000 }, (_, index) => index * 7919 % 251)).toString(
                "latin1",
            );
            const parts = body.match(/[^]{1,7777}/g)!.map(part => `${part.length.toString(16)}\r\n${part}\r\n`);
            const chunked = { "Content-Length": undefined, "Transfer-Encoding": "chunked" };
            const whole = buildRequest(body, { "Content-Length": `${body.length}` });
            for (const bytes of [whole, buildRequest(`${parts.join("")}0\r\n\r\n`, chunked)]) {
                const response = await sendRaw(port, Buffer.from(bytes, "latin1"));
                expect([response.status, response.body.toString("latin1") === body]).toEqual([200, true]);
            }
            expect(server.getStatus().bodyBytes).toEqual(0);
        });
    });

    // Guards against a status or verdict that misleads the caller about whether a retry is safe.
    it("refuses each invalid request with its status, verdict and code", async () => {
        await withEntry({ maxBodyBytes: 10 }, async ({ gateway, port }) => {
            const cases: [string, string][] = [
                [buildRequest("", { Authorization: undefined }), "401 notRun bad-key"],
                [buildRequest("", { Authorization: "Basic x" }), "401 notRun bad-authorization"],
                [buildRequest("", {}, "plans"), "403 notRun wrong-team"],
                [buildRequest("", {}, "unknown"), "404 notRun unknown-queue"],
                [buildRequest("", {}, "Bad"), "400 notRun bad-queue-name"],
                [buildRequest("", { "Waxwing-Deadline-Ms": "0" }), "400 notRun bad-deadline"],
                [buildRequest("", { "Waxwing-Deadline-Ms": "600001" }), "400 notRun bad-deadline"],
                [buildRequest("", { "Waxwing-Idempotent": "yes" }), "400 notRun bad-idempotent"],
                [buildRequest("", { "Waxwing-Request-Key": "x" }), "400 notRun bad-request-key"],
                [
                    buildRequest("", { "Waxwing-Idempotent": "false\r\nWaxwing-Idempotent: true" }),
                    "400 notRun repeated-header",
                ],
                [buildRequest("", { "Content-Encoding": "gzip" }), "415 notRun unsupported-encoding"],
                [buildRequest("", { "Expect": "magic" }), "417 notRun unknown-expectation"],
                [buildRequest("12345678901"), "413 notRun body-too-large"],
                [buildRequest("", { "X": "x".repeat(20_000) }), "431 notRun header-too-large"],
                ["GET /v1/queues/orders/requests HTTP/1.1\r\n\r\n", "405 notRun method-not-allowed"],
                ["POST /v2 HTTP/1.1\r\n\r\n", "404 notRun unknown-path"],
                ["nonsense\r\n\r\n", "400 notRun bad-http"],
                [
                    buildRequest("zz\r\n", { "Content-Length": undefined, "Transfer-Encoding": "chunked" }),
                    "400 notRun bad-http",
                ],
            ];
            for (const [bytes, expected] of cases) {
                expect(describeResponse(await sendRaw(port, bytes))).toEqual(expected);
            }
            expect(gateway.calls.length).toEqual(0);
        });
    });

    // Guards against a failure of an owner that reaches the caller with another verdict, or without its key and retry
    // time.
    it("responds to each failure of an owner with its status, verdict and code", async () => {
        await withEntry({}, async ({ gateway, port }) => {
            const cases: [string, "notRun" | "mayHaveRun" | "ran", number][] = [
                ["queue-full", "notRun", 429],
                ["deadline-exceeded", "notRun", 504],
                ["request-key-conflict", "mayHaveRun", 409],
                ["executor-lost", "mayHaveRun", 502],
                ["answer-evicted", "ran", 502],
                ["stopping", "notRun", 503],
            ];
            for (const [code, verdict, status] of cases) {
                gateway.handleCall = async () => Err({ ...createFailure(code, "m", verdict, 1500), requestKey });
                const response = await sendRaw(port, buildRequest("x"));
                expect(describeResponse(response)).toEqual(`${status} ${verdict} ${code}`);
                expect(response.headers.get("retry-after")).toEqual("2");
                expect(response.headers.get("waxwing-request-key")).toEqual(requestKey);
            }
            gateway.handleCall = () => Promise.reject(new Error("lost"));
            expect(describeResponse(await sendRaw(port, buildRequest("x")))).toEqual("502 mayHaveRun internal-error");
            gateway.handleCall = async call => Ok(gateway.createEchoAnswer(call, 204));
            expect(describeResponse(await sendRaw(port, buildRequest("x")))).toEqual("502 ran bad-answer");
        });
    });

    // Guards against request keys that are issued to callers without a valid API key, or refused for open queues.
    it("issues request keys to callers with an API key and for open queues", async () => {
        await withEntry({}, async ({ port }) => {
            const bytes = "POST /v1/request-keys HTTP/1.1\r\nAuthorization: Bearer secret\r\n\r\n";
            expect(describeResponse(await sendRaw(port, bytes))).toEqual(`201 notRun {"requestKey":"${requestKey}"}`);
            expect(describeResponse(await sendRaw(port, bytes.replace("secret", "other")))).toEqual(
                "401 notRun bad-key",
            );
            const open = "POST /v1/request-keys?queue=open HTTP/1.1\r\n\r\n";
            expect((await sendRaw(port, open)).status).toEqual(201);
        });
    });

    // Guards against a caller that waits forever for an owner that never answers, or that is told `notRun` then.
    it("responds with mayHaveRun after the deadline if the owner does not answer", async () => {
        await withEntry({ answerGraceMs: 20 }, async ({ gateway, port }) => {
            gateway.handleCall = () => new Promise(() => undefined);
            const response = await sendRaw(port, buildRequest("x", { "Waxwing-Deadline-Ms": "50" }));
            expect(describeResponse(response)).toEqual("504 mayHaveRun deadline-exceeded");
            expect(gateway.calls[0]!.request.signal.aborted).toEqual(true);
        });
    });

    // Guards against a request that keeps waiting, and holding memory, after its caller disconnected.
    it("aborts the request of a caller that disconnects", async () => {
        await withEntry({}, async ({ gateway, port, server }) => {
            gateway.handleCall = () => new Promise(() => undefined);
            const socket = connect(port, "127.0.0.1");
            socket.write(buildRequest("hello"));
            while (gateway.calls.length === 0) {
                await wait(2);
            }
            expect(server.getStatus().bodyBytes).toEqual(5);
            socket.destroy();
            await once(gateway.calls[0]!.request.signal, "abort");
            expect(server.getStatus()).toEqual({
                running: 0,
                bodyBytes: 0,
                droppedConnections: 0,
                badConnections: 0,
            });
        });
    });

    // Guards against slow callers that occupy connections and memory.
    it("refuses headers and bodies that arrive too slowly", async () => {
        await withEntry({ headerTimeoutMs: 50, bodyTimeoutMs: 50 }, async ({ port, server }) => {
            const request = buildRequest("hello");
            const slowBody = await sendRaw(port, request.slice(0, -2));
            expect(describeResponse(slowBody)).toEqual("408 notRun body-timeout");
            const slowHeader = await sendRaw(port, request.slice(0, 30));
            expect(describeResponse(slowHeader)).toEqual("408 notRun request-timeout");
            await wait(20);
            expect(server.getStatus().bodyBytes).toEqual(0);
        });
    });

    // Guards against a caller that never reads its response and so occupies a connection and memory.
    it("closes the connection of a caller that does not read its response", async () => {
        await withEntry({ responseTimeoutMs: 50 }, async ({ gateway, port, server }) => {
            gateway.handleCall = async call =>
                Ok({ ...gateway.createEchoAnswer(call), body: Buffer.alloc(30_000_000) });
            const socket = connect(port, "127.0.0.1").pause();
            socket.on("error", () => undefined).write(buildRequest("x"));
            while (gateway.calls.length === 0 || server.getStatus().bodyBytes > 0) {
                await wait(5);
            }
            const chunks: Buffer[] = [];
            socket.on("data", chunk => chunks.push(chunk)).resume();
            await once(socket, "close");
            expect(parseResponse(Buffer.concat(chunks)).isComplete).toEqual(false);
        });
    });

    // Guards against memory above the bound on all bodies together, and against bytes that stay reserved after a
    // request.
    it("bounds the total size of bodies and the number of requests and connections", async () => {
        const options = { maxTotalBodyBytes: 2500, maxBodyBytes: 1000, maxRequests: 3, maxConnections: 5 };
        await withEntry(options, async ({ gateway, port, server }) => {
            const release: (() => void)[] = [];
            gateway.handleCall = call =>
                new Promise(resolve =>
                    release.push(() => resolve(Ok({ ...gateway.createEchoAnswer(call), body: Buffer.alloc(0) })))
                );
            const request = buildRequest("x".repeat(1000));
            const held = [sendRaw(port, request), sendRaw(port, request)];
            while (gateway.calls.length < 2) {
                await wait(2);
            }
            expect(describeResponse(await sendRaw(port, request))).toEqual("503 notRun bodies-full");
            held.push(sendRaw(port, buildRequest("small")));
            while (gateway.calls.length < 3) {
                await wait(2);
            }
            expect(describeResponse(await sendRaw(port, buildRequest("x")))).toEqual("503 notRun too-many-requests");
            const idle = [connect(port, "127.0.0.1"), connect(port, "127.0.0.1")];
            await Promise.all(idle.map(socket => once(socket, "connect")));
            expect((await sendRaw(port, buildRequest("x"))).status).toEqual(0);
            expect(server.getStatus().droppedConnections).toEqual(1);
            release.forEach(resolve => resolve());
            expect((await Promise.all(held)).map(response => response.status)).toEqual([200, 200, 200]);
            idle.forEach(socket => socket.destroy());
            expect(server.getStatus().bodyBytes).toEqual(0);
        });
    });

    // Guards against a caller that waits forever for `100 Continue`, and against one that is asked to send a body too
    // large.
    it("sends 100 Continue only if it accepts the body", async () => {
        await withEntry({ maxBodyBytes: 100 }, async ({ port }) => {
            const headers = { Expect: "100-continue" };
            expect(describeResponse(await sendRaw(port, buildRequest("hello", headers)))).toEqual("200 ran hello");
            const tooLarge = await sendRaw(port, buildRequest("", { ...headers, "Content-Length": "101" }));
            expect(describeResponse(tooLarge)).toEqual("413 notRun body-too-large");
            expect(tooLarge.headers.get("connection")).toEqual("close");
        });
    });

    // Guards against a planned stop that cuts off running requests or accepts new ones.
    it("lets running requests finish and refuses new ones while it stops", async () => {
        const { gateway, port, server } = await startEntry();
        const keptOpen = connect(port, "127.0.0.1");
        await once(keptOpen, "connect");
        gateway.handleCall = async call => {
            await wait(call.body.byteLength === 4 ? 100 : 600);
            return Ok(gateway.createEchoAnswer(call));
        };
        const short = sendRaw(port, buildRequest("fast"));
        const long = sendRaw(port, buildRequest("too slow"));
        while (gateway.calls.length < 2) {
            await wait(2);
        }
        const stopped = server.stop(200);
        keptOpen.write(buildRequest("new"));
        const refusal = parseResponse((await once(keptOpen, "data") as [Buffer])[0]);
        expect(describeResponse(refusal)).toEqual("503 notRun stopping");
        expect(refusal.headers.get("connection")).toEqual("close");
        expect(describeResponse(await short)).toEqual("200 ran fast");
        expect(describeResponse(await long)).toEqual("502 mayHaveRun stopping");
        await stopped;
        expect((await sendRaw(port, buildRequest("x"))).status).toEqual(0);
    });
});
