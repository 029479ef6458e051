import { expect } from "earl";
import { execFileSync, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { after, afterEach, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const packagesDirectory = join(dirname(fileURLToPath(import.meta.url)), "../..");
const programs = ["scheduler", "entry", "operator"] as const;
/** Longest time for an event that a test waits for, ms. */
const waitTimeoutMs = 20_000;

/** A program whose settings file is a pipe, so that it can be held before it has started anything. */
class HeldProgram {
    output = "";
    end: { readonly code: number | null; readonly signal: string | null; } | undefined;
    private readonly child: ChildProcess;

    constructor(program: typeof programs[number], private readonly file: string) {
        execFileSync("mkfifo", [file]);
        const main = join(packagesDirectory, program, "dist/main.js");
        this.child = spawn(process.execPath, [main, "--settings", file, "--host", "north-1"], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout?.on("data", chunk => this.output += String(chunk));
        this.child.stderr?.on("data", chunk => this.output += String(chunk));
        this.child.on("exit", (code, signal) => this.end = { code, signal });
    }

    send(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Waits until the program reads its settings. */
    async awaitRead(): Promise<number> {
        let descriptor: number | undefined;
        await this.awaitCondition("the settings are being read", () => {
            try {
                // Fails until the program has opened the pipe for reading.
                descriptor ??= openSync(this.file, constants.O_WRONLY | constants.O_NONBLOCK);
            }
            catch {
                // Tried again.
            }
            return descriptor !== undefined;
        });
        return descriptor as number;
    }

    async awaitCondition(what: string, holds: () => boolean): Promise<void> {
        const endsAt = performance.now() + waitTimeoutMs;
        while (!holds()) {
            if (performance.now() > endsAt) {
                throw new Error(`timed out: ${what}; end ${JSON.stringify(this.end)}; output:\n${this.output}`);
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }
}

/** Settings of one host on a random loopback address. Nothing listens on the port of the store. */
function createSettings(): string {
    const pick = () => 1 + Math.floor(Math.random() * 254);
    const address = `127.${pick()}.${pick()}.${pick()}`;
    const names = ["scheduler", "entry", "operator", "schedulerHealth", "entryHealth", "operatorHealth"];
    const ports = Object.fromEntries(names.map((name, index) => [name, 7_400 + index]));
    return JSON.stringify({
        cluster: "test",
        store: { url: `http://${address}:9` },
        hostList: { url: `http://${address}:9`, pollMs: 500 },
        regions: [{
            name: "region",
            zones: [{ name: "north", shards: 1, hosts: [{ name: "north-1", address, ports }] }],
        }],
    });
}

describe("signals in the first part of a program's start", () => {
    const directory = mkdtempSync(join(tmpdir(), "waxwing-start-signals-"));
    let running: HeldProgram | undefined;

    afterEach(async () => {
        const program = running;
        if (program !== undefined && program.end === undefined) {
            program.send("SIGKILL");
            await program.awaitCondition("the program ends", () => program.end !== undefined);
        }
    });
    after(() => rmSync(directory, { recursive: true, force: true }));

    /** Sends signals while the program reads its settings, and then lets it start. */
    const startWithSignals = async (name: typeof programs[number], signals: readonly NodeJS.Signals[]) => {
        const program = new HeldProgram(name, join(directory, `${name}-${signals.join("-")}`));
        running = program;
        const descriptor = await program.awaitRead();
        signals.forEach(signal => program.send(signal));
        writeFileSync(descriptor, createSettings());
        closeSync(descriptor);
        return program;
    };

    for (const name of programs) {
        // Guards against a stop that counts as a crash.
        it(`SIGTERM ends waxwing-${name} in order and with status 0`, async () => {
            const program = await startWithSignals(name, ["SIGTERM"]);
            await program.awaitCondition("the program ends", () => program.end !== undefined);
            expect(program.end).toEqual({ code: 0, signal: null });
            expect(program.output.includes("shutdown done")).toEqual(true);
        });

        // Guards against a change of the settings that ends a program.
        it(`SIGHUP does not end waxwing-${name}`, async () => {
            const program = await startWithSignals(name, ["SIGHUP"]);
            await program.awaitCondition("the signal is logged", () => program.output.includes("signal ignored"));
            program.send("SIGHUP");
            program.send("SIGTERM");
            await program.awaitCondition("the program ends", () => program.end !== undefined);
            expect(program.end).toEqual({ code: 0, signal: null });
        });
    }
});
