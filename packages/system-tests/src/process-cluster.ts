/**
 * The cluster of real processes on which the most important scenarios run.
 */
import { ProcessWorld } from "@waxwingroute/scenario";
import type { EntryHost, ProcessWorldOptions } from "@waxwingroute/scenario";
import { readdirSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const packages = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Names of all scenario files. */
export function listScenarios(): readonly string[] {
    return readdirSync(join(packages, "scenario/scenarios")).map(file => file.replace(/\.scenario$/, "")).sort();
}

/** Path of a scenario file. */
export function getScenarioPath(name: string): string {
    return join(packages, "scenario/scenarios", `${name}.scenario`);
}

const zones = ["glasgow", "aberdeen"];

/** Two zones, each with two entry hosts, four workers and two executors: the same as in process. */
const twoZones = {
    hosts: zones.flatMap((zone): EntryHost[] => [{ name: `${zone}-1`, zone }, { name: `${zone}-2`, zone }]),
    layout: {
        hostListLagMs: 1_000,
        zones: zones.map(zone => ({
            zone,
            workers: { count: 4, perRack: 2, capacity: { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 0 } },
            executors: { count: 2 },
        })),
    } satisfies ProcessWorldOptions["layout"],
};

/** Creates a world of real processes with the compiled programs; logs go to `directory`, by default a temporary one. */
export function createProcessWorld(directory?: string): ProcessWorld {
    const getMain = (name: string) => join(packages, name, "dist/main.js");
    return new ProcessWorld({
        mains: {
            standIn: getMain("stand-ins"),
            scheduler: getMain("scheduler"),
            operator: getMain("operator"),
            entry: getMain("entry"),
        },
        ...twoZones,
        directory,
    });
}
