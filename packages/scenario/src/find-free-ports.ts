/**
 * Free TCP ports for the programs of a test, which take fixed ports from their settings.
 */
import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";

/** Finds `count` ports that are free on `address` now. All are held until all are found, so that they differ. */
export async function findFreePorts(address: string, count: number): Promise<readonly number[]> {
    const servers: Server[] = [];
    for (let index = 0; index < count; index++) {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, address, resolve);
        });
        servers.push(server);
    }
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
