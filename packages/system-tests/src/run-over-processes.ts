/**
 * Runs a scenario file over real processes, as a test. Each such test has its own file, so that they run in parallel.
 */
import { runScenarioFile } from "@waxwingroute/scenario";
import { assertPassed } from "./assert-passed.js";
import { createProcessWorld, getScenarioPath } from "./process-cluster.js";

/** Runs a scenario over real processes and throws if it fails. */
export async function runOverProcesses(name: string): Promise<void> {
    const world = createProcessWorld(name);
    try {
        await world.open();
        assertPassed(await runScenarioFile(getScenarioPath(name), world));
    }
    finally {
        await world.close();
    }
}
