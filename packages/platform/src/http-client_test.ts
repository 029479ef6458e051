import type { Result } from "@waxwingroute/core";
import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { CompletedHttpCall, HttpClientOptions, HttpResponse, TransportFailure } from "./http-client.js";
import { HttpClient } from "./http-client.js";

const request = { operation: "test", method: "POST", path: "/x", body: "body" } as const;

describe("HttpClient", () => {
    const servers: Server[] = [];
    const sockets = new Set<Socket>();
    const clients: HttpClient[] = [];
    // Time-outs fall due only when a test says so, however slow the machine is.
    let clock: ManualClock;

    beforeEach(() => {
        clock = new ManualClock();
    });

    afterEach(() => {
        clients.splice(0).forEach(client => client.close());
        sockets.forEach(socket => socket.destroy());
        servers.splice(0).forEach(server => server.close());
    });

    /** Serves raw connections; `onData` gets each connection's first bytes. */
    async function listen(onData: (socket: Socket, count: number) => void): Promise<string> {
        let count = 0;
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => onData(socket, count++));
        });
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    /** Serves connections without an answer; `arrived` resolves with the first bytes. */
    async function listenSilently(): Promise<{ readonly url: string; readonly arrived: Promise<void>; }> {
        let resolveArrived = () => undefined as void;
        const arrived = new Promise<void>(resolve => {
            resolveArrived = resolve;
        });
        return { url: await listen(() => resolveArrived()), arrived };
    }

    function create(url: string, options: Partial<HttpClientOptions> = {}): HttpClient {
        const client = new HttpClient("test", { url, timeoutMs: 100, clock, ...options });
        clients.push(client);
        return client;
    }

    function describeFailure(result: Result<HttpResponse, TransportFailure>): unknown {
        return result.ok ? "answered" : [result.val.kind, result.val.wasSent];
    }

    describe("verdicts", () => {
        // Guards against refusing a safe retry when no connection could be made.
        it("says that nothing was sent when the connection is refused", async () => {
            const url = await listen(() => undefined);
            await new Promise(resolve => servers.pop()?.close(resolve));
            expect(describeFailure(await create(url).send(request))).toEqual(["unreachable", false]);
        });

        // Guards against "not run" for a request that the server may have read before it reset the connection.
        it("says that the request was sent when the server resets the connection", async () => {
            const url = await listen(socket => socket.resetAndDestroy());
            expect(describeFailure(await create(url).send(request))).toEqual(["cutShort", true]);
        });

        // Guards against "not run" when a server closes a kept-alive connection while the next request is on its way.
        it("says that the request was sent when a reused connection ends", async () => {
            const url = await listen((socket, count) => {
                if (count === 0) {
                    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
                }
                else {
                    socket.destroy();
                }
            });
            const client = create(url);
            expect(describeFailure(await client.send(request))).toEqual("answered");
            expect(describeFailure(await client.send(request))).toEqual(["cutShort", true]);
        });

        // Guards against a caller that waits for ever on a stalled server.
        it("times out after the send when the server stalls", async () => {
            const { url, arrived } = await listenSilently();
            const pending = create(url).send(request);
            await arrived;
            await clock.advance(100);
            expect(describeFailure(await pending)).toEqual(["timedOut", true]);
        });

        // Guards against "may have run" for a request that waited for a free connection until its time-out.
        it("says that nothing was sent when no connection became free in time", async () => {
            const { url, arrived } = await listenSilently();
            const client = create(url, { maxConnections: 1 });
            const first = client.send({ ...request, timeoutMs: 300 });
            await arrived;
            const second = client.send({ ...request, timeoutMs: 50 });
            await clock.advance(50);
            expect(describeFailure(await second)).toEqual(["timedOut", false]);
            await clock.advance(250);
            expect(describeFailure(await first)).toEqual(["timedOut", true]);
        });

        // Guards against a crash on a header value that HTTP does not allow.
        it("says that nothing was sent when a header is not valid", async () => {
            const url = await listen(() => undefined);
            const headers = { "x-queue": "a\r\nb: c" };
            expect(describeFailure(await create(url).send({ ...request, headers }))).toEqual(["invalidRequest", false]);
        });
    });

    describe("responses", () => {
        // Guards against part of a response that is taken for the whole.
        it("reports a response with fewer bytes than its length", async () => {
            const url = await listen(socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345"));
            expect(describeFailure(await create(url).send(request))).toEqual(["cutShort", true]);
        });

        it("reports a chunked response without its last chunk", async () => {
            const url = await listen(socket =>
                socket.end("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n")
            );
            expect(describeFailure(await create(url).send(request))).toEqual(["cutShort", true]);
        });

        // Guards against unbounded memory for a response that never ends.
        it("stops reading above the size bound", async () => {
            const url = await listen(socket =>
                socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n${"x".repeat(2_000)}`)
            );
            const client = create(url, { maxResponseBytes: 1_000 });
            expect(describeFailure(await client.send(request))).toEqual(["tooLarge", true]);
        });
    });

    // Guards against cross-zone traffic that is missing from the bill.
    it("reports bytes and outcome of each call", async () => {
        const url = await listen(socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"));
        const calls: CompletedHttpCall[] = [];
        await create(url, { onCall: call => calls.push(call) }).send(request);
        expect(calls.map(call => ({ ...call, durationMs: 0 }))).toEqual([{
            service: "test",
            operation: "test",
            bytesSent: 4,
            bytesReceived: 3,
            durationMs: 0,
            isAnswered: true,
        }]);
    });
});
