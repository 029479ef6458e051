/**
 * Free TCP ports for the programs of a test, which take fixed ports from their settings.
 */
import { SystemRandom } from "@waxwingroute/core";
import type { Server } from "node:net";
import { createServer } from "node:net";

/** Range below the ports of stand-ins (20,000 up) and of outgoing connections, which could take a port before its program starts. */
const firstPort = 10_000;
const portCount = 10_000;
const maxAttempts = 1_000;

/** Finds `count` ports that are free on `address` now. All are held until all are found, so that they differ. */
export async function findFreePorts(address: string, count: number): Promise<readonly number[]> {
    const random = new SystemRandom();
    const servers = new Map<number, Server>();
    for (let attempt = 0; servers.size < count && attempt < maxAttempts; attempt++) {
        const port = firstPort + random.getInteger(portCount);
        const server = servers.has(port) ? undefined : await tryListen(address, port);
        if (server !== undefined) {
            servers.set(port, server);
        }
    }
    await Promise.all([...servers.values()].map(server => new Promise(resolve => server.close(resolve))));
    if (servers.size < count) {
        throw new Error(`found ${servers.size} of ${count} free ports on ${address} in ${maxAttempts} attempts`);
    }
    return [...servers.keys()];
}

function tryListen(address: string, port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, address, () => resolve(server));
    });
}
