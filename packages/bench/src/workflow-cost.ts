/**
 * What callers of a large order service get from the workflow scheduler on calm and heavy days, and what its decisions
 * cost, at fleets of up to the size of the target.
 */
import type { Figure, Goal, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";
import type { Burst, WorkflowLoadOptions } from "./workflow-load.js";
import { orderServiceKinds, WorkflowLoad } from "./workflow-load.js";

/** Executors and hosts of the fleets; the rates of the jobs grow with the executors. */
const fleets = [
    { executors: 378, hosts: 97, durationMs: 34_000 },
    { executors: 2_000, hosts: 500, durationMs: 8_000 },
] as const;
/** Executors for which the rates of `orderServiceKinds` are meant. */
const referenceExecutors = 378;
const placementsPerCoreGoal = 20_000;

/** Bursts of the loads by name, for a fleet of the reference size. */
const loads: Readonly<Record<string, readonly Burst[]>> = {
    calm: [],
    surge: orderServiceKinds.map(({ name }) => ({ kind: name, fromMs: 4_000, toMs: 16_000, factor: 1.8 })),
};

/** Returns the load of a large order service on a fleet. */
export function createOrderServiceLoad(
    fleet: { readonly executors: number; readonly hosts: number; readonly durationMs: number; },
    bursts: readonly Burst[],
    seed: number,
): WorkflowLoadOptions {
    const factor = fleet.executors / referenceExecutors;
    const kinds = orderServiceKinds.map(kind => ({ ...kind, jobsPerSecond: kind.jobsPerSecond * factor }));
    return { ...fleet, kinds, bursts, seed };
}

/** Runs the section. */
export function runWorkflowCost(seed: number): SectionReport {
    const rows = [["executors", "load", "starts", "worth", "in time", "ms a start", "longest tick ms"]];
    const figures: Figure[] = [];
    const goals: Goal[] = [];
    for (const fleet of fleets) {
        for (const [load, bursts] of Object.entries(loads)) {
            const result = new WorkflowLoad(createOrderServiceLoad(fleet, bursts, seed)).run();
            const jobs = result.kinds.reduce((total, kind) => total + kind.jobs, 0);
            const inTime = result.kinds.reduce((total, kind) => total + kind.inTime, 0) / jobs;
            const msPerStart = result.decisionMs / result.starts;
            const prefix = `workflow.${fleet.executors}.${load}`;
            rows.push([
                String(fleet.executors),
                load,
                String(result.starts),
                formatNumber(result.worthShare),
                formatNumber(inTime),
                formatNumber(msPerStart),
                formatNumber(result.longestTickMs),
            ]);
            figures.push(
                { name: `${prefix}.worth`, value: result.worthShare, unit: "share" },
                { name: `${prefix}.inTime`, value: inTime, unit: "share" },
                { name: `${prefix}.longestTick`, value: result.longestTickMs, unit: "ms" },
            );
            goals.push({
                name: `placements a second of one core at ${fleet.executors} executors, ${load}`,
                value: 1_000 / msPerStart,
                unit: "1/s",
                bound: placementsPerCoreGoal,
                direction: "atLeast",
            });
        }
    }
    return { section: "workflow", lines: formatTable(rows), figures, goals };
}
