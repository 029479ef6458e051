import { runScenarioFile } from "@waxwingroute/scenario";
import { describe, it } from "node:test";
import { assertPassed } from "./assert-passed.js";
import { InProcessCluster } from "./in-process-cluster.js";
import { getScenarioPath, listScenarios, listZones } from "./process-cluster.js";

// Each seed results in different network delays and random choices.
const seeds = [1, 2];

describe("failure scenario files pass in process", () => {
    for (const name of listScenarios().filter(other => other.startsWith("failure-"))) {
        describe(name, () => {
            for (const seed of seeds) {
                it(`passes with seed ${seed}`, async () => {
                    const cluster = new InProcessCluster({ zones: listZones(name), seed });
                    const result = await runScenarioFile(getScenarioPath(name), cluster.createWorld());
                    assertPassed(result);
                });
            }
        });
    }
});
