#!/usr/bin/env node
/**
 * The program `waxwing-stand-in`: serves the stand-ins of one layout until SIGTERM or SIGINT.
 *
 * Once all servers listen, it prints their addresses as one line of JSON on standard output.
 */
import { defineCommand, runMain } from "citty";
import { readFileSync } from "node:fs";
import { parseLayout } from "./layout.js";
import { StandIn } from "./stand-in.js";

const command = defineCommand({
    meta: {
        name: "waxwing-stand-in",
        version: "0.1.0",
        description: "Serves stand-ins for the store, host list, workers and executors of one layout.",
    },
    args: {
        config: {
            type: "string",
            required: true,
            valueHint: "FILE",
            description: "JSON file with the layout: zones, workers, executors and ports",
        },
    },
    run: async ({ args }) => runStandIn(args.config),
});

async function runStandIn(file: string): Promise<void> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        reportStartFailure(`cannot read the layout: ${error instanceof Error ? error.message : String(error)}`);
        return;
    }
    const layout = parseLayout(text);
    if (!layout.ok) {
        reportStartFailure(`layout "${file}" is not valid:\n${layout.val}`);
        return;
    }
    const standIn = new StandIn(layout.val);
    const stop = () => {
        // Pending timers of tasks and leases would keep the process alive.
        void standIn.close().finally(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    try {
        const addresses = await standIn.open();
        process.stdout.write(`${JSON.stringify(addresses)}\n`);
    }
    catch (error) {
        reportStartFailure(`cannot start the servers: ${error instanceof Error ? error.message : String(error)}`);
    }
}

function reportStartFailure(message: string): void {
    process.stderr.write(`waxwing-stand-in: ${message}\n`);
    process.exitCode = 2;
}

await runMain(command);
