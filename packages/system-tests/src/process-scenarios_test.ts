import { runScenarioFile } from "@waxwingroute/scenario";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createProcessWorld, getScenarioPath } from "./process-cluster.js";

// The scenarios that depend on what only real processes have: SIGKILL, SIGSTOP, sockets, and exit codes.
const names = ["owner-killed", "owner-paused", "store-outage", "graceful-stop"];

describe("scenarios over real processes", () => {
    for (const name of names) {
        it(name, async () => {
            const world = createProcessWorld();
            await world.open();
            const result = await runScenarioFile(getScenarioPath(name), world);
            await world.close();
            expect(result.err ? result.val.message : "passed").toEqual("passed");
        });
    }
});
