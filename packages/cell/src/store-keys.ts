/** Keys of the cell in the store, and the formats of their values. */
import type { ExecutorId, JobId, NetworkAddress, QueueId, TeamId } from "@waxwingroute/core";
import { createFailure, Err, isNetworkAddress, Ok, toId } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type {
    JobSpec,
    JobState,
    QueueRules,
    RemainingTasks,
    RunEnd,
    RunOutcome,
    TaskKey,
} from "@waxwingroute/workflow";
import { createHash } from "node:crypto";
import { z } from "zod";
import type { MachineId } from "./machine-manager.js";
import { decodeRemainingTasks, encodeRemainingTasks, remainingTasksSchema } from "./remaining-tasks.js";
import type { StoreItem } from "./store.js";

/** Prefix of `ownerKey` and `epochKey`. */
export const ownershipPrefix = "waxwing/lead/";
/** Record of the present owner, stored under its lease. */
export const ownerKey = "waxwing/lead/owner";
/** Epoch of the cell, raised by each acquisition; not under a lease. */
export const epochKey = "waxwing/lead/epoch";
/** Owners that may still send orders, the newest last; see `PossibleOwner`. */
export const possibleOwnersKey = "waxwing/lead/possible";
/** Executors that may hold runs of the cell. */
export const rosterKey = "waxwing/roster";
/** Prefix of job records and cancellations. */
export const jobPrefix = "waxwing/jobs/";
/** Prefix of the batches of run ends. */
export const runEndsPrefix = "waxwing/ends/";
/** Prefix of the keys that hold, for each maintenance wave, the machines whose service has begun. */
export const waveProgressPrefix = "waxwing/waves/";
/** Prefix of the cancellations of jobs that were not stored. Owners do not read them. */
export const earlyCancelPrefix = "waxwing/cancelled/";
const cancelSuffix = "/cancel";

/** An accepted job, or the final state of a finished one. */
export type JobRecord =
    | {
        readonly kind: "accepted";
        readonly queue: QueueId;
        readonly team: TeamId;
        readonly acceptedAtWallMs: number;
        /** Epoch of the cell at the acceptance; an owner of an earlier epoch must not start the job. */
        readonly epoch: number;
        /** Rules of the queue at the acceptance; the queue may be removed before the job has ended. */
        readonly queueRules?: QueueRules;
        /** Version of the configuration that has these rules; absent in records of earlier versions. */
        readonly queueRulesVersion?: number;
        readonly spec: JobSpec;
    }
    | FinishedJobRecord;

/** The final state of a job. */
export interface FinishedJobRecord {
    readonly kind: "finished";
    readonly state: JobState;
    readonly queue: QueueId;
    /** Absent in records of earlier versions. */
    readonly team?: TeamId;
    /**
     * The team of the job and the tasks of which executors could hold runs when it ended; absent if there were none, and
     * in records of earlier versions.
     */
    readonly remaining?: { readonly team: TeamId; readonly tasks: readonly RemainingTasks[]; };
}

/** The owner of the cell as `ownerKey` holds it. */
export interface OwnerRecord {
    /** Random id of the process. */
    readonly incarnation: string;
    readonly host: string;
    /** At which the other hosts reach the owner. */
    readonly address: NetworkAddress;
    readonly epoch: number;
    /** The lease of the store with which the record is removed; 0 in records of earlier versions. */
    readonly lease: number;
}

/** An owner that may send orders until an outage of the store has lasted `maxOutageMs`, though its lease has expired. */
export interface PossibleOwner {
    readonly epoch: number;
    /** Absent: not known, so that it cannot be asked. */
    readonly address?: NetworkAddress;
    /** Time after the end of its lease in which it sends orders, ms, by its own clock. */
    readonly maxOutageMs: number;
    /**
     * Age up to which it counts the answers of executors, ms: after its lease it sends orders only while more than half of
     * the executors have answered it. Absent: it depends on no answers, as earlier versions do.
     */
    readonly quorumMs?: number;
}

/** Largest relative difference between the rates of two clocks, as the platform documents it. */
export const clockRateBound = 0.02;

/** The value and the revision of `epochKey`; both are 0 before the first owner. */
export interface StoredEpoch {
    readonly epoch: number;
    readonly revision: number;
}

/** An executor that may hold runs of the cell. */
export interface RosterEntry {
    readonly executor: ExecutorId;
    readonly address: NetworkAddress;
    /** The only tasks that the executor can still hold, because it gets no new work. Absent: it can hold any task. */
    readonly tasks?: readonly TaskKey[];
    /** Epoch of the owner that added the executor; absent in records of earlier versions. */
    readonly addedIn?: number;
}

