import { createFailure, Err, Ok } from "@waxwingroute/core";
import { expect } from "earl";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { describe, it } from "node:test";
import { z } from "zod";
import { RpcClient } from "./rpc-client.js";
import { RpcServer } from "./rpc-server.js";
import type { StreamWriter } from "./rpc-server.js";
import { createStreamMethod, createUnaryMethod } from "./service.js";

const methods = {
    echo: createUnaryMethod(
        "Test/Echo",
        z.object({ body: z.instanceof(Uint8Array) }),
        z.object({ body: z.instanceof(Uint8Array) }),
    ),
    refuse: createUnaryMethod("Test/Refuse", z.object({}), z.object({})),
    hang: createUnaryMethod("Test/Hang", z.object({}), z.object({})),
    count: createStreamMethod("Test/Count", z.object({ to: z.number() }), z.object({ value: z.number() })),
};

async function withServer(run: (client: RpcClient, server: RpcServer) => Promise<void>): Promise<void> {
    const server = new RpcServer({ address: "127.0.0.1:0" });
    server.addService(methods, {
        echo: async request => Ok(request),
        refuse: async () => Err(createFailure("queue-full", "full", "notRun", 50)),
        hang: () => new Promise(() => undefined),
        count: (request, writer) => {
            for (let value = 1; value <= request.to; value++) {
                writer.send({ value });
            }
            writer.end();
        },
    });
    const port = await server.listen();
    const client = new RpcClient({ address: `127.0.0.1:${port}`, connectTimeoutMs: 300 });
    try {
        await run(client, server);
    }
    finally {
        client.close();
        await server.shutdown(0);
    }
}

const bulk = { send: createStreamMethod("Test/Bulk", z.object({}), z.object({ body: z.instanceof(Uint8Array) })) };

describe("RpcServer", () => {
    // Guards against a host that stops reading, while the messages for it fill the memory of the owner.
    it("ends the stream whose reader does not read, and no other", async () => {
        const server = new RpcServer({ address: "127.0.0.1:0", maxWaitingBytes: 1_000_000 });
        const writers: StreamWriter<{ body: Uint8Array; }>[] = [];
        server.addService(bulk, { send: (_request, writer) => void writers.push(writer) });
        const port = await server.listen();
        const link = await openLink(port);
        const reader = new RpcClient({ address: `127.0.0.1:${port}` });
        const stalled = new RpcClient({ address: `127.0.0.1:${link.port}` });
        let received = 0;
        reader.openStream(bulk.send, {}, { onMessage: () => received += 1, onEnd: () => {} });
        await waitUntil(() => writers.length === 1);
        stalled.openStream(bulk.send, {}, { onMessage: () => {}, onEnd: () => {} });
        await waitUntil(() => writers.length === 2);
        link.stopReading();
        let highest = 0;
        for (let index = 0; index < 400; index += 1) {
            writers.forEach(writer => writer.send({ body: new Uint8Array(10_000) }));
            highest = Math.max(highest, server.waitingBytes);
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        await waitUntil(() => received === 400);
        expect(writers.map(writer => writer.isOpen)).toEqual([true, false]);
        expect(highest <= 1_000_000).toEqual(true);
        expect(server.waitingBytes).toEqual(0);
        reader.close();
        stalled.close();
        link.close();
        await server.shutdown(0);
    });
});

/** Opens a port that passes everything to and from another one, until it stops reading from it. */
async function openLink(target: number) {
    const sockets: Socket[] = [];
    const link: Server = createServer(socket => {
        const onward = connect(target, "127.0.0.1");
        sockets.push(socket, onward);
        [socket, onward].forEach(end => end.on("error", () => {}));
        socket.pipe(onward).pipe(socket);
    });
    await new Promise<void>(resolve => {
        link.listen(0, "127.0.0.1", resolve);
    });
    return {
        port: (link.address() as AddressInfo).port,
        stopReading: () =>
            sockets.forEach(socket => {
                socket.unpipe();
                socket.pause();
            }),
        close: () => {
            sockets.forEach(socket => socket.destroy());
            link.close();
        },
    };
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

describe("RpcClient with RpcServer", () => {
    describe("streams", () => {
        // Guards against one message that cannot be processed and ends the whole process.
        it("ends the stream when a message cannot be processed, and serves further calls", () =>
            withServer(async client => {
                const failure = await new Promise<unknown>(resolve => {
                    client.openStream(methods.count, { to: 3 }, {
                        onMessage: () => {
                            throw new Error("invalid address");
                        },
                        onEnd: resolve,
                    });
                });
                expect((failure as { code: string; }).code).toEqual("peer-incompatible");
                const reply = await client.call(methods.echo, { body: new Uint8Array([1]) }, 2_000);
                expect(reply.ok).toEqual(true);
            }));
    });

    describe("unary calls", () => {
        it("returns the bytes of a message unchanged", () =>
            withServer(async client => {
                const body = new Uint8Array([0, 1, 255]);
                const reply = await client.call(methods.echo, { body }, 2_000);
                expect([...(reply.unwrap() as { body: Uint8Array; }).body]).toEqual([0, 1, 255]);
            }));

        // Guards against a verdict that is lost in transit, which would make a safe retry look unsafe.
        it("returns the failure of a handler with its verdict", () =>
            withServer(async client => {
                const reply = await client.call(methods.refuse, {}, 2_000);
                expect(reply.val).toEqual({ code: "queue-full", message: "full", verdict: "notRun", retryAfterMs: 50 });
            }));

        // Guards against reporting a request as `notRun` that the server may still be handling.
        it("reports a call without a reply as mayHaveRun", () =>
            withServer(async client => {
                const reply = await client.call(methods.hang, {}, 100);
                expect(reply.err && reply.val.verdict).toEqual("mayHaveRun");
            }));

        it("reports a server that cannot be reached as notRun", async () => {
            const client = new RpcClient({ address: "127.0.0.1:1", connectTimeoutMs: 100 });
            const reply = await client.call(methods.echo, { body: new Uint8Array() }, 1_000);
            client.close();
            expect(reply.err && reply.val.verdict).toEqual("notRun");
        });
    });

    describe("message streams", () => {
        it("delivers messages in order and reports the end", () =>
            withServer(async client => {
                const values: number[] = [];
                await new Promise<void>(resolve => {
                    client.openStream(methods.count, { to: 3 }, {
                        onMessage: (message: { value: number; }) => values.push(message.value),
                        onEnd: () => resolve(),
                    });
                });
                expect(values).toEqual([1, 2, 3]);
            }));
    });
});
