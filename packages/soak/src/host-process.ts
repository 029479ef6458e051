/** The process of one host: started from a bundle with a settings file, paused, told to stop, killed, started again. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { encodeHostSettings, peerPort, readinessPath } from "./protocol.js";
import { redirectsVariable } from "./redirect-connections.js";
import { sendRequest } from "./request.js";
import type { RunRecord } from "./run-record.js";

/** The program and surroundings of a host. */
export interface HostProcessOptions {
    readonly name: string;
    readonly zone: string;
    readonly ip: string;
    readonly program: string;
    readonly storeAddress: string;
    readonly adviceAddress: string;
    readonly seeds: readonly string[];
    /** Temporary folder of the run. */
    readonly directory: string;
    /** Folder of the logs; without it, logs are dropped. */
    readonly logDirectory: string | undefined;
    readonly redirects: Readonly<Record<string, string>>;
    readonly record: RunRecord;
    /** Called when the process listens at its peer port, and when it has ended. */
    readonly onListening: (isListening: boolean) => void;
}

const memoryMb = 350;
/** Time from SIGTERM to SIGKILL, s. */
export const graceSeconds = 6;
/** Port of the metrics, which all hosts use at their own ip. */
const metricsPort = 9_464;
const templateFile = fileURLToPath(new URL("../../../platform/settings.template", import.meta.url));
const redirectModule = new URL("./redirect-connections.js", import.meta.url).href;

/** Returns an address of the loopback block at which the ports of a host are free. */
export async function findHostIp(): Promise<string> {
    for (;;) {
        const pick = () => 1 + Math.floor(Math.random() * 254);
        const ip = `127.${pick()}.${pick()}.${pick()}`;
        if (await isPortFree(ip, metricsPort) && await isPortFree(ip, peerPort)) {
            return ip;
        }
    }
}

function isPortFree(ip: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

/** One host over all of its processes. */
export class HostProcess {
    readonly name: string;
    readonly zone: string;
    readonly ip: string;
    readonly callerAddress: string;
    private readonly readinessAddress: string;
    private readonly settingsFile: string;
    private child: ChildProcess | undefined;
    private isWanted = false;
    private turn: Promise<void> = Promise.resolve();

    constructor(private readonly options: HostProcessOptions) {
        const { name, zone, ip, storeAddress, adviceAddress, seeds, directory } = options;
        this.name = name;
        this.zone = zone;
        this.ip = ip;
        this.callerAddress = `${ip}:8183`;
        this.readinessAddress = `${ip}:8184`;
        this.settingsFile = join(directory, `${name}.json`);
        writeFileSync(
            this.settingsFile,
            encodeHostSettings(readFileSync(templateFile, "utf8"), {
                name,
                zone,
                ip,
                callerAddress: this.callerAddress,
                readinessAddress: this.readinessAddress,
                seeds,
                storeAddress,
                adviceAddress,
                memoryMb,
                graceSeconds,
            }),
        );
    }

    get isRunning(): boolean {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    start(): void {
        const { name, program, redirects, record, logDirectory } = this.options;
        this.isWanted = true;
        record.write("host-start", { host: name });
        const child = spawn(
            process.execPath,
            [`--max-old-space-size=${memoryMb}`, "--import", redirectModule, program],
            {
                env: {
                    PATH: process.env.PATH,
                    HOME: process.env.HOME,
                    LANG: "C.UTF-8",
                    WAXWINGROUTE_NODE_FILE: this.settingsFile,
                    [redirectsVariable]: JSON.stringify(redirects),
                },
                stdio: ["ignore", "pipe", "pipe"],
            },
        );
        this.child = child;
        const keep = (chunk: Buffer) => {
            if (logDirectory !== undefined) {
                appendFileSync(join(logDirectory, `${name}.log`), chunk);
            }
        };
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.on("exit", (code, signal) => {
            this.options.onListening(false);
            record.write("host-exit", { host: name, code, signal, byItself: this.isWanted });
            if (this.isWanted) {
                record.faults.push({ host: name, at: record.now, description: `${name} ended: ${code ?? signal}` });
                setTimeout(() => this.start(), 500);
            }
        });
        void this.announceListening(child);
    }

    sendSignal(signal: NodeJS.Signals): void {
        if (this.isRunning) {
            this.options.record.write("host-signal", { host: this.name, signal });
            this.child!.kill(signal);
        }
    }

    /** Ends the process with SIGKILL and waits until it is gone. */
    async kill(): Promise<void> {
        this.isWanted = false;
        const gone = this.waitForExit();
        this.sendSignal("SIGKILL");
        await gone;
    }

    /** Ends the process with SIGTERM, and with SIGKILL after the grace time. */
    async stop(): Promise<void> {
        this.isWanted = false;
        const gone = this.waitForExit();
        this.options.record.plannedStops.push({ host: this.name, at: this.options.record.now });
        this.sendSignal("SIGTERM");
        const timer = setTimeout(() => this.sendSignal("SIGKILL"), graceSeconds * 1_000);
        await gone;
        clearTimeout(timer);
    }

    /** Runs an action after the earlier ones, so that only one of them ends and starts the process at a time. */
    takeTurn(action: () => Promise<void>): Promise<void> {
        this.turn = this.turn.then(action);
        return this.turn;
    }

    async isReady(): Promise<boolean> {
        return (await sendRequest({
            address: this.readinessAddress,
            method: "GET",
            path: readinessPath,
            timeoutMs: 500,
        }))
            .status === 200;
    }

    private waitForExit(): Promise<void> {
        const { child } = this;
        return !this.isRunning ? Promise.resolve() : new Promise(resolve => child!.once("exit", () => resolve()));
    }

    private async announceListening(child: ChildProcess): Promise<void> {
        while (child === this.child && this.isRunning) {
            if (!await isPortFree(this.ip, peerPort)) {
                this.options.onListening(true);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 40));
        }
    }
}
