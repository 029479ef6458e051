import { expect } from "earl";
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { LinkRelay } from "./link-relay.js";

const address = "127.0.0.1";

describe("LinkRelay", () => {
    let server: Server;
    let relay: LinkRelay;
    let received = "";
    const clients: Socket[] = [];

    beforeEach(async () => {
        received = "";
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", chunk => {
                received += chunk.toString();
                socket.write(chunk);
            });
        });
        await new Promise<void>(resolve => server.listen(0, address, resolve));
        relay = new LinkRelay({ address, targetAddress: address, targetPort: (server.address() as AddressInfo).port });
        await relay.listen();
    });

    afterEach(async () => {
        clients.splice(0).forEach(client => client.destroy());
        await relay.close();
        server.close();
    });

    function open(): Socket {
        const client = connect(relay.port, address);
        client.on("error", () => undefined);
        clients.push(client);
        return client;
    }

    const readOnce = (client: Socket) =>
        new Promise<string>(resolve => client.once("data", chunk => resolve(chunk.toString())));
    const pause = () => new Promise(resolve => setTimeout(resolve, 50));

    it("forwards both ways while open", async () => {
        const client = open();
        client.write("hello");
        expect(await readOnce(client)).toEqual("hello");
    });

    // Guards against a cut that the system notices at once: a lost link sends no reset.
    it("drops bytes silently while cut, and ends old connections when mended", async () => {
        const client = open();
        client.write("a");
        await readOnce(client);
        relay.setOpen(false);
        const late = open();
        let isClosed = false;
        for (const socket of [client, late]) {
            socket.on("close", () => {
                isClosed = true;
            });
            socket.write("lost");
        }
        await pause();
        expect([received, isClosed]).toEqual(["a", false]);
        relay.setOpen(true);
        await pause();
        expect(isClosed).toEqual(true);
        const next = open();
        next.write("b");
        expect(await readOnce(next)).toEqual("b");
        expect(received).toEqual("ab");
    });
});
