/**
 * An executor is cut off for some seconds and runs on. The job whose first step runs on it is cancelled meanwhile. No
 * further step of the cancelled job may start.
 */
import { fileURLToPath } from "node:url";
import { createConfiguration } from "../lib/checks.mjs";
import { Caller, runCase, wait, waitFor, waitUntilReady } from "../lib/deployment.mjs";
import { Executor } from "../lib/executor.mjs";
import { Store } from "../lib/store.mjs";

const service = "mat-orders";
const key = "key-quotes-1";
const zones = ["glasgow-a", "dundee-a"];
const capacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 };
const cutMs = 4_000;
/** `cancel_ms` of the deployment. */
const cancelMs = 3_000;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ record, deployment, hasTrouble, use }) => {
    const store = use(new Store());
    store.put("op/config", createConfiguration(1, [{ name: "quote-batch", host: "mats.example", prefix: "/quotes/" }], { service, key }));
    let cutExecutor;
    const executors = [];
    for (let number = 1; number <= 6; number++) {
        const zone = zones[number % 2];
        const executor = use(new Executor({
            id: `i-${number}`, service, zone, labels: ["a", `r${number % 2}`], capacity, record,
            isReachable: () => cutExecutor !== executor,
            // The executor that is cut off does not reach the store either; its entry stays until it has expired.
            store: { put: (name, value) => cutExecutor !== undefined && cutExecutor === executor ? undefined : store.put(name, value) },
        }));
        await executor.open();
        executors.push(executor);
    }
    const hosts = [];
    for (const zone of zones) {
        const host = await deployment.addHost({ name: `edge-${zone}-1`, zone, storeAddress: await store.open() });
        deployment.start(host);
        await waitUntilReady(host);
        hosts.push(host);
    }
    const caller = new Caller(record, { hostName: "mats.example", key });
    const steps = [
        { count: 1, cpu: 1_000, mem_mb: 1_000, estimate_ms: 3_000 },
        { count: 8, cpu: 1_000, mem_mb: 1_000, estimate_ms: 3_000, after: [0] },
        { count: 8, cpu: 1_000, mem_mb: 1_000, estimate_ms: 3_000, after: [1] },
    ];
    const id = "00000000000000c1";
    await caller.submit(hosts[1], `/quotes/${id}`, { spec: "ms=3000", steps });
    const findRuns = () => executors.flatMap(executor => executor.runs);
    await waitFor("the first step runs", () => findRuns().length === 1);
    await wait(1_000);
    if (hasTrouble) {
        cutExecutor = executors.find(executor => executor.id === findRuns()[0].executor);
        record.write("executor-cut", { executor: cutExecutor.id, forMs: cutMs });
        setTimeout(() => {
            cutExecutor = undefined;
            record.write("executor-healed");
        }, cutMs);
    }
    await wait(300);
    const cancelled = await caller.call(hosts[1], "DELETE", `/quotes/${id}`);
    if (cancelled.status !== 200) {
        throw new Error(`the cancellation was answered with ${cancelled.status}`);
    }
    const cancelledAt = record.now;
    await wait(14_000);
    await caller.call(hosts[1], "GET", `/quotes/${id}`);
    return findRuns().filter(run => run.beganAt > cancelledAt + cancelMs).map(run =>
        `${run.task} was started on ${run.executor} ${Math.round(run.beganAt - cancelledAt)} ms after the cancellation was acknowledged`);
});