const addressSchema = z.custom<NetworkAddress>(isNetworkAddress, "must be <ip>:<port>");
const ownerSchema = z.object({
    incarnation: z.string(),
    host: z.string(),
    address: addressSchema,
    epoch: z.number().int(),
    lease: z.number().int().default(0),
});
const possibleOwnersSchema = z.array(z.object({
    epoch: z.number().int(),
    address: addressSchema.optional(),
    maxOutageMs: z.number().min(0),
    quorumMs: z.number().min(0).optional(),
}));
const rosterSchema = z.array(
    z.object({
        executor: z.string(),
        address: addressSchema,
        tasks: z.array(z.string()).optional(),
        addedIn: z.number().int().optional(),
    }),
);
const finishedSchema = z.object({
    state: z.enum(["succeeded", "failed", "cancelled"]),
    queue: z.string(),
    // Earlier versions take a value with the field `team` for an accepted job.
    jobTeam: z.string().optional(),
    // A later version may store it in another form; the state of the job counts all the same.
    remaining: z.object({ team: z.string(), tasks: remainingTasksSchema }).optional().catch(undefined),
});
const jobSchema = z.union([
    finishedSchema,
    z.object({
        queue: z.string(),
        team: z.string(),
        at: z.number(),
        epoch: z.number().default(0),
        rules: z.custom<QueueRules>(isQueueRules).optional(),
        rulesVersion: z.number().optional(),
        spec: z.custom<JobSpec>(isJobSpec),
    }),
]);
const machinesSchema = z.array(z.string().transform(name => toId<MachineId>(name)));
const endsSchema = z.array(z.tuple([z.string(), z.string(), z.number(), z.string(), z.string()]));

/** Length of the hash of a team in a key; names may be longer than a key. */
const teamDigits = 16;
/** Number of prefixes over which jobs are spread, so that a new owner reads them concurrently, not page by page. */
const bucketCount = 16;

/** Returns the prefixes that together cover all jobs. With `bucketCount` as the radix, a bucket is a single digit. */
export function listJobPrefixes(): string[] {
    return Array.from({ length: bucketCount }, (_, bucket) => `${jobPrefix}${bucket.toString(bucketCount)}/`);
}

/** Returns the key of the job's record. */
export function toJobKey(job: JobId): string {
    return `${jobPrefix}${computeBucket(job)}/${job}`;
}

/** Returns the key that exists once the job has been cancelled. */
export function toCancelKey(job: JobId): string {
    return toJobKey(job) + cancelSuffix;
}

/**
 * Returns the key that exists once a team has cancelled a job that was not stored. It has the team, so that no team can
 * keep the jobs of another one from being stored.
 */
export function toEarlyCancelKey(job: JobId, team: TeamId): string {
    return `${earlyCancelPrefix}${job}/${createHash("sha256").update(team).digest("hex").slice(0, teamDigits)}`;
}

/** Assigns a job to a bucket by the sum of its character codes, which spreads random ids evenly enough. */
function computeBucket(job: JobId): string {
    let sum = 0;
    for (let index = 0; index < job.length; index++) {
        sum += job.charCodeAt(index);
    }
    return (sum % bucketCount).toString(bucketCount);
}

/** Returns the job of a key below `jobPrefix` and whether the key is that of its cancellation. */
export function parseJobKey(key: string): { readonly job: JobId; readonly isCancel: boolean; } {
    const isCancel = key.endsWith(cancelSuffix);
    const end = isCancel ? -cancelSuffix.length : undefined;
    // The bucket and the slash after it take two characters.
    return { job: toId<JobId>(key.slice(jobPrefix.length + 2, end)), isCancel };
}

/** Returns the key of a batch of run ends. Keys sort by epoch and then by batch number. */
export function toRunEndsKey(epoch: number, batchNumber: number): string {
    return `${runEndsPrefix}${String(epoch).padStart(10, "0")}-${String(batchNumber).padStart(10, "0")}`;
}

/** Returns the stored form of an accepted job. */
export function encodeAcceptedJob(record: Extract<JobRecord, { kind: "accepted"; }>): string {
    return JSON.stringify({
        queue: record.queue,
        team: record.team,
        at: record.acceptedAtWallMs,
        epoch: record.epoch,
        rules: record.queueRules,
        rulesVersion: record.queueRulesVersion,
        spec: record.spec,
    });
}

