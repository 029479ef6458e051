/**
 * Section `recovery`: takeovers and the time until changes are in force, over real processes.
 */
import { runPropagation } from "./propagation.js";
import type { Goal, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";
import { aggregateSamples } from "./sample-summary.js";
import type { SampleSummary } from "./sample-summary.js";
import type { TakeoverKind, TakeoverResult } from "./takeover.js";
import { runTakeover } from "./takeover.js";

const runsPerKind = 10;
/** Zones at one time; each has five processes. */
const concurrency = 3;
const takeoverKinds: readonly TakeoverKind[] = ["killed, store up", "paused 8 s", "killed, store down 10 s"];

interface Row {
    readonly name: string;
    readonly unit: string;
    readonly summary: SampleSummary;
}

/** Runs each kind of fault and change ten times. */
export async function runRecovery(): Promise<SectionReport> {
    const rows: Row[] = [];
    const failures: string[] = [];
    const propagation = await runPropagation(runsPerKind);
    for (const [name, values] of Object.entries(propagation) as [string, readonly number[]][]) {
        rows.push({ name, unit: "ms", summary: aggregateSamples(values) });
    }
    for (const kind of takeoverKinds) {
        rows.push(...await measureTakeovers(kind, failures));
    }
    return createReport(rows, failures);
}

async function measureTakeovers(kind: TakeoverKind, failures: string[]): Promise<readonly Row[]> {
    const results: TakeoverResult[] = [];
    let next = 0;
    const loop = async () => {
        while (next++ < runsPerKind) {
            try {
                results.push(await runTakeover(kind));
            }
            catch (error) {
                failures.push(`${kind}: ${String(error)}`);
            }
        }
    };
    await Promise.all(Array.from({ length: concurrency }, loop));
    const toRow = (name: string, unit: string, read: (result: TakeoverResult) => number): Row => ({
        name: `owner ${kind}: ${name}`,
        unit,
        summary: aggregateSamples(results.map(read)),
    });
    return [
        toRow("time without placements", "ms", result => result.gapMs),
        toRow("tasks lost", "tasks", result => result.lostTasks),
        toRow("tasks in two places", "tasks", result => result.doubledTasks),
        toRow("tasks run again", "tasks", result => result.repeatedTasks),
        toRow("store calls", "calls", result => result.storeCalls),
    ];
}

function createReport(rows: readonly Row[], failures: readonly string[]): SectionReport {
    const worst = (part: string) =>
        Math.max(0, ...rows.filter(row => row.name.endsWith(part)).map(row => row.summary.maximum));
    const goals: readonly Goal[] = [
        { name: "tasks lost", value: worst("tasks lost"), unit: "tasks", bound: 1, direction: "below" },
        {
            name: "tasks in two places",
            value: worst("tasks in two places"),
            unit: "tasks",
            bound: 1,
            direction: "below",
        },
        { name: "longest change", value: worst("Changed"), unit: "ms", bound: 10_000, direction: "below" },
        { name: "runs that failed", value: failures.length, unit: "runs", bound: 1, direction: "below" },
    ];
    return {
        section: "recovery",
        lines: [
            "two entry hosts, 33 workers, host list lag 500 ms, task lease 4 s in the takeovers",
            ...formatTable([
                ["what", "unit", "runs", "minimum", "median", "maximum"],
                ...rows.map(({ name, unit, summary }) => [
                    name,
                    unit,
                    String(summary.count),
                    formatNumber(summary.minimum),
                    formatNumber(summary.median),
                    formatNumber(summary.maximum),
                ]),
            ]),
            ...failures,
        ],
        figures: rows.map(({ name, unit, summary }) => ({ name: `recovery.${name}`, value: summary.median, unit })),
        goals,
    };
}
