import { runScenarioFile } from "@waxwingroute/scenario";
import { expect } from "earl";
import { describe, it } from "node:test";
import { InProcessCluster } from "./in-process-cluster.js";
import { getScenarioPath, listScenarios } from "./process-cluster.js";

// Each seed gives other network delays and other random choices.
const seeds = [1, 2];

describe("failure scenarios in process", () => {
    for (const name of listScenarios().filter(other => other.startsWith("failure-"))) {
        describe(name, () => {
            for (const seed of seeds) {
                it(`holds with seed ${seed}`, async () => {
                    const cluster = new InProcessCluster({ zones: ["glasgow", "aberdeen"], seed });
                    const result = await runScenarioFile(getScenarioPath(name), cluster.createWorld());
                    expect(result.err ? result.val.message : "passed").toEqual("passed");
                });
            }
        });
    }
});
