#!/usr/bin/env node
/**
 * Runs one scenario file in process and prints its log: `node run-in-process-main.js [name] [seed]`.
 */
import { runScenarioFile } from "@waxwingroute/scenario";
import { InProcessCluster } from "./in-process-cluster.js";
import { getScenarioPath, listZones } from "./process-cluster.js";

const [name = "owner-killed", seed = "1"] = process.argv.slice(2);
const cluster = new InProcessCluster({ zones: listZones(name), seed: Number(seed) });
const result = await runScenarioFile(getScenarioPath(name), cluster.createWorld());
for (const { at, host, message, fields } of cluster.log) {
    process.stdout.write(`${at} ${host} ${message} ${JSON.stringify(fields)}\n`);
}
process.stdout.write(`${name}: ${result.ok ? "passed" : `FAILED ${result.val.message}`}\n`);
process.exit(result.ok ? 0 : 1);
