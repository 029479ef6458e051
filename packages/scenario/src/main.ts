#!/usr/bin/env node
/**
 * The program `waxwing-scenario`: runs scenario files over real processes, each in a world of its own.
 */
import { defineCommand, runMain } from "citty";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";
import { ProcessWorld } from "./process-world.js";
import { runScenarioFile } from "./run-scenario.js";
import { readWorldFile } from "./world-file.js";

const command = defineCommand({
    meta: {
        name: "waxwing-scenario",
        version: "0.1.0",
        description: "Runs scenario files over real processes; ends with status 1 if one fails.",
    },
    args: {
        world: {
            type: "string",
            required: true,
            valueHint: "FILE",
            description: "JSON file with the layout, hosts and settings",
        },
        packages: {
            type: "string",
            valueHint: "DIRECTORY",
            description: "directory of the built packages (default: this workspace's)",
        },
        logs: {
            type: "string",
            valueHint: "DIRECTORY",
            description: "directory that keeps settings and logs, one directory for each scenario",
        },
        steps: { type: "boolean", default: false, description: "print each step as it runs" },
        files: { type: "positional", required: true, valueHint: "SCENARIO...", description: "scenario files" },
    },
    run: async ({ args }) => {
        const packages = args.packages ?? fileURLToPath(new URL("../../", import.meta.url));
        const options = readWorldFile(args.world, packages);
        if (!options.ok) {
            print(options.val.message);
            process.exit(2);
        }
        let failed = 0;
        for (const file of args._) {
            const world = new ProcessWorld({
                ...options.val,
                directory: args.logs === undefined ? undefined : join(args.logs, basename(file, ".scenario")),
            });
            failed += Number(!await runFile(file, world, args.steps));
        }
        print(`${args._.length - failed} passed, ${failed} failed`);
        process.exit(failed === 0 ? 0 : 1);
    },
});

async function runFile(file: string, world: ProcessWorld, showsSteps: boolean): Promise<boolean> {
    const startedAt = performance.now();
    const getSeconds = () => ((performance.now() - startedAt) / 1_000).toFixed(1);
    // Without this, the programs of the world would outlive the runner.
    const stop = () => void world.close().finally(() => process.exit(1));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    try {
        await world.open();
        const result = await runScenarioFile(file, world, {
            onStep: step =>
                showsSteps ? print(`${getSeconds()} s ${basename(file)}:${step.line} ${step.kind}`) : undefined,
        });
        print(result.ok ? `passed: ${file} (${getSeconds()} s)` : `FAILED: ${result.val.message}`);
        return result.ok;
    }
    finally {
        process.off("SIGTERM", stop);
        process.off("SIGINT", stop);
        await world.close();
    }
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

await runMain(command);
