/**
 * Another writer has left an entry below `servers/` that names a service which is not configured, at an address whose
 * port cannot be one. No process of the system may end by itself, and jobs are served.
 */
import { fileURLToPath } from "node:url";
import { createConfiguration } from "../lib/checks.mjs";
import { Caller, runCase, wait, waitUntilReady } from "../lib/deployment.mjs";
import { Executor } from "../lib/executor.mjs";
import { Store } from "../lib/store.mjs";

const service = "mat-orders";
const key = "key-quotes-1";
const zones = ["glasgow-a", "aberdeen-a", "dundee-a"];
const capacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 };
const observedMs = 30_000;
/** Ends by itself of one host, and hosts, from which the day counts as faulty. */
const maxEnds = 3;
const maxHosts = 2;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ record, deployment, hasTrouble, use }) => {
    const store = use(new Store());
    store.put("op/config", createConfiguration(1, [{ name: "order-confirm", host: "mats.example", prefix: "/confirm/" }], { service, key }));
    const executors = [];
    for (const [index, zone] of zones.entries()) {
        const executor = use(new Executor({ id: `i-${index}`, service, zone, labels: ["a", `r-${index}`], capacity, record, store }));
        await executor.open();
        executors.push(executor);
    }
    const hosts = [];
    for (const zone of zones) {
        hosts.push(await deployment.addHost({
            name: `edge-${zone}-1`, zone, storeAddress: await store.open(), isRestarted: true, seeds: hosts.map(host => `${host.ip}:8180`),
        }));
    }
    hosts.forEach(host => deployment.start(host));
    await Promise.all(hosts.map(waitUntilReady));
    const caller = new Caller(record, { hostName: "mats.example", key });
    const job = { spec: "ms=600", steps: [{ count: 2, cpu: 1_000, mem_mb: 1_000, estimate_ms: 600 }] };
    await caller.submit(hosts[0], "/confirm/0000000000000001", job);
    await wait(2_000);
    if (hasTrouble) {
        const entry = {
            service: "label-printers", address: "127.0.0.1:70000", zone: "glasgow-a", version: "v7", slots: 1, state: "ready",
            cold_remaining_ms: 0, capacity: { cpu: 1_000, mem_mb: 512, gpu: 0 }, labels: ["p", "r-9"], clock_ms: 1_000, sequence: 1,
        };
        store.put("servers/printer-17", entry);
        record.write("foreign-entry", { key: "servers/printer-17", entry });
    }
    await wait(1_000);
    // Jobs that were sent after the entry was written.
    for (let number = 2; number < 12; number++) {
        await caller.call(hosts[number % 3], "POST", `/confirm/${number.toString(16).padStart(16, "0")}`, job);
        await wait(observedMs / 10);
    }
    const counts = hosts.map(host => host.exits.filter(exit => exit.byItself).length);
    hosts.forEach((host, index) => record.write("ended-by-itself", {
        host: host.name, times: counts[index], lastError: /"stack":"[^"]{0,200}/.exec(host.log)?.[0] ?? "none",
    }));
    const started = new Set(executors.flatMap(executor => executor.runs).map(run => run.task.split(".")[0]));
    record.write("jobs-started", { count: started.size });
    return counts.filter(count => count >= maxEnds).length >= maxHosts
        ? [`processes ended by themselves ${counts.join(", ")} times; ${started.size} of 11 jobs were started`]
        : [];
});
