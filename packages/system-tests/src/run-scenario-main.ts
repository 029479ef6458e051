#!/usr/bin/env node
/**
 * Runs one scenario file over real processes: node run-scenario-main.js <name> [directory for logs]
 */
import { runScenarioFile } from "@waxwingroute/scenario";
import { createProcessWorld, getScenarioPath } from "./process-cluster.js";

const [name = "owner-killed", directory] = process.argv.slice(2);
const world = createProcessWorld(directory);
await world.open();
const result = await runScenarioFile(getScenarioPath(name), world);
await world.close();
process.stdout.write(`${name}: ${result.ok ? "passed" : `FAILED ${result.val.message}`}\n`);
process.exit(result.ok ? 0 : 1);
