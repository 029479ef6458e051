/**
 * Packing: the parts of all processors, memory and accelerators in use when the first task does not fit.
 *
 * The upper bound is what would be in use if workers were one large host: the sequence of tasks is the same.
 */
import type { JobId, ResourceVector, TeamId } from "@waxwingroute/core";
import { addResources, fitsWithin, resourceNames, SeededRandom, toId, zeroResources } from "@waxwingroute/core";
import type { FleetWorker } from "./fleet.js";
import { createFleet, pickSize, sumCapacity } from "./fleet.js";
import type { Placer } from "./placers.js";
import { EnginePlacer, FirstFitPlacer, RandomPlacer } from "./placers.js";
import type { Figure, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";

const team = toId<TeamId>("a");
const repeatCount = 5;

interface Mix {
    readonly name: string;
    readonly fleetSize: number;
    readonly acceleratorShare: number;
}

const mixes: readonly Mix[] = [
    { name: "33 plain", fleetSize: 33, acceleratorShare: 0 },
    { name: "700 plain", fleetSize: 700, acceleratorShare: 0 },
    { name: "700 accelerators", fleetSize: 700, acceleratorShare: 0.2 },
];

type Use = readonly [cpu: number, memory: number, accelerators: number];

/** Runs the section. */
export function runPacking(seed: number): SectionReport {
    const rows = [["fleet", "placer", "cpu %", "memory %", "accelerators %", "of bound %"]];
    const figures: Figure[] = [];
    for (const mix of mixes) {
        const fleet = createFleet(mix.fleetSize, mix.acceleratorShare > 0);
        const bound = computeMean(seed, repeatSeed => measureBound(fleet, mix, repeatSeed));
        rows.push([mix.name, "upper bound", ...bound.map(formatPercent), "100"]);
        const placers: readonly [string, (repeatSeed: number) => Placer][] = [
            ["engine", () => new EnginePlacer(fleet, [{ team }], "waiting")],
            ["first-fit", () => new FirstFitPlacer(fleet)],
            ["random", repeatSeed => new RandomPlacer(fleet, new SeededRandom(repeatSeed))],
        ];
        for (const [name, create] of placers) {
            const use = computeMean(seed, repeatSeed => measureUse(fleet, mix, repeatSeed, create(repeatSeed)));
            const ofBound = Math.max(...use) / Math.max(...bound);
            rows.push([mix.name, name, ...use.map(formatPercent), formatPercent(ofBound)]);
            const prefix = `packing.${mix.name.replace(" ", "-")}.${name}`;
            resourceNames.forEach((resource, index) =>
                figures.push({ name: `${prefix}.${resource}`, value: use[index] as number, unit: "share" })
            );
            figures.push({ name: `${prefix}.ofBound`, value: ofBound, unit: "share" });
        }
    }
    const lines = [`mean of ${repeatCount} sequences; "of bound" compares the fullest resource`, ...formatTable(rows)];
    return { section: "packing", lines, figures, goals: [] };
}

function measureUse(fleet: readonly FleetWorker[], mix: Mix, seed: number, placer: Placer): Use {
    const random = new SeededRandom(seed);
    let used = zeroResources;
    for (let count = 0;; count++) {
        const resources = pickSize(random, mix.acceleratorShare);
        const job = toId<JobId>(`j${count}`);
        placer.submitJob(count, { job, team, kind: "batch", taskCount: 1, resources });
        if (placer.tick(count).length === 0) {
            return toUse(used, sumCapacity(fleet));
        }
        used = addResources(used, resources);
    }
}

function measureBound(fleet: readonly FleetWorker[], mix: Mix, seed: number): Use {
    const random = new SeededRandom(seed);
    const capacity = sumCapacity(fleet);
    for (let used = zeroResources;;) {
        const next = addResources(used, pickSize(random, mix.acceleratorShare));
        if (!fitsWithin(next, capacity)) {
            return toUse(used, capacity);
        }
        used = next;
    }
}

function computeMean(seed: number, measure: (seed: number) => Use): Use {
    const uses = Array.from({ length: repeatCount }, (_, index) => measure(seed * 1000 + index));
    const mean = (index: 0 | 1 | 2): number => uses.reduce((sum, use) => sum + use[index], 0) / repeatCount;
    return [mean(0), mean(1), mean(2)];
}

function toUse(used: ResourceVector, capacity: ResourceVector): Use {
    const share = (name: typeof resourceNames[number]): number =>
        capacity[name] === 0 ? 0 : used[name] / capacity[name];
    return [share("cpuMillis"), share("memoryMb"), share("accelerators")];
}

function formatPercent(share: number): string {
    return formatNumber(share * 100);
}
