/**
 * Paths of the scenario files, and the cluster of real processes on which the most important ones run.
 */
import { ProcessWorld, readWorldFile } from "@waxwingroute/scenario";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const packagesDirectory = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Lists the names of all scenario files in order. */
export function listScenarios(): readonly string[] {
    return readdirSync(join(packagesDirectory, "scenario/scenarios")).map(file => file.replace(/\.scenario$/, ""))
        .sort();
}

/** Returns the path of a scenario file. */
export function getScenarioPath(name: string): string {
    return join(packagesDirectory, "scenario/scenarios", `${name}.scenario`);
}

/** Lists the zones that a scenario needs: `glasgow`, and `dundee` if the file names it. */
export function listZones(name: string): readonly string[] {
    return readFileSync(getScenarioPath(name), "utf8").includes("dundee") ? ["glasgow", "dundee"] : ["glasgow"];
}

/** Creates the world of real processes for a scenario; each zone has two entry hosts. */
export function createProcessWorld(name: string): ProcessWorld {
    const world = listZones(name).length === 1 ? "one-zone" : "two-zones";
    const options = readWorldFile(join(packagesDirectory, `scenario/worlds/${world}.json`), packagesDirectory);
    return new ProcessWorld(options.unwrap());
}
