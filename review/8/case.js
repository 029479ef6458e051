// A host is frozen while a client hands a job in. The client leaves and cancels the job through another host, which
// answers that no such job exists. When the frozen host wakes, it stores the job.
import { fileURLToPath } from "node:url";
import { configuration, hasTrouble, key, runCase, wait } from "../lib-2/deployment.js";

const freezeMs = 4_000;
/** Half of the objective of `order-confirm`, which is 600 ms: clients that give up leave within this time. */
const patienceMs = 300;
/** `cancel_ms` of the deployment. */
const cancelMs = 3_000;
const job = "00000000000000b1";
const path = `/queue/${job}`;

async function play(deployment) {
    await deployment.open({ hosts: 3, configuration });
    const kind = { labels: ["a", "r1-1"], capacity: { cpu: 8_000, mem_mb: 16_000, gpu: 0 } };
    for (let number = 1; number <= 4; number++) {
        await deployment.startExecutor(`i-${number}`, kind);
    }
    await deployment.waitUntilReady();
    // Calm for longer than `contact_ms` after the start.
    await wait(6_000);
    const content = {
        spec: JSON.stringify({ ms: 640 }),
        steps: [{ count: 2, cpu: 1_400, mem_mb: 2_600, estimate_ms: 640 }],
    };
    if (hasTrouble) {
        deployment.signalHost("edge-1", "SIGSTOP");
    }
    const frozenAt = performance.now();
    await deployment.callHost("edge-1", "POST", path, content, key, patienceMs);
    let cancelled = { status: 0 };
    for (let attempt = 0; attempt < 4 && cancelled.status !== 200 && cancelled.status !== 410; attempt++) {
        cancelled = await deployment.callHost(attempt % 2 === 0 ? "edge-2" : "edge-3", "DELETE", path, undefined, key);
    }
    const cancelledAt = performance.now() - deployment.startedAt;
    await wait(Math.max(0, frozenAt + freezeMs - performance.now()));
    if (hasTrouble) {
        deployment.signalHost("edge-1", "SIGCONT");
    }
    await wait(6_000);
    const { content: shown, status } = await deployment.callHost("edge-2", "GET", path, undefined, key);
    if (cancelled.status !== 200 && cancelled.status !== 410) {
        throw new Error(`the cancellation was not acknowledged: ${cancelled.status}`);
    }
    const late = deployment.events.filter(({ kind: what, task, atMs }) =>
        what === "start" && task.startsWith(job) && atMs > cancelledAt + cancelMs
    );
    deployment.note("judged", { cancelled: cancelled.status, status, shown, late });
    return late.length === 0
        ? undefined
        : `UNASKED: ${late.length} tasks of job ${job} started ${
            Math.round(late[0].atMs - cancelledAt)
        } ms after its cancelling was answered with ${cancelled.status}; the bound is ${cancelMs} ms`;
}

await runCase(fileURLToPath(new URL(".", import.meta.url)), play);
