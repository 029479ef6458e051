/** Starts the program of a host as a process of its own, with a store that answers and knows nothing. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as createRequest } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(new URL("../main.js", import.meta.url));

/** Settings of a `RealHost`. */
export interface RealHostOptions {
    /** Settings beside those that every host needs. Default: none. */
    readonly settings?: Readonly<Record<string, unknown>>;
    /** Limit of the operating system on the descriptors of the process. Default: that of the test. */
    readonly maxDescriptors?: number;
    /** Options of Node.js. Default: none. */
    readonly nodeOptions?: readonly string[];
}

/** A reply with its status, or 0 if the connection ended without one. */
export interface HostReply {
    readonly status: number;
    readonly text: string;
    readonly retryAfter?: string;
}

/** A running host. All of its ports are at a random address of the loopback network. */
export class RealHost {
    readonly sockets: Socket[] = [];
    storeCalls = 0;
    private log = "";

    private constructor(
        readonly ip: string,
        private readonly child: ChildProcess,
        private readonly store: Server,
        private readonly directory: string,
    ) {
        store.on("request", () => {
            this.storeCalls += 1;
        });
        child.stdout?.on("data", (chunk: Buffer) => {
            this.log = (this.log + chunk.toString()).slice(-50_000);
        });
    }

    static async start(options: RealHostOptions = {}): Promise<RealHost> {
        const pick = () => 2 + Math.floor(Math.random() * 250);
        const ip = `127.${pick()}.${pick()}.${pick()}`;
        const store = createServer((request, response) => {
            request.resume();
            response.writeHead(503).end("{}");
        });
        await new Promise<void>(resolve => {
            store.listen(0, ip, resolve);
        });
        const directory = mkdtempSync(join(tmpdir(), "waxwing-host-"));
        const settingsFile = join(directory, "settings.json");
        writeFileSync(
            settingsFile,
            JSON.stringify({
                host: "host-1",
                zone: "zone-1",
                ip,
                peerPort: 7_420,
                callerAddress: `${ip}:8183`,
                readinessAddress: `${ip}:8184`,
                storeAddress: `${ip}:${(store.address() as AddressInfo).port}`,
                maxLeaseMs: 6_000,
                stopMs: 900,
                retentionSeconds: 120,
                graceSeconds: 6,
                ...options.settings,
            }),
        );
        const words = [process.execPath, ...options.nodeOptions ?? [], program];
        const command = options.maxDescriptors === undefined
            ? words
            : ["/bin/sh", "-c", `ulimit -n ${options.maxDescriptors} && exec "$@"`, "sh", ...words];
        const child = spawn(command[0]!, command.slice(1), {
            env: { PATH: process.env.PATH, WAXWINGROUTE_NODE_FILE: settingsFile },
            stdio: ["ignore", "pipe", "inherit"],
        });
        const host = new RealHost(ip, child, store, directory);
        await host.waitFor("the host answers", async () => (await host.readReadiness()).status !== 0);
        return host;
    }

    get hasEnded(): boolean {
        return this.child.exitCode !== null || this.child.signalCode !== null;
    }

    /** Opens a connection to the callers' port and sends `text`. */
    open(text = ""): Socket {
        const socket = connect(8_183, this.ip);
        socket.on("error", () => {});
        // Without a reader, the end of the connection would not be seen.
        socket.resume();
        if (text !== "") {
            socket.write(text);
        }
        this.sockets.push(socket);
        return socket;
    }

    /** Number of the connections of `open` that are open on both sides. */
    countOpen(): number {
        return this.sockets.filter(socket => socket.readyState === "open").length;
    }

    /** Number of descriptors of the process. */
    countDescriptors(): number {
        return readdirSync(`/proc/${this.child.pid}/fd`).length;
    }

    /** Highest resident memory of the process so far, bytes. */
    readPeakMemory(): number {
        const status = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
        return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) * 1_024;
    }

    /** Returns the number of log lines with a message. */
    countLogLines(message: string): number {
        return this.log.split("\n").filter(line => line.includes(`"message":"${message}"`)).length;
    }

    readReadiness(): Promise<HostReply> {
        return sendRequest(this.ip, 8_184, "GET", "/");
    }

    /** Sends a call to the callers' port over a new connection. */
    call(method: string, path: string, body?: string): Promise<HostReply> {
        return sendRequest(this.ip, 8_183, method, path, body);
    }

    /** Returns the value of a gauge or counter. */
    async readMetric(name: string): Promise<number> {
        const { text } = await sendRequest(this.ip, 9_464, "GET", "/");
        const line = text.split("\n").find(candidate => candidate.startsWith(`waxwing_${name}`));
        return Number(line?.split(" ").at(-1) ?? Number.NaN);
    }

    async waitFor(what: string, condition: () => boolean | Promise<boolean>, timeoutMs = 10_000): Promise<void> {
        const endsAt = performance.now() + timeoutMs;
        while (!await condition()) {
            if (performance.now() > endsAt || this.hasEnded) {
                throw new Error(`${this.hasEnded ? "the host has ended" : "timed out"}: ${what}`);
            }
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }

    async close(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        if (!this.hasEnded) {
            const ended = new Promise(resolve => this.child.once("exit", resolve));
            this.child.kill("SIGKILL");
            await ended;
        }
        this.store.close();
        this.store.closeAllConnections();
        rmSync(this.directory, { recursive: true, force: true });
    }
}

/** Sends one request over a connection of its own and returns the reply. */
function sendRequest(ip: string, port: number, method: string, path: string, body?: string): Promise<HostReply> {
    return new Promise(resolve => {
        const request = createRequest({ host: ip, port, method, path, agent: false, timeout: 3_000 }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("close", () =>
                resolve({
                    status: response.complete ? response.statusCode ?? 0 : 0,
                    text: Buffer.concat(chunks).toString(),
                    retryAfter: response.headers["retry-after"],
                }));
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve({ status: 0, text: "" }));
        request.end(body);
    });
}
