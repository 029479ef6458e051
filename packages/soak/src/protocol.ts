/**
 * Translates between the platform's wire names and the types of the stand-ins. No other module of this package uses wire
 * names.
 */

import type { StoredItem, StoreReply, StoreRequest } from "./types.js";

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

/** A call of an executor. */
export interface ExecutorRequest {
    readonly kind: "start" | "stop" | "hold" | "pace" | "unknown";
    /** The executor for which the call is meant. */
    readonly executor: string;
    readonly token: number;
    readonly task: string;
    readonly run: number;
    readonly spec: string;
    /** End of the lease on the executor's clock, ms; `undefined` if the call does not extend it. */
    readonly leaseEndsAt: number | undefined;
    readonly acknowledged: number;
    readonly waitMs: number;
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
    };
}

/** Header that names the executor for which a call is meant. */
export const instanceHeader = "x-expected-instance";

/** What an executor says of its clock and life in every answer. */
export interface ExecutorIdentity {
    readonly clock: number;
    readonly bornAt: number;
}

/** A reply of an executor. */
export type ExecutorReply =
    | { readonly kind: "done" | "wrongInstance" | "unhealthy" | "unknown"; }
    | { readonly kind: "rejected"; readonly reason: "fence" | "old" | "late"; }
    | {
        readonly kind: "listing";
        readonly running: readonly { readonly task: string; readonly run: number; readonly percent: number; }[];
        readonly finished: readonly {
            readonly number: number;
            readonly task: string;
            readonly run: number;
            readonly how: string;
        }[];
    };

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

/** What an executor registers in the store. */
export interface ExecutorEntry extends ExecutorIdentity {
    readonly service: string;
    readonly address: string;
    readonly zone: string;
    readonly sequence: number;
    readonly cpu: number;
    readonly memoryMb: number;
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

/** A step of a job that callers submit. */
export interface JobStep {
    readonly count: number;
    /** Thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly estimateMs: number;
    /** Earlier steps that must be done. */
    readonly after: readonly number[];
}

/** Returns the body of a submission. */
export function encodeJob(spec: string, steps: readonly JobStep[]): unknown {
    return {
        spec,
        steps: steps.map(({ count, cpu, memoryMb, estimateMs, after }) => ({
            count,
            cpu,
            mem_mb: memoryMb,
            estimate_ms: estimateMs,
            ...after.length > 0 ? { after } : {},
        })),
    };
}

/** Returns the state in an answer about a job. */
export function decodeJobState(content: unknown): string | undefined {
    const { state } = toFields(content);
    return typeof state === "string" ? state : undefined;
}

/** The queue, service and tenant of a run. */
export interface QueueConfiguration {
    readonly hostName: string;
    readonly prefix: string;
    readonly service: string;
    readonly apiKey: string;
    readonly maxAttempts: number;
}

/** Returns the text of the operator's configuration. */
export function encodeConfiguration({ hostName, prefix, service, apiKey, maxAttempts }: QueueConfiguration): string {
    return JSON.stringify({
        version: 1,
        routes: [{
            name: "soak",
            host: hostName,
            prefix,
            kind: "non_idempotent",
            timeout_ms: 3_000,
            target_latency_ms: 3_000,
            priority: 1,
            service,
            max_attempts: maxAttempts,
            stretch_factor: 4,
            public: false,
        }],
        services: [{ name: service, rejects_overload: false }],
        tenants: [{ name: "quotes", api_keys: [apiKey], weight: 100, cap: { cpu: 0, mem_mb: 0, gpu: 0 } }],
        limits: { max_body_bytes: 262_144 },
    });
}

/** What the settings file of a host contains. */
export interface HostSettings {
    readonly name: string;
    readonly zone: string;
    readonly ip: string;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly seeds: readonly string[];
    readonly storeAddress: string;
    readonly memoryMb: number;
    readonly graceSeconds: number;
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
        cloud_api: { address: settings.storeAddress, duties: [] },
        limits: { cpu_shares: 0.675, cores: 1, memory_mb: settings.memoryMb },
        bounds: { lease_ms: 3_000, hold_max_ms: 6_000, stop_ms: 900, status_s: 120, grace_s: settings.graceSeconds },
    };
    return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, path: string) => {
        const value = path.split(".").reduce<unknown>((parent, name) => toFields(parent)[name], fields);
        return value === undefined ? "null" : JSON.stringify(value);
    });
}
