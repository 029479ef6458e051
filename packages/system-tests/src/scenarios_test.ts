import { runScenarioFile } from "@waxwingroute/scenario";
import { expect } from "earl";
import { describe, it } from "node:test";
import { InProcessCluster } from "./in-process-cluster.js";
import { getScenarioPath, listScenarios } from "./process-cluster.js";

describe("scenarios in process", () => {
    for (const name of listScenarios().filter(other => !other.startsWith("failure-"))) {
        it(name, async () => {
            const cluster = new InProcessCluster({ zones: ["glasgow", "aberdeen"] });
            const result = await runScenarioFile(getScenarioPath(name), cluster.createWorld());
            expect(result.err ? result.val.message : "passed").toEqual("passed");
        });
    }
});
