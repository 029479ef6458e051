import { createFailure, Err, Ok } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { z } from "zod";
import { RpcClient } from "./rpc-client.js";
import { RpcServer } from "./rpc-server.js";
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
