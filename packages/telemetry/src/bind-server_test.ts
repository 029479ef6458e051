import { expect } from "earl";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { afterEach, describe, it } from "node:test";
import { bindServer } from "./bind-server.js";

const address = "127.0.0.1";

describe("bindServer", () => {
    const servers: Server[] = [];
    const addServer = () => {
        const server = createServer();
        servers.push(server);
        return server;
    };
    afterEach(() => servers.splice(0).forEach(server => server.close()));

    // Guards against a server that cannot be bound again, or reports an earlier attempt as its own success.
    it("rejects with the code of the system while the port is taken, and can be called again", async () => {
        const holder = addServer();
        await bindServer(holder, { address, port: 0, onError: () => undefined });
        const { port } = holder.address() as AddressInfo;
        const server = addServer();
        for (let attempt = 0; attempt < 3; attempt++) {
            const error = await bindServer(server, { address, port, onError: () => undefined })
                .catch((reason: NodeJS.ErrnoException) => reason);
            expect(error?.code).toEqual("EADDRINUSE");
        }
        await new Promise(resolve => holder.close(resolve));
        await bindServer(server, { address, port, onError: () => undefined });
        expect(server.listening).toEqual(true);
        expect([server.listenerCount("listening"), server.listenerCount("error")]).toEqual([0, 1]);
    });

    // Guards against a process that ends because a connection cannot be accepted.
    it("passes each error after that to its handler", async () => {
        const errors: string[] = [];
        const server = addServer();
        await bindServer(server, { address, port: 0, onError: error => errors.push(error.message) });
        server.emit("error", new Error("accept EMFILE"));
        server.emit("error", new Error("accept ENOBUFS"));
        expect(errors).toEqual(["accept EMFILE", "accept ENOBUFS"]);
    });
});
