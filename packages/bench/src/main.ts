#!/usr/bin/env node
/**
 * The program `waxwing-bench`.
 */
import { defineCommand, runMain } from "citty";
import { readFileSync } from "node:fs";
import { runDecisionCost } from "./decision-cost.js";
import { runPacking } from "./packing.js";
import { listProcessSections, processSections } from "./process-sections.js";
import type { BenchReport, SectionReport } from "./report.js";
import { compareReports, formatSection } from "./report.js";
import { runShareError } from "./share-error.js";
import { runWaitingTime } from "./waiting-time.js";
import { runWorkflowCost } from "./workflow-cost.js";

const sections: Readonly<Record<string, (seed: number) => SectionReport>> = {
    decisions: runDecisionCost,
    waiting: runWaitingTime,
    packing: runPacking,
    shares: runShareError,
    workflow: runWorkflowCost,
};

const allNames = [...Object.keys(sections), ...Object.keys(processSections)];

const command = defineCommand({
    meta: {
        name: "waxwing-bench",
        description: "Measures the placement engine against its goals and against simple baselines.",
    },
    args: {
        seed: { type: "string", default: "1", description: "Seed of the generated workers and work" },
        output: { type: "string", default: "text", description: "text or json" },
        only: { type: "string", description: `Run one section: ${allNames.join(", ")}` },
        baseline: { type: "string", description: "JSON file of an earlier run to compare with" },
    },
    run: async ({ args }) => {
        const seed = Number(args.seed);
        const names = args.only === undefined ? [...Object.keys(sections), ...listProcessSections()] : [args.only];
        const unknown = names.find(name => !allNames.includes(name));
        if (!Number.isSafeInteger(seed)) {
            fail(`--seed "${args.seed}" is not an integer`);
        }
        if (unknown !== undefined) {
            fail(`--only "${unknown}" is not one of ${allNames.join(", ")}`);
        }
        if (args.output !== "text" && args.output !== "json") {
            fail(`--output "${args.output}" is not text or json`);
        }
        const baseline = args.baseline === undefined ? undefined : readReport(args.baseline);
        const reports: SectionReport[] = [];
        for (const name of names) {
            const report = (sections[name]?.(seed) ?? await processSections[name]?.run()) as SectionReport;
            reports.push(report);
            if (args.output === "text") {
                print(formatSection(report));
            }
        }
        const report: BenchReport = { seed, nodeVersion: process.version, sections: reports };
        if (args.output === "json") {
            print([JSON.stringify(report, undefined, 4)]);
        }
        if (baseline !== undefined) {
            // With JSON on standard output the comparison goes to standard error, so that the output stays valid.
            const lines = compareReports(report, baseline).join("\n");
            (args.output === "json" ? process.stderr : process.stdout).write(`${lines}\n`);
        }
    },
});

function readReport(file: string): BenchReport {
    try {
        const report = JSON.parse(readFileSync(file, "utf8")) as BenchReport;
        if (!Array.isArray(report.sections)) {
            fail(`--baseline "${file}" is not the JSON output of waxwing-bench`);
        }
        return report;
    }
    catch (error) {
        return fail(`--baseline "${file}" cannot be read: ${error instanceof Error ? error.message : String(error)}`);
    }
}

function print(lines: readonly string[]): void {
    process.stdout.write(`${lines.join("\n")}\n`);
}

function fail(message: string): never {
    process.stderr.write(`waxwing-bench: ${message}\n`);
    process.exit(2);
}

await runMain(command);
