/**
 * The stand-in process of a world: started from its compiled main file, driven through its control server.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err } from "@waxwingroute/core";
import type { ControlCommand, LayoutInput, RecordsReport, StandInAddresses } from "@waxwingroute/stand-ins";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { address } from "./cluster-plan.js";
import type { ClientPool } from "./http-exchange.js";
import { sendJson } from "./http-exchange.js";

/** Options of `StandInProcess`. */
export interface StandInProcessOptions {
    /** Path of the compiled main file of `waxwing-stand-in`. */
    readonly main: string;
    readonly layout: LayoutInput;
    /** Directory for its layout file. */
    readonly directory: string;
    readonly clients: ClientPool;
}

/** A running `waxwing-stand-in`. */
export class StandInProcess {
    private child: ChildProcess | undefined;
    private found: StandInAddresses | undefined;

    constructor(private readonly options: StandInProcessOptions) {}

    /** Addresses of its servers; valid after `start`. */
    get addresses(): StandInAddresses {
        if (this.found === undefined) {
            throw new Error("the stand-in process has not started: call open() of the world first");
        }
        return this.found;
    }

    /** Starts it and waits until its servers listen. */
    async start(): Promise<void> {
        const file = join(this.options.directory, "layout.json");
        // A server that is down gives up its port; on an address of this test process no other process can take it.
        writeFileSync(file, JSON.stringify({ ...this.options.layout, host: address }));
        const child = spawn(process.execPath, [this.options.main, "--config", file], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.child = child;
        const lines = createInterface({ input: child.stdout });
        const [line] = await Promise.race([
            once(lines, "line") as Promise<[string]>,
            once(child, "exit").then(([code]) => {
                throw new Error(`the stand-in process ended with status ${String(code)} before it was ready`);
            }),
        ]);
        this.found = JSON.parse(line) as StandInAddresses;
    }

    async stop(): Promise<void> {
        const { child } = this;
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return;
        }
        const ended = once(child, "exit");
        child.kill("SIGTERM");
        await ended;
    }

    async applyControl(command: ControlCommand): Promise<Result<void, Failure>> {
        const client = this.options.clients.get(this.addresses.control);
        const path = "/control";
        const result = await sendJson(client, { operation: "control", method: "POST", path, content: command });
        return result.map(() => undefined);
    }

    async readRecords(): Promise<Result<RecordsReport, Failure>> {
        const client = this.options.clients.get(this.addresses.control);
        const result = await sendJson(client, { operation: "records", method: "GET", path: "/records" });
        if (result.ok && result.val === undefined) {
            return Err(createFailure("records-invalid", "the records of the stand-in are not JSON", "ran"));
        }
        return result.map(report => report as RecordsReport);
    }
}
