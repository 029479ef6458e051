import type { Result } from "@waxwingroute/core";
import { ManualClock, SystemClock } from "@waxwingroute/core";
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
    // With a manual clock, calls time out only when a test advances it, however slow the machine is.
    let clock: ManualClock;

    beforeEach(() => {
        clock = new ManualClock();
    });

    afterEach(() => {
        clients.splice(0).forEach(client => client.close());
        sockets.forEach(socket => socket.destroy());
        servers.splice(0).forEach(server => server.close());
    });

    /** Accepts raw connections; `onData` receives the connection of each chunk and the number of chunks before it. */
    async function listen(onData: (socket: Socket, chunkCount: number) => void): Promise<string> {
        let chunkCount = 0;
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => onData(socket, chunkCount++));
        });
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    /** Accepts connections and never responds; `arrived` resolves when the first bytes arrive. */
    async function listenSilently(): Promise<{ readonly url: string; readonly arrived: Promise<void>; }> {
        let resolveArrived = () => undefined as void;
        const arrived = new Promise<void>(resolve => {
            resolveArrived = resolve;
        });
        return { url: await listen(() => resolveArrived()), arrived };
    }

    function createClient(url: string, options: Partial<HttpClientOptions> = {}): HttpClient {
        const client = new HttpClient("test", { url, timeoutMs: 100, clock, ...options });
        clients.push(client);
        return client;
    }

    function describeFailure(result: Result<HttpResponse, TransportFailure>): unknown {
        return result.ok ? "answered" : [result.val.kind, result.val.wasSent];
    }

    describe("connections that go silent", () => {
        // Guards against calls that each wait for their time-out on the next of several connections that went silent.
        it("opens a new connection after a time-out instead of using an idle one", async () => {
            const connections = 3;
            const waiting: Socket[] = [];
            const answer = (socket: Socket) => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
            let areOldSilent = false;
            const old = new Set<Socket>();
            let reportSilentCall = () => {};
            const silentCall = new Promise<void>(resolve => {
                reportSilentCall = resolve;
            });
            const url = await listen(socket => {
                if (areOldSilent) {
                    if (old.has(socket)) {
                        reportSilentCall();
                    }
                    else {
                        answer(socket);
                    }
                    return;
                }
                waiting.push(socket);
                old.add(socket);
                if (waiting.length === connections) {
                    waiting.forEach(answer);
                }
            });
            const client = createClient(url);
            await Promise.all(Array.from({ length: connections }, () => client.send(request)));
            areOldSilent = true;
            const unanswered = client.send(request);
            await silentCall;
            await clock.advance(100);
            expect(describeFailure(await unanswered)).toEqual(["timedOut", true]);
            expect(describeFailure(await client.send(request))).toEqual("answered");
        });
    });

    describe("whether a failed request was sent", () => {
        // Guards against refusing a safe retry although no connection was made.
        it("reports that nothing was sent when the connection is refused", async () => {
            const url = await listen(() => undefined);
            await new Promise(resolve => servers.pop()?.close(resolve));
            expect(describeFailure(await createClient(url).send(request))).toEqual(["unreachable", false]);
        });

        // Guards against reporting a request as not sent that the server may have read before it reset the connection.
        it("reports that the request was sent when the server resets the connection", async () => {
            const url = await listen(socket => socket.resetAndDestroy());
            expect(describeFailure(await createClient(url).send(request))).toEqual(["cutShort", true]);
        });

        // Guards against reporting a request as not sent when a server closes its keep-alive connection at that moment.
        it("reports that the request was sent when a reused connection closes", async () => {
            const url = await listen((socket, chunkCount) => {
                if (chunkCount === 0) {
                    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
                }
                else {
                    socket.destroy();
                }
            });
            const client = createClient(url);
            expect(describeFailure(await client.send(request))).toEqual("answered");
            expect(describeFailure(await client.send(request))).toEqual(["cutShort", true]);
        });

        // Guards against a caller that waits forever for a stalled server.
        it("reports a time-out after the send when the server never responds", async () => {
            const { url, arrived } = await listenSilently();
            const pending = createClient(url).send(request);
            await arrived;
            await clock.advance(100);
            expect(describeFailure(await pending)).toEqual(["timedOut", true]);
        });

        // Guards against reporting a request as sent that waited for a free connection until its time-out.
        it("reports that nothing was sent when no connection became free in time", async () => {
            const { url, arrived } = await listenSilently();
            const client = createClient(url, { maxConnections: 1 });
            const first = client.send({ ...request, timeoutMs: 300 });
            await arrived;
            const second = client.send({ ...request, timeoutMs: 50 });
            await clock.advance(50);
            expect(describeFailure(await second)).toEqual(["timedOut", false]);
            await clock.advance(250);
            expect(describeFailure(await first)).toEqual(["timedOut", true]);
        });

        // Guards against a busy process that takes services for silent, since timers run before sockets are read.
        it("accepts a response that arrived in time while the process was busy", async () => {
            const url = await listen(socket => {
                socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                const startedAt = performance.now();
                while (performance.now() - startedAt < 120) {
                    // Keeps the process busy beyond the time-out.
                }
            });
            const result = await createClient(url, { clock: new SystemClock(), timeoutMs: 60 }).send(request);
            expect(describeFailure(result)).toEqual("answered");
        });

        // Guards against a crash on a header value that HTTP does not allow.
        it("reports that nothing was sent when a header value is invalid", async () => {
            const url = await listen(() => undefined);
            const headers = { "x-queue": "a\r\nb: c" };
            expect(describeFailure(await createClient(url).send({ ...request, headers }))).toEqual([
                "invalidRequest",
                false,
            ]);
        });
    });

    describe("incomplete and oversize responses", () => {
        // Guards against accepting part of a response as the complete response.
        it("fails when the response has fewer bytes than its content-length", async () => {
            const url = await listen(socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345"));
            expect(describeFailure(await createClient(url).send(request))).toEqual(["cutShort", true]);
        });

        it("fails when a chunked response ends without its last chunk", async () => {
            const url = await listen(socket =>
                socket.end("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n")
            );
            expect(describeFailure(await createClient(url).send(request))).toEqual(["cutShort", true]);
        });

        // Guards against unbounded memory use by a response that never ends.
        it("stops reading a response above maxResponseBytes", async () => {
            const url = await listen(socket =>
                socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n${"x".repeat(2_000)}`)
            );
            const client = createClient(url, { maxResponseBytes: 1_000 });
            expect(describeFailure(await client.send(request))).toEqual(["tooLarge", true]);
        });
    });

    // Guards against cross-zone traffic that metering misses.
    it("reports the bytes and the outcome of each call to onCall", async () => {
        const url = await listen(socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"));
        const calls: CompletedHttpCall[] = [];
        await createClient(url, { onCall: call => calls.push(call) }).send(request);
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
