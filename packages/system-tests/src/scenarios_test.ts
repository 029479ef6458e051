import { runScenarioFile } from "@waxwingroute/scenario";
import { describe, it } from "node:test";
import { assertPassed } from "./assert-passed.js";
import { InProcessCluster } from "./in-process-cluster.js";
import { getScenarioPath, listScenarios, listZones } from "./process-cluster.js";

describe("scenario files pass in process", () => {
    for (const name of listScenarios().filter(other => !other.startsWith("failure-"))) {
        it(name, async () => {
            const cluster = new InProcessCluster({ zones: listZones(name) });
            const result = await runScenarioFile(getScenarioPath(name), cluster.createWorld());
            assertPassed(result);
        });
    }
});
