/**
 * Translates between the platform's wire names and the types of the stand-ins. No other module of this package uses wire
 * names.
 */

import type {
    AdviceReply,
    AdviceRequest,
    ExecutorEntry,
    ExecutorIdentity,
    ExecutorReply,
    ExecutorRequest,
    HostSettings,
    JobStep,
    SiteConfiguration,
    StoredItem,
    StoreReply,
    StoreRequest,
} from "./types.js";

/** A reply as it is sent. */
export interface WireReply {
    readonly status: number;
    readonly content: unknown;
}

type Fields = Readonly<Record<string, unknown>>;

const storePathPrefix = "/waxwingroute/kv-";
const executorPathPrefix = "/waxwingroute/";
export const readinessPath = "/waxwingroute/readyz";
/** Key of the operator's configuration. */
export const configurationKey = "op/config";

function toFields(value: unknown): Fields {
    return typeof value === "object" && value !== null ? value as Fields : {};
}

function toList(value: unknown): readonly Fields[] {
    return Array.isArray(value) ? value.map(toFields) : [];
}

function toNumber(value: unknown, fallback = 0): number {
    return value === undefined ? fallback : Number(value);
}

function toText(value: unknown): string {
    return typeof value === "string" ? value : "";
}

/** Decodes a call of the store. */
export function decodeStoreRequest(method: string, target: string, body: unknown): StoreRequest {
    const url = new URL(target, "http://store");
    const query = url.searchParams;
    const fields = toFields(body);
    const path = url.pathname.replace(storePathPrefix, "");
    const operation = `${method} ${path.replace(/\/\d+$/, "")}`;
    const lease = Number(/\/(\d+)$/.exec(path)?.[1] ?? 0);
    switch (operation) {
        case "GET key":
            return { kind: "read", key: query.get("key") ?? "" };
        case "GET range":
            return { kind: "list", prefix: query.get("prefix") ?? "", afterKey: query.get("after") ?? "" };
        case "GET watch":
            return {
                kind: "watch",
                prefix: query.get("prefix") ?? "",
                afterRevision: Number(query.get("after")),
                waitMs: Number(query.get("wait_ms")),
            };
        case "POST txn":
            return {
                kind: "commit",
                conditions: toList(fields.expected_rev).map(row => ({
                    key: toText(row.key),
                    revision: toNumber(row.revision),
                })),
                writes: toList(fields.set_keys).map(row => ({
                    key: toText(row.key),
                    value: toText(row.value),
                    lease: toNumber(row.lease),
                })),
                removals: Array.isArray(fields.remove) ? fields.remove.map(toText) : [],
            };
        case "POST lease":
            return { kind: "grantLease", ttlMs: toNumber(fields.ttl_ms) };
        case "POST keep":
            return { kind: "renewLease", lease };
        case "DELETE lease-end":
            return { kind: "endLease", lease };
        default:
            return { kind: "unknown" };
    }
}

function encodeItem({ key, value, revision, createdRevision, lease }: StoredItem): Fields {
    return { key, value, revision, created: createdRevision, lease };
}

/** Encodes a reply of the store. */
export function encodeStoreReply(reply: StoreReply): WireReply {
    switch (reply.kind) {
        case "item":
            return reply.item === undefined
                ? { status: 404, content: { store_revision: reply.revision } }
                : { status: 200, content: { ...encodeItem(reply.item), store_revision: reply.revision } };
        case "items":
            return {
                status: 200,
                content: {
                    items: reply.items.map(encodeItem),
                    has_more: reply.hasMore,
                    store_revision: reply.revision,
                },
            };
        case "changes":
            return {
                status: 200,
                content: {
                    events: reply.changes.map(({ key, revision, item }) =>
                        item === undefined ? { key, revision, deleted: true } : encodeItem(item)
                    ),
                    store_revision: reply.revision,
                },
            };
        case "committed":
            return { status: 200, content: { revision: reply.revision } };
        case "conflict":
            return {
                status: 412,
                content: { items: reply.items.map(item => "value" in item ? encodeItem(item) : item) },
            };
        case "lease":
            return { status: 200, content: { lease: reply.lease, ttl_ms: reply.ttlMs } };
        case "leaseEnded":
            return { status: 404, content: {} };
        case "done":
            return { status: 200, content: {} };
        case "busy":
            return { status: 503, content: {} };
        case "invalid":
            return { status: 400, content: {} };
    }
}

/** Decodes a call of an executor. */
export function decodeExecutorRequest(target: string, instance: string, body: unknown): ExecutorRequest {
    const fields = toFields(body);
    const kinds: Readonly<Record<string, ExecutorRequest["kind"]>> = {
        "run-start": "start",
        "run-stop": "stop",
        "hold": "hold",
        "pace": "pace",
    };
    return {
        kind: kinds[target.replace(executorPathPrefix, "")] ?? "unknown",
        executor: instance,
        token: toNumber(fields.fencing_token),
        task: toText(fields.task),
        run: toNumber(fields.run),
        spec: toText(fields.spec),
        leaseEndsAt: fields.deadline_ms === undefined ? undefined : Number(fields.deadline_ms),
        acknowledged: toNumber(fields.acked),
        waitMs: toNumber(fields.wait_ms),
        ticket: toText(fields.ticket),
    };
}

