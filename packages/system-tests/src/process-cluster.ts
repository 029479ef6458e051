/**
 * The cluster of real processes on which the most important scenarios run.
 */
import { ProcessWorld } from "@waxwingroute/scenario";
import type { EntryHost, ProcessWorldOptions } from "@waxwingroute/scenario";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const packages = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Path of a scenario file. */
export function getScenarioPath(name: string): string {
    return join(packages, "scenario/scenarios", `${name}.scenario`);
}

/** One zone of two entry hosts, four workers and two executors. */
export const oneZone = {
    hosts: [{ name: "glasgow-1", zone: "glasgow" }, { name: "glasgow-2", zone: "glasgow" }] satisfies EntryHost[],
    layout: {
        hostListLagMs: 1_000,
        zones: [{
            zone: "glasgow",
            workers: { count: 4, perRack: 2, capacity: { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 0 } },
            executors: { count: 2 },
        }],
    } satisfies ProcessWorldOptions["layout"],
};

/** Creates a world of real processes with the compiled programs. */
export function createProcessWorld(directory?: string): ProcessWorld {
    const getMain = (name: string) => join(packages, name, "dist/main.js");
    return new ProcessWorld({
        mains: {
            standIn: getMain("stand-ins"),
            scheduler: getMain("scheduler"),
            operator: getMain("operator"),
            entry: getMain("entry"),
        },
        ...oneZone,
        directory,
    });
}
