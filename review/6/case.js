// An executor crashes while the store is away, and another one starts at its address before the store is back. The task
// that it had just begun never starts again.
import { fileURLToPath } from "node:url";
import { configuration, hasTrouble, key, runCase, wait } from "../lib-2/deployment.js";

const storeAwayMs = 4_500;
/** Times from the begin of the store's outage. The crash lasts 1.4 s. */
const crashAtMs = 150;
const restartAtMs = 1_550;
/** Time after the outage after which the rule judges: `contact_ms`, and the 3 s of the rule. */
const judgedAfterMs = 15_000;
const executors = 8;
const job = "00000000000000c1";
const path = `/queue/${job}`;

async function play(deployment) {
    await deployment.open({ hosts: 2, configuration });
    const kind = { labels: ["a", "r1-1"], capacity: { cpu: 8_000, mem_mb: 16_000, gpu: 0 } };
    for (let number = 1; number <= executors; number++) {
        await deployment.startExecutor(`i-${number}`, kind);
    }
    await deployment.waitUntilReady();
    // Calm for longer than `contact_ms` after the start.
    await wait(7_000);
    const content = {
        spec: JSON.stringify({ ms: 3_000 }),
        steps: [{ count: 1, cpu: 1_400, mem_mb: 2_600, estimate_ms: 3_000 }],
    };
    const { status } = await deployment.call("POST", path, content, key);
    const findStarts = () =>
        deployment.events.filter(({ kind: what, task }) => what === "start" && task.startsWith(job));
    for (let waitedMs = 0; findStarts().length === 0 && waitedMs < 3_000; waitedMs += 5) {
        await wait(5);
    }
    const { executor } = findStarts()[0] ?? {};
    if (status !== 200 || executor === undefined) {
        throw new Error(`the job was answered with ${status} and began on ${executor}`);
    }
    if (hasTrouble) {
        deployment.setStoreMode("busy");
        await wait(crashAtMs);
        deployment.crashExecutor(executor);
        await wait(restartAtMs - crashAtMs);
        await deployment.startExecutor(executor, { ...kind, id: `${executor}-b` });
        await wait(storeAwayMs - restartAtMs);
        deployment.setStoreMode("up");
    }
    await wait(judgedAfterMs);
    const shown = await deployment.call("GET", path, undefined, key);
    const starts = findStarts();
    const ends = deployment.events.filter(({ kind: what, task }) => what === "end" && task.startsWith(job));
    deployment.note("judged", { starts, ends, shown: shown.content });
    if (shown.content?.state === "succeeded") {
        return undefined;
    }
    return starts.length === 1 && ends.length === 0
        ? `LOST: job ${job} is shown as ${shown.content?.state}; its task has no run, and all executors are idle`
        : undefined;
}

await runCase(fileURLToPath(new URL(".", import.meta.url)), play);
