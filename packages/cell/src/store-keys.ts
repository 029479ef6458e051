/** Keys that the cell owns in the store, and the formats of their values. */
import type { ExecutorId, JobId, QueueId, TeamId } from "@waxwingroute/core";
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { JobSpec, JobState, RunEnd, RunOutcome, TaskKey } from "@waxwingroute/workflow";
import { z } from "zod";
import type { MachineId } from "./machine-manager.js";
import type { StoreItem } from "./store.js";

/** Prefix of the keys that say who owns the cell. */
export const ownershipPrefix = "waxwing/lead/";
/** Held under the lease of the owner. */
export const ownerKey = "waxwing/lead/owner";
/** Counts the owners; not under a lease. */
export const epochKey = "waxwing/lead/epoch";
/** Executors that may hold runs of the cell. */
export const rosterKey = "waxwing/roster";
export const jobPrefix = "waxwing/jobs/";
export const runEndsPrefix = "waxwing/ends/";
/** For each maintenance wave the machines whose service has begun. */
export const waveProgressPrefix = "waxwing/waves/";
const cancelSuffix = "/cancel";

/** An accepted job, or how a finished one ended. */
export type JobRecord =
    | {
        readonly kind: "accepted";
        readonly queue: QueueId;
        readonly team: TeamId;
        readonly acceptedAtWallMs: number;
        /** Epoch of the cell in which the job was accepted: no owner of an earlier epoch may start it. */
        readonly epoch: number;
        readonly spec: JobSpec;
    }
    | { readonly kind: "finished"; readonly state: JobState; readonly queue: QueueId; };

export interface OwnerRecord {
    /** Random id of the process. */
    readonly incarnation: string;
    readonly host: string;
    /** `<ip>:<port>` for the other hosts of the cell. */
    readonly address: string;
    readonly epoch: number;
}

/** The epoch of the cell as its key holds it; both are 0 before the first owner. */
export interface StoredEpoch {
    readonly epoch: number;
    readonly revision: number;
}

export interface RosterEntry {
    readonly executor: ExecutorId;
    readonly address: string;
    /** The only tasks that it can still hold, because it gets no work any more. Absent: it can hold any. */
    readonly tasks?: readonly TaskKey[];
}

const ownerSchema = z.object({
    incarnation: z.string(),
    host: z.string(),
    address: z.string(),
    epoch: z.number().int(),
});
const rosterSchema = z.array(
    z.object({ executor: z.string(), address: z.string(), tasks: z.array(z.string()).optional() }),
);
const jobSchema = z.union([
    z.object({ state: z.enum(["succeeded", "failed", "cancelled"]), queue: z.string() }),
    z.object({
        queue: z.string(),
        team: z.string(),
        at: z.number(),
        epoch: z.number().default(0),
        spec: z.custom<JobSpec>(isJobSpec),
    }),
]);
const machinesSchema = z.array(z.string().transform(name => toId<MachineId>(name)));
const endsSchema = z.array(z.tuple([z.string(), z.string(), z.number(), z.string(), z.string()]));

/** Parts of the jobs, so that a new owner reads them at the same time and not page by page. */
const bucketCount = 16;

/** Returns the prefixes that together hold all jobs. */
export function listJobPrefixes(): string[] {
    return Array.from({ length: bucketCount }, (_, bucket) => `${jobPrefix}${bucket.toString(bucketCount)}/`);
}

export function toJobKey(job: JobId): string {
    return `${jobPrefix}${computeBucket(job)}/${job}`;
}

export function toCancelKey(job: JobId): string {
    return toJobKey(job) + cancelSuffix;
}

/** Spreads jobs over the buckets by the sum of their characters, which is even enough for random ids. */
function computeBucket(job: JobId): string {
    let sum = 0;
    for (let index = 0; index < job.length; index++) {
        sum += job.charCodeAt(index);
    }
    return (sum % bucketCount).toString(bucketCount);
}

/** Splits a key below `jobPrefix`. */
export function parseJobKey(key: string): { readonly job: JobId; readonly isCancel: boolean; } {
    const isCancel = key.endsWith(cancelSuffix);
    const end = isCancel ? -cancelSuffix.length : undefined;
    return { job: toId<JobId>(key.slice(jobPrefix.length + 2, end)), isCancel };
}

