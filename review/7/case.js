// Each executor runs a small task of a service, and little else. Three times, one executor crashes shortly after a task of a
// batch has begun on it, and is back 1 s later. The task of the batch never starts again.
import { fileURLToPath } from "node:url";
import { configuration, hasTrouble, key, runCase, wait } from "../lib-2/deployment.js";

const executors = 8;
const crashes = 3;
const crashAfterMs = 300;
const downMs = 1_000;
const pauseMs = 8_350;
const judgedAfterMs = 20_000;
const service = "00000000000000d1";
const jobs = Array.from({ length: crashes }, (_, index) => `00000000000000e${index}`);

/** The service has a queue of its own, which goes before that of batches. */
const [batches] = configuration.routes;
const routes = [
    { ...batches, priority: 2 },
    { ...batches, name: "services", prefix: "/services/", priority: 0 },
];

async function play(deployment) {
    await deployment.open({ hosts: 2, configuration: { ...configuration, routes } });
    const kind = { labels: ["a", "r1-1"], capacity: { cpu: 8_000, mem_mb: 16_000, gpu: 0 } };
    for (let number = 1; number <= executors; number++) {
        await deployment.startExecutor(`i-${number}`, kind);
    }
    await deployment.waitUntilReady();
    await wait(3_000);
    const standing = {
        spec: JSON.stringify({ forever: true }),
        steps: [{ count: executors, cpu: 500, mem_mb: 500, long_running: true, anti_affinity: 1 }],
    };
    await deployment.call("POST", `/services/${service}`, standing, key);
    // Calm for longer than `contact_ms`.
    await wait(7_000);
    for (const job of jobs) {
        await playCrash(deployment, job, kind);
        await wait(pauseMs);
    }
    await wait(judgedAfterMs);
    const lost = [];
    for (const job of jobs) {
        const shown = await deployment.call("GET", `/queue/${job}`, undefined, key);
        const starts = findEvents(deployment, "start", job);
        const ends = findEvents(deployment, "end", job);
        deployment.note("judged", { job, shown: shown.content, starts, ends });
        if (shown.content?.state === "running" && starts.length === 1 && ends.length === 0) {
            lost.push(job);
        }
    }
    return lost.length === 0
        ? undefined
        : `LOST: ${lost.length} jobs are shown as running and have no run, at least ${
            judgedAfterMs / 1_000
        } s after the last `
            + `crash, while ${executors * 7.5} of ${executors * 8} cores are free: ${lost.join(" ")}`;
}

function findEvents(deployment, kind, job) {
    return deployment.events.filter(event => event.kind === kind && event.task.startsWith(job));
}

/** Hands a job of one task in and crashes the executor on which it begins. */
async function playCrash(deployment, job, kind) {
    const content = {
        spec: JSON.stringify({ ms: 3_000 }),
        steps: [{ count: 1, cpu: 1_400, mem_mb: 2_600, estimate_ms: 3_000 }],
    };
    const { status } = await deployment.call("POST", `/queue/${job}`, content, key);
    for (let waitedMs = 0; findEvents(deployment, "start", job).length === 0 && waitedMs < 3_000; waitedMs += 5) {
        await wait(5);
    }
    const { executor } = findEvents(deployment, "start", job)[0] ?? {};
    if (status !== 200 || executor === undefined) {
        throw new Error(`the job was answered with ${status} and began on ${executor}`);
    }
    await wait(crashAfterMs);
    if (hasTrouble) {
        deployment.crashExecutor(executor);
    }
    await wait(downMs);
    if (hasTrouble) {
        await deployment.startExecutor(executor, kind);
    }
}

await runCase(fileURLToPath(new URL(".", import.meta.url)), play);
