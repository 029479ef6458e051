/**
 * The operator removes a route whose jobs are still running, and the process that owns the cell is killed and started
 * again. The accepted jobs have to go on.
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
const routes = [
    { name: "quote-batch", host: "mats.example", prefix: "/quotes/" },
    { name: "order-confirm", host: "mats.example", prefix: "/confirm/", priority: 0 },
];
const jobCount = 4;
const tasksPerStep = 8;
/** `finish_s` of the deployment, ms, and the time for which a job may have nothing running then. */
const finishMs = 14_000;
const idleMs = 3_000;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ record, deployment, hasTrouble, use }) => {
    const store = use(new Store());
    store.put("op/config", createConfiguration(1, routes, { service, key }));
    const executors = [];
    for (const [index, zone] of zones.entries()) {
        const executor = use(new Executor({ id: `i-${index}`, service, zone, labels: ["a", `r-${index}`], capacity, record, store }));
        await executor.open();
        executors.push(executor);
    }
    const hosts = [];
    for (const zone of zones) {
        hosts.push(await deployment.addHost({ name: `edge-${zone}-1`, zone, storeAddress: await store.open() }));
    }
    deployment.start(hosts[0]);
    await waitUntilReady(hosts[0]);
    await waitFor("the first host owns the cell", () => store.read("waxwing/lead/owner") !== undefined);
    deployment.start(hosts[1]);
    await waitUntilReady(hosts[1]);
    const caller = new Caller(record, { hostName: "mats.example", key });
    const step = { count: tasksPerStep, cpu: 1_000, mem_mb: 1_000, estimate_ms: 1_500 };
    const job = { spec: "ms=1500", steps: [step, { ...step, after: [0] }, { ...step, after: [1] }] };
    const ids = Array.from({ length: jobCount }, (_, index) => (index + 1).toString(16).padStart(16, "0"));
    for (const id of ids) {
        await caller.submit(hosts[1], `/quotes/${id}`, job);
    }
    await waitFor("the first tasks run", () => executors.some(executor => executor.runs.length > 0));
    store.put("op/config", createConfiguration(2, routes.slice(1), { service, key }));
    record.write("configuration", { version: 2, removed: "quote-batch" });
    await wait(1_000);
    if (hasTrouble) {
        await deployment.kill(hosts[0]);
    }
    // The platform starts a process that was killed again.
    await wait(500);
    if (hasTrouble) {
        deployment.start(hosts[0]);
    }
    await wait(finishMs + idleMs);
    const runs = executors.flatMap(executor => executor.runs);
    const broken = [];
    for (const id of ids) {
        const own = runs.filter(run => run.task.startsWith(`${id}.`));
        const done = new Set(own.filter(run => run.how === "done").map(run => run.task)).size;
        const lastAt = Math.max(...own.map(run => run.endedAt ?? Infinity));
        record.write("job", { id, done, of: 3 * tasksPerStep, idleMs: Math.round(record.now - lastAt) });
        if (done < 3 * tasksPerStep && record.now - lastAt > idleMs) {
            broken.push(`job ${id}: ${done} of ${3 * tasksPerStep} tasks done, nothing has run for ${Math.round(record.now - lastAt)} ms`);
        }
    }
    // Work of the other route goes on, so there is room and an owner.
    const other = await caller.call(hosts[1], "POST", "/confirm/00000000000000ff", { spec: "ms=200", steps: [{ count: 1, cpu: 1_000 }] });
    await wait(1_500);
    record.write("other-route", { status: other.status, started: executors.flatMap(executor => executor.runs).some(run => run.task.startsWith("00000000000000ff.")) });
    return broken;
});
