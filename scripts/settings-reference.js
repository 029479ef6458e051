// Writes the settings reference of docs/settings.md from the schema, or checks it: node scripts/settings-reference.js <write|check>
//
// Types, bounds and defaults come from the schema of packages/settings. The effects are below; a field without one, and an
// effect without a field, is an error, so that a new field cannot stay undocumented.
import { readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { z } from "zod";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const target = join(root, "docs/settings.md");

const host = "regions[].zones[].hosts[]";
const effects = {
    "cluster": "Name of the cluster. It only labels the file; no program reads it.",
    "objective": "`waiting`: teams within their share are served by latest start time. `fairness`: strictly by weighted dominant share.",
    "store.url": "Address of the platform's key-value service, an IP address without a path.",
    "store.timeoutMs": "Longest wait for an answer of the store; a watch waits this long beyond its own waiting time.",
    "hostList.url": "Address of the platform's list of live and leaving hosts.",
    "hostList.pollMs": "Period between two reads of the host list by a scheduler.",
    "regions": "Regions of the cluster.",
    "regions[].name": "Name of the region. It labels the layout.",
    "regions[].zones": "Availability zones of the region. Zone names are unique in the file.",
    "regions[].zones[].name": "Name of the zone, as the host list reports it for endpoints.",
    "regions[].zones[].shards": "Number of shards of the zone. Workers and executors are divided by a hash of their name, so a change moves endpoints between shards; stop the schedulers of the zone first.",
    "regions[].zones[].hosts": "Entry hosts of the zone, in the order in which they hold the configuration watch and take shards.",
    [`${host}.name`]: "Name of the entry host, unique in the file; the value of `--host`.",
    [`${host}.address`]: "IP address on which the three programs listen and other hosts reach them.",
    [`${host}.ports.scheduler`]: "Port of the scheduler's gRPC services, for the system's own processes.",
    [`${host}.ports.entry`]: "Port of the callers' HTTP interface.",
    [`${host}.ports.operator`]: "Port of the operators' HTTP interface.",
    [`${host}.ports.schedulerHealth`]: "Port of the scheduler's health endpoints.",
    [`${host}.ports.entryHealth`]: "Port of the entry program's health endpoints.",
    [`${host}.ports.operatorHealth`]: "Port of the operator program's health endpoints.",
    "ownership.storeRightMs": "How long a renewal in the store lets an owner place, measured from before the write was sent. A larger value makes a takeover after a crash later.",
    "ownership.renewIntervalMs": "Period of renewals; at most half of `storeRightMs`.",
    "ownership.consentMs": "How long a consent of the successor lets an owner place while the store is down.",
    "ownership.heartbeatMs": "Period of heartbeats between owner and successor; at most half of `consentMs`.",
    "ownership.armFreshMs": "Greatest age of the successor heartbeat that a request to arm must echo.",
    "ownership.pairBoundMs": "Longest time that owner and successor go on without the store after the last renewal, and that a third host waits for a pair that does not answer.",
    "ownership.startInFlightMs": "Longest time that a task start or a request is in flight; also the time-out of calls to workers.",
    "tasks.leaseMs": "Lease of a task on its worker. A task of a lost worker starts elsewhere only after this time.",
    "tasks.renewIntervalMs": "Period of lease renewals, one call per worker; at most half of `leaseMs`.",
    "tasks.tickMs": "Period of placement and routing ticks.",
    "keys.stalenessMs": "Longest time without a confirmation that no newer configuration exists; after it `whenStale` applies.",
    "keys.whenStale": "What protected queues and job submission do after `stalenessMs`: `refuse` as `notRun`, or `serve` with the last known keys (a withdrawn key may then still work).",
    "entry.maxBodyBytes": "Largest body of a caller's request; above it 413 `body-too-large`.",
    "entry.maxConnections": "Most connections of callers on one entry program; further ones are closed.",
    "operator.tokenSha256": "SHA-256 of the operator token. Without it anyone who reaches the operator port may write.",
    "shutdown.boundMs": "Longest time of a graceful shutdown; after it the process ends with status 1.",
    "metrics.address": "IP address of a StatsD receiver. Without `metrics` nothing is sent.",
    "metrics.port": "UDP port of the StatsD receiver.",
    "metrics.prefix": "Prefix of each metric's name.",
    "logs.level": "Lowest level that is written to standard output.",
};

function readEffect(path) {
    const effect = effects[path];
    if (effect === undefined) {
        throw new Error(`no effect is written for ${path}: add it to scripts/settings-reference.js`);
    }
    return effect;
}

function describeUnit(path) {
    return path.endsWith("Ms") ? "ms" : path.endsWith("Bytes") ? "bytes" : "";
}

function format(number) {
    return number.toLocaleString("en-US");
}

function describeBounds(schema) {
    if (schema.enum !== undefined) {
        return schema.enum.map(value => `\`${value}\``).join(", ");
    }
    if (schema.anyOf !== undefined) {
        return "IPv4 or IPv6 number";
    }
    switch (schema.type) {
        case "integer":
            return `${format(schema.minimum)} to ${format(schema.maximum)}`;
        case "array":
            return `${schema.minItems} to ${schema.maxItems} entries`;
        default:
            return schema.maxLength === undefined ? describePattern(schema.pattern) : `at most ${schema.maxLength} characters`;
    }
}

function describePattern(pattern) {
    if (pattern?.includes("http")) {
        return "`http://<ip>:<port>`";
    }
    return pattern?.includes("{64}") ? "64 lower-case hexadecimal digits" : "1 to 63 lower-case letters, digits and inner hyphens";
}

function collectRows(schema, path, isOptional, rows) {
    if (schema.type === "object") {
        for (const [name, field] of Object.entries(schema.properties)) {
            const isFieldOptional = !(schema.required ?? []).includes(name);
            const hasOwnDefaults = field.type === "object" && field.default !== undefined;
            collectRows(field, path === "" ? name : `${path}.${name}`, isFieldOptional && !hasOwnDefaults, rows);
        }
        return;
    }
    const value = schema.default === undefined
        ? isOptional ? "none" : "required"
        : typeof schema.default === "number"
        ? format(schema.default)
        : `\`${schema.default}\``;
    rows.push([`\`${path}\``, describeUnit(path), value, describeBounds(schema), readEffect(path)]);
    if (schema.type === "array") {
        collectRows(schema.items, `${path}[]`, false, rows);
    }
}

async function buildPage() {
    const { settingsSchema } = await import("../packages/settings/dist/schema.js");
    const rows = [];
    collectRows(z.toJSONSchema(settingsSchema, { io: "input" }), "", false, rows);
    const documented = new Set(rows.map(([path]) => path.slice(1, -1)));
    const surplus = Object.keys(effects).filter(path => !documented.has(path));
    if (surplus.length > 0) {
        throw new Error(`no such field: ${surplus.join(", ")}; remove it from scripts/settings-reference.js`);
    }
    return `# Settings reference

Generated by \`node scripts/settings-reference.js write\` from \`packages/settings/src/schema.ts\`; do not edit.

One JSON file describes the whole cluster and is the same on every entry host. Durations are whole numbers of milliseconds
without a unit. An unknown field is an error. \`metrics\` may be left out as a whole; its fields count only when it is there.

| field | unit | default | bounds | effect |
| --- | --- | --- | --- | --- |
${rows.map(row => `| ${row.join(" | ")} |`).join("\n")}
`;
}

const mode = process.argv[2];
if (mode !== "write" && mode !== "check") {
    console.error("usage: node scripts/settings-reference.js <write|check>");
    process.exit(2);
}
const page = await buildPage();
if (mode === "write") {
    writeFileSync(target, page);
}
else if (readFileSync(target, "utf8") !== page) {
    console.error("docs/settings.md is not current: run `node scripts/settings-reference.js write`");
    process.exit(1);
}
