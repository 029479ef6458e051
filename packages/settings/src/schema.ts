/**
 * The schema of the settings file. One file describes the whole cluster; each program is started with the name of the
 * entry host it runs on and takes its addresses and zone from there.
 */
import { z } from "zod";

const name = z.string().regex(
    /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/,
    "lower-case letters, digits and inner hyphens, 1 to 63 characters",
);
const ipAddress = z.union([z.ipv4(), z.ipv6()], "an IP number, not a host name");
const port = z.int().min(1).max(65_535);
const url = z.string().regex(
    /^http:\/\/(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
    "http://<ip>:<port> without a path",
);
const milliseconds = (minimum: number, maximum: number) => z.int().min(minimum).max(maximum);

const portsSchema = z.strictObject({
    /** gRPC, for the system's own processes. */
    scheduler: port,
    /** HTTP, for callers. */
    entry: port,
    /** HTTP, for operators. */
    operator: port,
    /** HTTP health endpoints of the three programs. */
    schedulerHealth: port,
    entryHealth: port,
    operatorHealth: port,
});

const hostSchema = z.strictObject({ name, address: ipAddress, ports: portsSchema });

const zoneSchema = z.strictObject({
    name,
    /** Number of shards; workers and executors are divided among them by a hash of their name. */
    shards: z.int().min(1).max(64).default(1),
    /** Entry hosts of the zone, in their order of precedence for the configuration watch and for owning shards. */
    hosts: z.array(hostSchema).min(1).max(64),
});

const regionSchema = z.strictObject({ name, zones: z.array(zoneSchema).min(1).max(32) });

export const settingsSchema = z.strictObject({
    cluster: name,
    /** What placement optimizes: short waiting times or exact shares. */
    objective: z.enum(["waiting", "fairness"]).default("waiting"),
    store: z.strictObject({
        url,
        /** Timeout of a store call, not counting the time that a watch waits for changes. */
        timeoutMs: milliseconds(50, 60_000).default(900),
    }),
    hostList: z.strictObject({ url, pollMs: milliseconds(200, 60_000).default(1_000) }),
    regions: z.array(regionSchema).min(1).max(16),
    ownership: z.strictObject({
        storeRightMs: milliseconds(200, 60_000).default(3_000),
        renewIntervalMs: milliseconds(50, 30_000).default(1_000),
        consentMs: milliseconds(100, 60_000).default(2_000),
        heartbeatMs: milliseconds(50, 30_000).default(500),
        armFreshMs: milliseconds(100, 60_000).default(1_500),
        pairBoundMs: milliseconds(1_000, 86_400_000).default(4_200_000),
        startInFlightMs: milliseconds(100, 30_000).default(1_000),
    }).prefault({}),
    tasks: z.strictObject({
        leaseMs: milliseconds(1_000, 600_000).default(60_000),
        renewIntervalMs: milliseconds(100, 300_000).default(15_000),
        tickMs: milliseconds(1, 1_000).default(20),
    }).prefault({}),
    keys: z.strictObject({
        /** Time without a confirmation that no newer configuration exists, after which the known keys count as stale. */
        stalenessMs: milliseconds(1_000, 86_400_000).default(30_000),
        /** What protected queues do after that: refuse requests as "not run", or continue with the last known keys. */
        whenStale: z.enum(["refuse", "serve"]).default("refuse"),
    }).prefault({}),
    entry: z.strictObject({
        maxBodyBytes: z.int().min(1_024).max(4 * 1024 * 1024).default(1024 * 1024),
        maxConnections: z.int().min(1).max(65_536).default(4_096),
    }).prefault({}),
    operator: z.strictObject({
        /** SHA-256 of the token that operators send, in hexadecimal; without it anyone who reaches the port may write. */
        tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, "64 lower-case hexadecimal digits").optional(),
    }).prefault({}),
    shutdown: z.strictObject({
        /** Maximum duration of a graceful shutdown. */
        boundMs: milliseconds(100, 600_000).default(10_000),
    }).prefault({}),
    metrics: z.strictObject({
        /** StatsD address; without it no metrics are sent. */
        address: ipAddress,
        port,
        prefix: z.string().max(64).default("waxwingroute."),
    }).optional(),
    logs: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).prefault({}),
});

/** Validated settings with all defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
export type HostSettings = z.infer<typeof hostSchema>;
export type ZoneSettings = z.infer<typeof zoneSchema>;
