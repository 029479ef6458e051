/**
 * The only executor with a label is unhealthy for some seconds and answers each start with 503. Jobs that need it have
 * not begun, so they count as pending.
 */
import { fileURLToPath } from "node:url";
import { createConfiguration } from "../lib/checks.mjs";
import { Caller, runCase, wait, waitFor, waitUntilReady } from "../lib/deployment.mjs";
import { Executor } from "../lib/executor.mjs";
import { Store } from "../lib/store.mjs";

const service = "mat-orders";
const key = "key-quotes-1";
const zone = "glasgow-a";
const capacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 };
const executorCount = 7;
const unhealthyMs = 6_500;
const jobCount = 10;
/** Age from which a job that has not begun must be counted: `visible_ms` and 2 s, ms. */
const countedAfterMs = 5_000;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ record, deployment, hasTrouble, use }) => {
    const store = use(new Store());
    store.put("op/config", createConfiguration(1, [{ name: "cut-list", host: "mats.example", prefix: "/cut/" }], { service, key }));
    const executors = [];
    for (let number = 1; number <= executorCount; number++) {
        const labels = [number === executorCount ? "b" : "a", "r1"];
        const executor = use(new Executor({ id: `i-${number}`, service, zone, labels, capacity, record, store }));
        await executor.open();
        executors.push(executor);
    }
    const host = await deployment.addHost({ name: "edge-glasgow-a-1", zone, storeAddress: await store.open() });
    deployment.start(host);
    await waitUntilReady(host);
    const caller = new Caller(record, { hostName: "mats.example", key });
    const createJob = label => ({ spec: "ms=400", steps: [{ count: 1, cpu: 1_000, mem_mb: 500, estimate_ms: 400, constraints: label }] });
    await caller.submit(host, "/cut/00000000000000a1", createJob("b"));
    await waitFor("the labelled executor works", () => executors.at(-1).runs.length > 0);
    await wait(1_000);
    if (hasTrouble) {
        executors.at(-1).isShedding = true;
        record.write("unhealthy", { executor: executors.at(-1).id, forMs: unhealthyMs });
    }
    const ids = Array.from({ length: jobCount }, (_, index) => (index + 256).toString(16).padStart(16, "0"));
    for (const id of ids) {
        await caller.submit(host, `/cut/${id}`, createJob("b"));
    }
    const acceptedAt = record.now;
    const broken = [];
    await wait(countedAfterMs + 200);
    for (let count = 0; count < 5; count++) {
        const begun = ids.filter(id => executors.some(executor => executor.runs.some(run => run.task.startsWith(`${id}.`))));
        const answer = await caller.call(host, "GET", "/cut/");
        const expected = jobCount - begun.length;
        if (answer.status === 200 && answer.content.pending < expected / 2) {
            const ageMs = Math.round(record.now - acceptedAt);
            broken.push(`pending ${answer.content.pending} while ${expected} jobs that were accepted ${ageMs} ms ago have not begun`);
        }
        await wait(150);
    }
    executors.at(-1).isShedding = false;
    await waitFor("all jobs are done", () => executors.at(-1).runs.length === jobCount + 1);
    return broken;
});
