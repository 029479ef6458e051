import type { NetworkAddress } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { isConnectionRefused } from "./connection-probe.js";

describe("isConnectionRefused", () => {
    it("tells a process that is gone from one that does not answer", async () => {
        // Guards against an owner that counts as stopped while it is only paused.
        const server = createServer(() => undefined);
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        const address = toId<NetworkAddress>(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        expect(await isConnectionRefused(address, 500)).toEqual(false);
        await new Promise(resolve => {
            server.close(resolve);
        });
        expect(await isConnectionRefused(address, 500)).toEqual(true);
    });
});
