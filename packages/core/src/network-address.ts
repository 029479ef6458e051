/**
 * Addresses of processes. Addresses in stored entries, settings and messages of other hosts are text that somebody else
 * wrote; a `NetworkAddress` is one that a connection can be opened to without an error of the socket library.
 */
import { isIPv4 } from "node:net";
import type { Id } from "./ids.js";

/** `<IPv4 number>:<port>`, with a port from 1 to 65,535. */
export type NetworkAddress = Id<"networkAddress">;

const maxPort = 65_535;

/** Returns whether the text is a `NetworkAddress`. Leading zeros, host names and signs are not allowed. */
export function isNetworkAddress(text: unknown): text is NetworkAddress {
    if (typeof text !== "string") {
        return false;
    }
    const separator = text.lastIndexOf(":");
    const port = text.slice(separator + 1);
    return isIPv4(text.slice(0, Math.max(0, separator))) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= maxPort;
}
