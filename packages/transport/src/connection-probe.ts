/** Finds out whether a process listens at an address, without a call to it. */
import type { NetworkAddress } from "@waxwingroute/core";
import { connect } from "node:net";

/**
 * Returns whether the connection is refused, which shows that no process listens there. A host that does not answer within
 * `timeoutMs` may be silent, so its connection does not count as refused.
 */
export function isConnectionRefused(address: NetworkAddress, timeoutMs: number): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        const finish = (isRefused: boolean) => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.setTimeout(timeoutMs, () => finish(false));
        socket.once("connect", () => finish(false));
        socket.once("error", (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"));
    });
}