/** Returns the stored form of a finished job. Earlier versions ignore the remaining tasks. */
export function encodeFinishedJob({ state, queue, team, remaining }: Omit<FinishedJobRecord, "kind">): string {
    return JSON.stringify({
        state,
        queue,
        jobTeam: team,
        remaining: remaining === undefined ? undefined : {
            team: remaining.team,
            tasks: encodeRemainingTasks(remaining.tasks),
        },
    });
}

/** Decodes the record of an accepted or finished job. */
export function decodeJobRecord(text: string): Result<JobRecord, Failure> {
    const parsed = parseValue(jobSchema, text);
    if (!parsed.ok) {
        return parsed;
    }
    const value = parsed.val;
    return "state" in value
        ? Ok(decodeFinishedJob(value))
        : Ok({
            kind: "accepted" as const,
            queue: toId<QueueId>(value.queue),
            team: toId<TeamId>(value.team),
            acceptedAtWallMs: value.at,
            epoch: value.epoch,
            queueRules: value.rules,
            queueRulesVersion: value.rulesVersion,
            spec: value.spec,
        });
}

function decodeFinishedJob(value: z.infer<typeof finishedSchema>): FinishedJobRecord {
    const { jobTeam, remaining } = value;
    return {
        kind: "finished",
        state: value.state,
        queue: toId<QueueId>(value.queue),
        ...jobTeam === undefined ? {} : { team: toId<TeamId>(jobTeam) },
        remaining: remaining === undefined ? undefined : {
            team: toId<TeamId>(remaining.team),
            tasks: decodeRemainingTasks(remaining.tasks),
        },
    };
}

/** Returns the stored form of the owner record. */
export function encodeOwner(record: OwnerRecord): string {
    return JSON.stringify(record);
}

/** Decodes the item of `epochKey`; `undefined` if the key does not exist. */
export function decodeEpoch(item: StoreItem | undefined): StoredEpoch {
    return { epoch: item === undefined ? 0 : Number(item.value), revision: item?.revision ?? 0 };
}

/** Decodes the value of `ownerKey`. */
export function decodeOwner(text: string): Result<OwnerRecord, Failure> {
    return parseValue(ownerSchema, text);
}

/** Returns the stored form of the owners that may still send orders. */
export function encodePossibleOwners(owners: readonly PossibleOwner[]): string {
    return JSON.stringify(owners);
}

/** Decodes the value of `possibleOwnersKey`. */
export function decodePossibleOwners(text: string): Result<PossibleOwner[], Failure> {
    return parseValue(possibleOwnersSchema, text);
}

/** Returns the stored form of the executor roster. */
export function encodeRoster(entries: readonly RosterEntry[]): string {
    return JSON.stringify(entries);
}

/** Decodes the value of `rosterKey`. */
export function decodeRoster(text: string): Result<RosterEntry[], Failure> {
    const parsed = parseValue(rosterSchema, text);
    return parsed.ok
        ? Ok(parsed.val.map(entry => ({
            executor: toId<ExecutorId>(entry.executor),
            address: entry.address,
            tasks: entry.tasks?.map(task => toId<TaskKey>(task)),
            addedIn: entry.addedIn,
        })))
        : parsed;
}

/** Returns the stored form of a batch of run ends. */
export function encodeRunEnds(ends: readonly RunEnd[]): string {
    return JSON.stringify(ends.map(end => [end.executor, end.task, end.run, end.outcome, end.checkpoint]));
}

/** Decodes a batch of run ends. */
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

/** Returns the key of the machines of a wave whose service has begun. */
export function toWaveProgressKey(wave: number): string {
    return `${waveProgressPrefix}${wave}`;
}

/** Returns the stored form of the machines of a wave whose service has begun. */
export function encodeWaveProgress(machines: readonly MachineId[]): string {
    return JSON.stringify(machines);
}

/** Decodes the machines of a wave whose service has begun. */
export function decodeWaveProgress(text: string): Result<readonly MachineId[], Failure> {
    return parseValue(machinesSchema, text);
}

/** Job specifications were validated before they were stored; this only distinguishes them from other values. */
function isJobSpec(value: unknown): boolean {
    return typeof value === "object" && value !== null && "payload" in value && "steps" in value
        && Array.isArray(value.steps);
}

/** Rules were validated with their configuration, as specifications were with the submission. */
function isQueueRules(value: unknown): boolean {
    return typeof value === "object" && value !== null && "queue" in value && "pool" in value;
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
    return createFailure("store-invalid-value", `a value that the cell stored cannot be decoded: ${reason}`, "ran");
}
