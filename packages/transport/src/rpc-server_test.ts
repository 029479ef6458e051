import type { Server as GrpcServer } from "@grpc/grpc-js";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { expect } from "earl";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { z } from "zod";
import { RpcClient } from "./rpc-client.js";
import { RpcServer } from "./rpc-server.js";
import { createUnaryMethod } from "./service.js";

const methods = {
    echo: createUnaryMethod("Test/Echo", z.object({ value: z.number() }), z.object({ value: z.number() })),
};

describe("RpcServer", () => {
    // Guards against callers that wait for a time-out, or take a call for one that may have run, when a host stops.
    it("finishes, answers or refuses each call during a shutdown", async () => {
        const server = new RpcServer({ address: "127.0.0.1:0" });
        const delaysMs = [150, 10_000];
        server.addService(methods, {
            echo: async request => {
                await new Promise(resolve => setTimeout(resolve, delaysMs[request.value]).unref());
                return Ok(request);
            },
        });
        const client = new RpcClient({ address: `127.0.0.1:${await server.listen()}` });
        const send = (value: number) => client.call(methods.echo, { value }, 5_000);
        const [finished, answered] = [send(0), send(1)];
        while (server.openCallCount < 2) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const stopped = server.shutdown(400);
        const refused = await send(0);
        expect(refused).toEqual(Err(createFailure("peer-unreachable", "the host is stopping", "notRun")));
        expect(await finished).toEqual(Ok({ value: 0 }));
        expect(await answered).toEqual(Err(createFailure("peer-lost", "the host is stopping", "mayHaveRun")));
        expect((await stopped).map(({ method }) => method)).toEqual([methods.echo.path]);
        client.close();
    });

    describe("an address that cannot be bound", () => {
        const holder = createServer();
        let port: number;
        let server: RpcServer;

        beforeEach(async () => {
            await new Promise<void>(resolve => holder.listen(0, "127.0.0.1", resolve));
            port = (holder.address() as AddressInfo).port;
            server = new RpcServer({ address: `127.0.0.1:${port}` });
            server.addService(methods, { echo: async request => Ok(request) });
        });
        afterEach(() => server.shutdown(0));

        const call = async () => {
            const client = new RpcClient({ address: `127.0.0.1:${port}`, connectTimeoutMs: 300 });
            const reply = await client.call(methods.echo, { value: 7 }, 2_000);
            client.close();
            return reply.val;
        };
        const freePort = () => new Promise(resolve => holder.close(resolve));
        const listen = () => server.listen().catch((error: NodeJS.ErrnoException) => error.code);

        // Guards against a host that cannot be reached by others because its first attempt failed.
        it("is bound by a later attempt once it is free, with the services", async () => {
            expect([await listen(), await listen()]).toEqual(["EADDRINUSE", "EADDRINUSE"]);
            await freePort();
            expect(await listen()).toEqual(port);
            expect(await call()).toEqual({ value: 7 });
        });

        // Guards against a failure that the library remembers: it fails at once when it is asked for the same address again.
        it("is bound by a later attempt if it was taken between the check and the bind", async () => {
            expect(await listen()).toEqual("EADDRINUSE");
            await freePort();
            const { server: library } = server as unknown as { server: GrpcServer; };
            const bindAsync = library.bindAsync.bind(library);
            library.bindAsync = (address, credentials, callback) => {
                holder.listen(port, "127.0.0.1", () => bindAsync(address, credentials, callback));
            };
            expect(await listen()).toEqual("EADDRINUSE");
            await freePort();
            expect(await listen()).toEqual(port);
            expect(await call()).toEqual({ value: 7 });
        });
    });
});
