// Starts a layout on stand-ins and keeps it running: node scripts/start-layout.js <layout> [seconds]
//
// For trying the commands of the pages by hand. It ends after the given time (default 600 seconds) or on Ctrl-C, with a
// graceful shutdown of every process.
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { LocalCluster } from "../packages/demo/dist/local-cluster.js";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const [layout = "laptop", seconds = "600"] = process.argv.slice(2);
const duration = Number(seconds);
if (!(duration >= 1 && duration <= 86_400)) {
    console.error(`seconds is "${seconds}": use a number from 1 to 86400`);
    process.exit(2);
}
const directory = mkdtempSync(join(tmpdir(), "waxwing-layout-"));
const cluster = new LocalCluster({ root, layout, directory });
const stopped = new Promise(resolve => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
    setTimeout(resolve, duration * 1_000);
});
let status = 0;
try {
    await cluster.start();
    await cluster.awaitOwners(15_000);
    const list = port => cluster.hosts.map(place => cluster.getUrl(place, port)).join(",");
    console.log(`export WAXWING_SERVER=${list("operator")}`);
    console.log(`export WAXWING_ENTRY=${list("entry")}`);
    console.log(`# ${cluster.processCount} processes run for ${duration} s; logs: ${directory}`);
    await stopped;
}
catch (error) {
    console.error(`${error.message}; if another run uses the ports of layout "${layout}", wait until it has ended`);
    status = 1;
}
const problems = await cluster.stop();
problems.forEach(problem => console.error(problem));
process.exit(problems.length > 0 ? 1 : status);
