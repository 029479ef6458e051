/** Finds the process that sent a connection, so that a stand-in can be cut off from single hosts. Linux only. */
import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const senders = new WeakMap();

/** Returns whether `pid` opened the connection that the server has accepted as `socket`. */
export function isSentBy(socket, pid) {
    if (pid === undefined) {
        return false;
    }
    if (!senders.has(socket)) {
        senders.set(socket, findInode(socket));
    }
    const inode = senders.get(socket);
    if (inode === undefined) {
        return false;
    }
    const known = socket.senderPid;
    if (known !== undefined) {
        return known === pid;
    }
    const isSender = listSocketInodes(pid).has(inode);
    if (isSender) {
        socket.senderPid = pid;
    }
    return isSender;
}

function findInode(socket) {
    const bytes = socket.remoteAddress.replace("::ffff:", "").split(".").reverse();
    const address = bytes.map(byte => Number(byte).toString(16).padStart(2, "0")).join("").toUpperCase();
    const port = socket.remotePort.toString(16).padStart(4, "0").toUpperCase();
    for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1)) {
        const columns = line.trim().split(/\s+/);
        if (columns[1] === `${address}:${port}`) {
            return columns[9];
        }
    }
    return undefined;
}

function listSocketInodes(pid) {
    const inodes = new Set();
    try {
        for (const entry of readdirSync(`/proc/${pid}/fd`)) {
            try {
                const match = /^socket:\[(\d+)\]$/.exec(readlinkSync(`/proc/${pid}/fd/${entry}`));
                if (match !== null) {
                    inodes.add(match[1]);
                }
            }
            catch {
                // The descriptor was closed meanwhile.
            }
        }
    }
    catch {
        // The process has ended.
    }
    return inodes;
}
