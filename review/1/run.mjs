/**
 * A zone with the owner of the cell and half of the executors is cut off from the platform's store and from the other
 * zone. A host of the other zone takes over. No task may run twice.
 */
import { fileURLToPath } from "node:url";
import { createConfiguration, findTwice } from "../lib/checks.mjs";
import { Caller, runCase, wait, waitFor, waitUntilReady } from "../lib/deployment.mjs";
import { Executor } from "../lib/executor.mjs";
import { isSentBy } from "../lib/sender.mjs";
import { Store } from "../lib/store.mjs";

const service = "mat-orders";
const key = "key-quotes-1";
const capacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 };
const cutMs = 22_000;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ record, deployment, hasTrouble, use }) => {
    const store = use(new Store());
    let isCut = false;
    const zones = { "glasgow-a": { host: undefined, hasStore: () => !isCut }, "dundee-a": { host: undefined, hasStore: () => true } };
    store.put("op/config", createConfiguration(1, [{ name: "cut-list", host: "mats.example", prefix: "/cut/" }], { service, key }));
    const executors = [];
    for (const zone of Object.keys(zones)) {
        for (const number of [1, 2]) {
            const executor = use(new Executor({
                id: `i-${zone}-${number}`, service, zone, labels: ["a", `${zone}-r1`], capacity, record,
                // While the zones are cut off, an executor is reached only by the host of its own zone.
                isReachable: socket => !isCut || isSentBy(socket, zones[zone].host?.child?.pid),
                // An executor of the cut zone cannot write to the store either; its entry stays until it has expired.
                store: { put: (name, value) => isCut && zone === "glasgow-a" ? undefined : store.put(name, value) },
            }));
            await executor.open();
            executors.push(executor);
        }
    }
    for (const [zone, row] of Object.entries(zones)) {
        const storeAddress = await store.open(() => row.hasStore() ? "up" : "silent");
        row.host = await deployment.addHost({ name: `edge-${zone}-1`, zone, storeAddress });
    }
    const [glasgow, dundee] = [zones["glasgow-a"].host, zones["dundee-a"].host];
    deployment.start(glasgow);
    await waitUntilReady(glasgow);
    const caller = new Caller(record, { hostName: "mats.example", key });
    const job = { spec: "ms=8000", steps: [{ count: 20, cpu: 4_000, mem_mb: 4_000, estimate_ms: 8_000 }] };
    for (const number of [1, 2]) {
        await caller.submit(glasgow, `/cut/00000000000000a${number}`, job);
    }
    await waitFor("all executors are full", () => executors.every(executor => executor.runs.length === 4));
    await wait(1_000);
    if (hasTrouble) {
        isCut = true;
        record.write("cut", { zone: "glasgow-a", from: "store, executors and hosts of dundee-a", forMs: cutMs });
        setTimeout(() => {
            isCut = false;
            record.write("healed");
        }, cutMs);
    }
    await wait(2_000);
    deployment.start(dundee);
    await wait(cutMs + 8_000);
    return findTwice(executors);
});