/** Returns the key of a batch of ends; keys sort by epoch and number. */
export function toRunEndsKey(epoch: number, number: number): string {
    return `${runEndsPrefix}${String(epoch).padStart(10, "0")}-${String(number).padStart(10, "0")}`;
}

export function encodeAcceptedJob(record: Extract<JobRecord, { kind: "accepted"; }>): string {
    return JSON.stringify({
        queue: record.queue,
        team: record.team,
        at: record.acceptedAtWallMs,
        epoch: record.epoch,
        spec: record.spec,
    });
}

export function encodeFinishedJob(state: JobState, queue: QueueId): string {
    return JSON.stringify({ state, queue });
}

export function decodeJobRecord(text: string): Result<JobRecord, Failure> {
    const parsed = parseValue(jobSchema, text);
    if (!parsed.ok) {
        return parsed;
    }
    const value = parsed.val;
    return "state" in value
        ? Ok({ kind: "finished" as const, state: value.state, queue: toId<QueueId>(value.queue) })
        : Ok({
            kind: "accepted" as const,
            queue: toId<QueueId>(value.queue),
            team: toId<TeamId>(value.team),
            acceptedAtWallMs: value.at,
            epoch: value.epoch,
            spec: value.spec,
        });
}

export function encodeOwner(record: OwnerRecord): string {
    return JSON.stringify(record);
}

/** Reads the epoch from the item of `epochKey`; `undefined` stands for a key that does not exist. */
export function decodeEpoch(item: StoreItem | undefined): StoredEpoch {
    return { epoch: item === undefined ? 0 : Number(item.value), revision: item?.revision ?? 0 };
}

export function decodeOwner(text: string): Result<OwnerRecord, Failure> {
    return parseValue(ownerSchema, text);
}

export function encodeRoster(entries: readonly RosterEntry[]): string {
    return JSON.stringify(entries);
}

export function decodeRoster(text: string): Result<RosterEntry[], Failure> {
    const parsed = parseValue(rosterSchema, text);
    return parsed.ok
        ? Ok(parsed.val.map(entry => ({
            executor: toId<ExecutorId>(entry.executor),
            address: entry.address,
            tasks: entry.tasks?.map(task => toId<TaskKey>(task)),
        })))
        : parsed;
}

export function encodeRunEnds(ends: readonly RunEnd[]): string {
    return JSON.stringify(ends.map(end => [end.executor, end.task, end.run, end.outcome, end.checkpoint]));
}

export function decodeRunEnds(text: string): Result<RunEnd[], Failure> {
    const parsed = parseValue(endsSchema, text);
    return parsed.ok
        ? Ok(parsed.val.map(([executor, task, run, outcome, checkpoint]) => ({
            executor: toId<ExecutorId>(executor),
            task: toId<TaskKey>(task),
            run,
            outcome: outcome as RunOutcome,
            checkpoint,
        })))
        : parsed;
}

export function toWaveProgressKey(wave: number): string {
    return `${waveProgressPrefix}${wave}`;
}

export function encodeWaveProgress(machines: readonly MachineId[]): string {
    return JSON.stringify(machines);
}

export function decodeWaveProgress(text: string): Result<readonly MachineId[], Failure> {
    return parseValue(machinesSchema, text);
}

/** Job specifications were checked before they were stored; this only tells them from other values. */
function isJobSpec(value: unknown): boolean {
    return typeof value === "object" && value !== null && "payload" in value && "steps" in value
        && Array.isArray(value.steps);
}

function parseValue<T>(schema: z.ZodType<T, unknown>, text: string): Result<T, Failure> {
    try {
        const checked = schema.safeParse(JSON.parse(text));
        return checked.success ? Ok(checked.data) : Err(createInvalidValueFailure(z.prettifyError(checked.error)));
    }
    catch (error) {
        return Err(createInvalidValueFailure(String(error)));
    }
}

function createInvalidValueFailure(reason: string): Failure {
    return createFailure("store-invalid-value", `a value of the cell cannot be read: ${reason}`, "ran");
}
