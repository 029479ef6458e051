/**
 * Waiting time by class of work at three loads, with a surge of one team, against two baselines.
 */
import { SeededRandom } from "@waxwingroute/core";
import { build } from "hdr-histogram-js";
import { createFleet, sumCapacity } from "./fleet.js";
import { EnginePlacer, FirstFitPlacer, RandomPlacer } from "./placers.js";
import type { Placer } from "./placers.js";
import type { Figure, Goal, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";
import type { Arrival } from "./virtual-drive.js";
import { VirtualDrive } from "./virtual-drive.js";
import { classifyWork, driveMs, generateArrivals, teams, workClasses } from "./waiting-workload.js";

const loads = [0.7, 0.95, 1.5] as const;
const fleetSizes = [33, 300] as const;
/** Urgent work starts within 5.7 s at the target size. */
const urgentBoundSeconds = 5.7;

/** Runs the section. */
export function runWaitingTime(seed: number): SectionReport {
    const rows = [[
        "workers",
        "load",
        "placer",
        "class",
        "tasks",
        "p50 s",
        "p99 s",
        "max s",
        "unstarted %",
        "preempted",
    ]];
    const figures: Figure[] = [];
    const goals: Goal[] = [];
    for (const fleetSize of fleetSizes) {
        const fleet = createFleet(fleetSize, false);
        for (const load of loads) {
            const arrivals = generateArrivals(new SeededRandom(seed), sumCapacity(fleet), load);
            const offered = computeOfferedLoad(arrivals, sumCapacity(fleet).cpuMillis);
            figures.push({
                name: `waiting.${fleetSize}.${Math.round(load * 100)}.offered`,
                value: offered,
                unit: "share",
            });
            const placers: Placer[] = [
                new EnginePlacer(fleet, teams, "waiting"),
                new EnginePlacer(fleet, teams, "fairness"),
                new FirstFitPlacer(fleet),
                new RandomPlacer(fleet, new SeededRandom(seed)),
            ];
            for (const placer of placers) {
                const drive = new VirtualDrive(placer);
                drive.run(arrivals, driveMs);
                drive.recordUnstarted();
                const use = drive.usedCpuMs / (driveMs * sumCapacity(fleet).cpuMillis);
                const prefix = `waiting.${fleetSize}.${Math.round(load * 100)}.${placer.name}`;
                figures.push({ name: `${prefix}.cpuUse`, value: use, unit: "share" });
                for (const workClass of workClasses) {
                    const { cells, p50, p99 } = computeSummary(drive, workClass);
                    const totals = workClass === "batch"
                        ? [String(drive.preemptionCount), formatNumber(use * 100)]
                        : [];
                    rows.push([
                        String(fleetSize),
                        `${Math.round(load * 100)}%`,
                        placer.name,
                        workClass,
                        ...cells,
                        ...totals,
                    ]);
                    figures.push(
                        { name: `${prefix}.${workClass}.p50`, value: p50, unit: "s" },
                        { name: `${prefix}.${workClass}.p99`, value: p99, unit: "s" },
                    );
                    if (workClass === "urgent" && placer instanceof EnginePlacer) {
                        goals.push({
                            name: `urgent p99 at ${fleetSize} workers, ${Math.round(load * 100)}% load, ${placer.name}`,
                            value: p99,
                            unit: "s",
                            bound: urgentBoundSeconds,
                            direction: "below",
                        });
                    }
                }
            }
        }
    }
    const lines = [
        "tasks that never started count with their wait until the end of the drive, a lower bound",
        ...formatTable(rows),
    ];
    return { section: "waiting", lines, figures, goals };
}

/** Returns the work that arrives, including the surge, in parts of what the processors can do in the time of the drive. */
function computeOfferedLoad(arrivals: readonly Arrival[], cpuMillis: number): number {
    const work = arrivals.reduce(
        (sum, { submission, runMs }) => sum + submission.resources.cpuMillis * submission.taskCount * runMs,
        0,
    );
    return work / (driveMs * cpuMillis);
}

interface WaitSummary {
    readonly cells: readonly string[];
    readonly p50: number;
    readonly p99: number;
}

function computeSummary(drive: VirtualDrive, workClass: string): WaitSummary {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000 });
    let count = 0;
    let unstartedCount = 0;
    for (const first of drive.firstStarts) {
        if (classifyWork(first.arrival.submission) === workClass) {
            count++;
            unstartedCount += first.hasStarted ? 0 : 1;
            histogram.recordValue(Math.max(0, Math.round(first.waitMs)));
        }
    }
    const p50 = histogram.getValueAtPercentile(50) / 1000;
    const p99 = histogram.getValueAtPercentile(99) / 1000;
    const unstarted = 100 * unstartedCount / Math.max(1, count);
    return {
        cells: [String(count), ...[p50, p99, histogram.maxValue / 1000, unstarted].map(formatNumber)],
        p50,
        p99,
    };
}