/** Decodes a call of the advice service. */
export function decodeAdviceRequest(body: unknown): AdviceRequest {
    const { step, workers } = toFields(body);
    return { step: toText(step), executors: Array.isArray(workers) ? workers.map(toText) : [] };
}

/** Encodes a reply of the advice service. */
export function encodeAdviceReply(reply: AdviceReply): WireReply {
    switch (reply.kind) {
        case "grants":
            return {
                status: 200,
                content: { granted: reply.grants.map(({ executor, ticket }) => [executor, ticket]) },
            };
        case "full":
            return { status: 429, content: {} };
        case "unavailable":
            return { status: 503, content: {} };
        case "invalid":
            return { status: 400, content: {} };
    }
}

/** Header that names the executor for which a call is meant. */
export const instanceHeader = "x-expected-instance";

/** Encodes a reply of an executor. */
export function encodeExecutorReply(reply: ExecutorReply, { clock, bornAt }: ExecutorIdentity): WireReply {
    const identity = { clock_ms: clock, born: bornAt };
    switch (reply.kind) {
        case "done":
            return { status: 200, content: identity };
        case "wrongInstance":
            return { status: 421, content: identity };
        case "unhealthy":
            return { status: 503, content: identity };
        case "unknown":
            return { status: 404, content: identity };
        case "rejected":
            return { status: 409, content: { ...identity, reason: reply.reason } };
        case "listing":
            return {
                status: 200,
                content: {
                    ...identity,
                    running: reply.running.map(({ task, run, percent }) => [task, run, "", percent]),
                    finished: reply.finished.map(({ number, task, run, how }) => [number, task, run, how, ""]),
                },
            };
    }
}

/** Returns the key and the text of an executor's entry. */
export function encodeExecutorEntry(
    id: string,
    entry: ExecutorEntry,
): { readonly key: string; readonly text: string; } {
    return {
        key: toExecutorKey(id),
        text: JSON.stringify({
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: { cpu: entry.cpu, mem_mb: entry.memoryMb, gpu: 0 },
            labels: ["a", `${entry.zone}-r1`],
            clock_ms: entry.clock,
            sequence: entry.sequence,
            born: entry.bornAt,
        }),
    };
}

export function toExecutorKey(id: string): string {
    return `servers/${id}`;
}

/** Returns the body of a submission. */
export function encodeJob(spec: string, steps: readonly JobStep[]): unknown {
    return {
        spec,
        steps: steps.map(({ count, cpu, memoryMb, estimateMs, after, isGang }) => ({
            count,
            cpu,
            mem_mb: memoryMb,
            estimate_ms: estimateMs,
            ...after.length > 0 ? { after } : {},
            ...isGang ? { gang: true } : {},
        })),
    };
}

/** Returns the state in an answer about a job. */
export function decodeJobState(content: unknown): string | undefined {
    const { state } = toFields(content);
    return typeof state === "string" ? state : undefined;
}

/** Returns the text of the operator's configuration. */
export function encodeConfiguration(site: SiteConfiguration): string {
    const { hostName, service, apiKey, maxAttempts, queues } = site;
    return JSON.stringify({
        version: 1,
        routes: queues.map(({ name, prefix, priority, targetLatencyMs, stretchFactor, advice }) => ({
            name,
            host: hostName,
            prefix,
            kind: "non_idempotent",
            timeout_ms: 3_000,
            target_latency_ms: targetLatencyMs,
            priority,
            service,
            max_attempts: maxAttempts,
            stretch_factor: stretchFactor,
            public: false,
            ...advice === undefined ? {} : {
                advice: { decide_ms: advice.callMs, period_ms: advice.perExecutorMs, valid_ms: advice.validMs },
            },
        })),
        services: [{ name: service, rejects_overload: false }],
        tenants: [{ name: "quotes", api_keys: [apiKey], weight: 100, cap: { cpu: 0, mem_mb: 0, gpu: 0 } }],
        limits: { max_body_bytes: 262_144 },
    });
}

/** Port on which hosts call each other. */
export const peerPort = 7_420;

/** Fills in a template of settings with placeholders such as `{{name|json}}`. */
export function encodeHostSettings(template: string, settings: HostSettings): string {
    const fields: Fields = {
        node_name: settings.name,
        zone: settings.zone,
        ip: settings.ip,
        port_range: [peerPort, peerPort + 15],
        listen_addrs: { frontend: settings.callerAddress, readiness: settings.readinessAddress },
        seeds: settings.seeds,
        platform: { address: settings.storeAddress, ttl_min_ms: 1_000 },
        advice: settings.adviceAddress,
        cloud_api: { address: settings.storeAddress, duties: [] },
        limits: { cpu_shares: 0.675, cores: 1, memory_mb: settings.memoryMb },
        bounds: { lease_ms: 3_000, hold_max_ms: 6_000, stop_ms: 900, status_s: 120, grace_s: settings.graceSeconds },
    };
    return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, path: string) => {
        const value = path.split(".").reduce<unknown>((parent, name) => toFields(parent)[name], fields);
        return value === undefined ? "null" : JSON.stringify(value);
    });
}
