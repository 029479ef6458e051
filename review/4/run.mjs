/**
 * The platform's store refuses all calls for some seconds while a batch of short tasks runs, so that an executor has
 * more ends that are not acknowledged than one listing holds. No task may run twice.
 */
import { fileURLToPath } from "node:url";
import { createConfiguration, findTwice } from "../lib/checks.mjs";
import { Caller, runCase, wait, waitFor, waitUntilReady } from "../lib/deployment.mjs";
import { Executor } from "../lib/executor.mjs";
import { Store } from "../lib/store.mjs";

const service = "mat-orders";
const key = "key-quotes-1";
const zone = "glasgow-a";
const capacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 };
const outageMs = 6_500;
const jobCount = 60;
const tasksPerJob = 60;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ record, deployment, hasTrouble, use }) => {
    const store = use(new Store());
    let state = "up";
    store.put("op/config", createConfiguration(1, [{ name: "quote-batch", host: "mats.example", prefix: "/quotes/" }], { service, key }));
    const executors = [];
    for (const number of [1, 2]) {
        // While the store is down, executors cannot write to it either.
        const entries = { put: (name, value) => state === "up" ? store.put(name, value) : undefined };
        const executor = use(new Executor({
            id: `i-${number}`, service, zone, labels: ["a", "r1"], capacity, record, store: entries,
        }));
        await executor.open();
        executors.push(executor);
    }
    const host = await deployment.addHost({ name: "edge-glasgow-a-1", zone, storeAddress: await store.open(() => state) });
    deployment.start(host);
    await waitUntilReady(host);
    const caller = new Caller(record, { hostName: "mats.example", key });
    const job = { spec: "ms=500", steps: [{ count: tasksPerJob, cpu: 100, mem_mb: 100, estimate_ms: 500 }] };
    const paths = Array.from({ length: jobCount }, (_, index) => `/quotes/${index.toString(16).padStart(16, "0")}`);
    await Promise.all(paths.map(path => caller.submit(host, path, job)));
    await waitFor("all executors are full", () => executors.every(executor => executor.runs.length >= 160));
    if (hasTrouble) {
        state = "busy";
        record.write("store-down", { how: "busy", forMs: outageMs });
    }
    await wait(outageMs);
    state = "up";
    record.write("store-up");
    const countDone = () => new Set(executors.flatMap(executor => executor.runs).filter(run => run.how === "done").map(run => run.task)).size;
    await waitFor("all tasks are done", () => countDone() === jobCount * tasksPerJob, 45_000);
    await wait(4_000);
    executors.forEach(executor => record.write("runs", { executor: executor.id, count: executor.runs.length }));
    return findTwice(executors);
});
