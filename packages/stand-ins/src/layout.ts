/**
 * The layout of a stand-in process: which zones, workers and executors it serves, and on which ports.
 */
import type { ExecutorId, QueueId, RackId, Result, WorkerId, ZoneId } from "@waxwingroute/core";
import { Err, Ok } from "@waxwingroute/core";
import type { ExecutorAddress, WorkerAddress } from "@waxwingroute/platform";
import { wire } from "@waxwingroute/platform";
import { z } from "zod";

const portSchema = z.number().int().min(0).max(65_535);
const countSchema = z.number().int().min(0).max(20_000);

/** Identical workers of one zone: `<zone>-worker-<n>` on consecutive ports. */
const workersSchema = z.strictObject({
    count: countSchema,
    /** Port of the first worker; 0 gives each worker any free port. Default 0. */
    firstPort: portSchema.default(0),
    /** Workers per rack (`<zone>-rack-<n>`). Default 8. */
    perRack: z.number().int().min(1).default(8),
    capacity: wire.resourceVectorSchema,
});

/** Identical executors of one zone: `<zone>-executor-<n>` on consecutive ports. */
const executorsSchema = z.strictObject({
    count: countSchema,
    /** Port of the first executor; 0 gives each executor any free port. Default 0. */
    firstPort: portSchema.default(0),
    /** Maximum number of concurrent requests. Default 8. */
    slots: z.number().int().min(1).default(8),
    /** Maximum number of open connections. Default 64. */
    connections: z.number().int().min(1).default(64),
    /** Queues served; empty for all. Default empty. */
    queues: z.array(z.string().min(1)).default([]),
});

/** Schema of a layout file. */
export const layoutSchema = z.strictObject({
    /** IP address of all servers. Default `127.0.0.1`. */
    host: z.string().default("127.0.0.1"),
    /** Ports; 0 for any free port. Default 0. */
    ports: z.strictObject({
        store: portSchema.default(0),
        hostList: portSchema.default(0),
        control: portSchema.default(0),
    }).default({ store: 0, hostList: 0, control: 0 }),
    /** Milliseconds until the host list shows a change. Default 5,000. */
    hostListLagMs: z.number().min(0).default(5_000),
    /** Milliseconds from the start of a task until its usage is reported. Default 2,000. */
    usageLagMs: z.number().min(0).default(2_000),
    zones: z.array(z.strictObject({
        zone: z.string().min(1),
        workers: workersSchema.optional(),
        executors: executorsSchema.optional(),
    })).min(1),
});

/** A validated layout, with all defaults filled in. */
export type Layout = z.infer<typeof layoutSchema>;
/** A layout as written in a file, where properties with defaults may be missing. */
export type LayoutInput = z.input<typeof layoutSchema>;

/** A worker before its URL is known; port 0 means any free port. */
export type PlannedWorker = Omit<WorkerAddress, "url"> & { readonly port: number; };
/** An executor before its URL is known; port 0 means any free port. */
export type PlannedExecutor = Omit<ExecutorAddress, "url"> & { readonly port: number; };

/** Parses a layout from JSON text; the error names the invalid properties. */
export function parseLayout(text: string): Result<Layout, string> {
    let content: unknown;
    try {
        content = JSON.parse(text);
    }
    catch (error) {
        return Err(error instanceof Error ? error.message : String(error));
    }
    const checked = layoutSchema.safeParse(content);
    return checked.success ? Ok(checked.data) : Err(z.prettifyError(checked.error));
}

/** Lists the workers of a layout in order of zone and index. */
export function planWorkers(layout: Layout): readonly PlannedWorker[] {
    return layout.zones.flatMap(({ zone, workers }) =>
        Array.from({ length: workers?.count ?? 0 }, (_, index) => ({
            worker: `${zone}-worker-${index}` as WorkerId,
            zone: zone as ZoneId,
            rack: `${zone}-rack-${Math.floor(index / (workers?.perRack ?? 1))}` as RackId,
            capacity: workers?.capacity ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
            port: computePort(workers?.firstPort ?? 0, index),
        }))
    );
}

/** Lists the executors of a layout in order of zone and index. */
export function planExecutors(layout: Layout): readonly PlannedExecutor[] {
    return layout.zones.flatMap(({ zone, executors }) =>
        Array.from({ length: executors?.count ?? 0 }, (_, index) => ({
            executor: `${zone}-executor-${index}` as ExecutorId,
            zone: zone as ZoneId,
            slots: executors?.slots ?? 0,
            connections: executors?.connections ?? 1,
            queues: (executors?.queues ?? []) as QueueId[],
            port: computePort(executors?.firstPort ?? 0, index),
        }))
    );
}

function computePort(firstPort: number, index: number): number {
    return firstPort === 0 ? 0 : firstPort + index;
}
