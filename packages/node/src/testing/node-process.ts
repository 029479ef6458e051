/**
 * Runs the bundled program of a host as a process on a random loopback address, for tests of signals, ports and settings.
 */
import { execFileSync, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import type { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../..", import.meta.url));
const peerPort = 7_420;

/** Longest time for an event that a test waits for, ms: a start takes 0.4 s on a machine with free cores. */
const waitTimeoutMs = 20_000;

/** One line of the program's log. */
export interface LogLine {
    readonly message: string;
    readonly context: Readonly<Record<string, unknown>>;
}

/** How a process ended. */
export interface ProcessEnd {
    readonly code: number | null;
    readonly signal: string | null;
}

/** A reply to a request; status 0 means that there was none. */
export interface ProbeReply {
    readonly status: number;
    readonly body: string;
}

/** A bundle of the program and the files of a test. */
export class NodeBundle {
    readonly directory = mkdtempSync(join(tmpdir(), "waxwing-node-test-"));
    private readonly processes: NodeProcess[] = [];

    /** Builds the bundle into a directory of its own, because other tests may build it at the same time. */
    constructor() {
        execFileSync(process.execPath, ["scripts/bundle.js", this.directory], { cwd: root });
    }

    /** Prepares a host on an address of its own, or on that of `predecessor`; its process starts with `start`. */
    addHost(predecessor?: NodeProcess): NodeProcess {
        const host = new NodeProcess(this.directory, this.processes.length, predecessor?.ip);
        this.processes.push(host);
        return host;
    }

    /** Ends all processes and removes the files. */
    async close(): Promise<void> {
        await Promise.all(this.processes.map(host => host.kill()));
        rmSync(this.directory, { recursive: true, force: true });
    }
}

/** The process of a host. */
export class NodeProcess {
    readonly settingsFile: string;
    readonly settings: Readonly<Record<string, unknown>>;
    private child: ChildProcess | undefined;
    private output = "";
    private end: ProcessEnd | undefined;

    constructor(
        private readonly directory: string,
        number: number,
        readonly ip = `127.${pickNumber()}.${pickNumber()}.${pickNumber()}`,
    ) {
        this.settingsFile = join(directory, `settings-${number}.json`);
        this.settings = {
            host: `host-${number}`,
            zone: "north",
            ip: this.ip,
            peerPort,
            callerAddress: this.getAddress("callers"),
            readinessAddress: this.getAddress("readiness"),
            // Nothing listens on the port of the store: each call is refused at once.
            storeAddress: `${this.ip}:9`,
            maxLeaseMs: 6_000,
            stopMs: 900,
            retentionSeconds: 120,
            graceSeconds: 6,
        };
    }

    /** Everything that the process has written to standard output and standard error. */
    get text(): string {
        return this.output;
    }

    /** Returns the address of a server of the host. */
    getAddress(server: "callers" | "readiness" | "peers" | "metrics"): string {
        const ports = { callers: 8_183, readiness: 8_184, peers: peerPort, metrics: 9_464 };
        return `${this.ip}:${ports[server]}`;
    }

    /** Replaces the settings file by one with these fields changed. */
    writeSettings(changes: Readonly<Record<string, unknown>> = {}): void {
        this.replaceSettingsFile(JSON.stringify({ ...this.settings, ...changes }));
    }

    /** Replaces the settings file by one with this text, in one step. */
    replaceSettingsFile(text: string): void {
        const file = join(this.directory, "next-settings");
        writeFileSync(file, text);
        renameSync(file, this.settingsFile);
    }

    start(): void {
        this.end = undefined;
        const child = spawn(process.execPath, [join(this.directory, "waxwing-node.cjs")], {
            env: { PATH: process.env.PATH, WAXWINGROUTE_NODE_FILE: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        child.stdout.on("data", chunk => this.output += String(chunk));
        child.stderr.on("data", chunk => this.output += String(chunk));
        child.on("exit", (code, signal) => this.end = { code, signal });
    }

    /**
     * Starts the process with a pipe as its settings file and calls `act` while the process waits for the settings, that
     * is after it was loaded and before it has started anything. The next read finds a regular file.
     */
    async startWithHeldSettings(act: () => void): Promise<void> {
        const pipe = join(this.directory, "held-settings");
        execFileSync("mkfifo", [pipe]);
        renameSync(pipe, this.settingsFile);
        this.start();
        let descriptor: number | undefined;
        await this.waitUntil("the settings are being read", () => {
            try {
                // Fails until the process has opened the pipe for reading.
                descriptor ??= openSync(this.settingsFile, constants.O_WRONLY | constants.O_NONBLOCK);
            }
            catch {
                // Tried again.
            }
            return descriptor !== undefined;
        });
        this.writeSettings();
        act();
        writeFileSync(descriptor as number, JSON.stringify(this.settings));
        closeSync(descriptor as number);
    }

    send(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    async kill(): Promise<void> {
        if (this.child !== undefined && this.end === undefined) {
            this.send("SIGKILL");
            await this.waitForEnd();
        }
    }

    /** Returns how the process ended, or `undefined` while it runs. */
    getEnd(): ProcessEnd | undefined {
        return this.end;
    }

    async waitForEnd(): Promise<ProcessEnd> {
        await this.waitUntil("the process ends", () => this.end !== undefined, true);
        return this.end as ProcessEnd;
    }

    /** Lists the lines of the log with a message. */
    listLines(message: string): LogLine[] {
        return this.output.split("\n")
            .filter(line => line.startsWith("{"))
            .flatMap(line => {
                try {
                    return [JSON.parse(line) as LogLine];
                }
                catch {
                    return [];
                }
            })
            .filter(line => line.message === message);
    }

    /** Waits for the first line of the log with a message, and with a condition on its fields if one is given. */
    async waitForLine(message: string, accepts: (line: LogLine) => boolean = () => true): Promise<LogLine> {
        await this.waitUntil(`log line "${message}"`, () => this.listLines(message).some(accepts));
        return this.listLines(message).find(accepts) as LogLine;
    }

    /** Asks the readiness server. */
    probe(agent?: Agent): Promise<ProbeReply> {
        return this.request("readiness", agent);
    }

    /** Sends a request without a key to one of the servers. */
    request(server: "callers" | "readiness" | "metrics", agent?: Agent): Promise<ProbeReply> {
        const [host, port] = this.getAddress(server).split(":");
        return new Promise(resolve => {
            const sent = request({ host, port, agent: agent ?? false, path: "/", timeout: waitTimeoutMs }, response => {
                let body = "";
                response.on("data", chunk => body += String(chunk));
                response.on("end", () => resolve({ status: response.statusCode ?? 0, body }));
                response.on("error", () => resolve({ status: 0, body }));
            });
            sent.on("timeout", () => sent.destroy());
            sent.on("error", () => resolve({ status: 0, body: "" }));
            sent.end();
        });
    }

    /** Waits for a condition; fails if the process ends before, unless `canEnd`. */
    async waitUntil(what: string, holds: () => boolean | Promise<boolean>, canEnd = false): Promise<void> {
        const endsAt = performance.now() + waitTimeoutMs;
        while (!await holds()) {
            if (!canEnd && this.end !== undefined) {
                const { code, signal } = this.end;
                throw new Error(`the process ended with ${signal ?? code} before: ${what}; output:\n${this.output}`);
            }
            if (performance.now() > endsAt) {
                throw new Error(`timed out: ${what}; output:\n${this.output}`);
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }
}

function pickNumber(): number {
    return 1 + Math.floor(Math.random() * 254);
}
