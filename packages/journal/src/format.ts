/**
 * The stored form of the journal: keys, entries, checkpoint parts and the manifest, all JSON with a version.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, HostId, JobId, Result, ShardId } from "@waxwingroute/core";
import { z } from "zod";
import { journalOutcomes } from "./types.js";
import type { IndexRange, JournalJob, JournalOutcome, JournalRecord } from "./types.js";

export const journalVersion = 1;

/** Digits of a sequence number in a key, so that keys sort by number. At 10 commits per second they last 3,000 years. */
const sequenceDigits = 12;

/** A batch of records. */
export interface JournalEntry {
    readonly epoch: number;
    readonly records: readonly JournalRecord[];
}

/** Names the newest complete checkpoint. */
export interface CheckpointManifest {
    /** Last sequence number whose records the checkpoint contains. */
    readonly through: number;
    readonly checkpoint: string;
    readonly parts: number;
}

/**
 * A part of a checkpoint. Outcomes stand apart from jobs in pieces, because the ranges of one large job can exceed a value.
 */
export interface CheckpointPart {
    readonly jobs: readonly Omit<JournalJob, "outcomes">[];
    readonly outcomes: readonly {
        readonly job: JobId;
        readonly outcome: JournalOutcome;
        readonly ranges: readonly IndexRange[];
    }[];
}

const job = z.string().min(1).transform(value => value as JobId);
const time = z.number();
const range = z.tuple([z.number().int().nonnegative(), z.number().int().nonnegative()])
    .refine(([first, last]) => first <= last, "the first index is above the last");
const outcome = z.enum(journalOutcomes);

const recordSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("jobAccepted"), job, spec: z.unknown(), at: time }),
    z.object({ kind: z.literal("windowReserved"), job, startedThrough: z.number().int().nonnegative() }),
    z.object({ kind: z.literal("outcomesRecorded"), job, outcome, ranges: z.array(range) }),
    z.object({ kind: z.literal("jobCancelled"), job, at: time }),
    z.object({ kind: z.literal("jobFinished"), job, state: z.string(), at: time }),
    z.object({
        kind: z.literal("epochBegun"),
        epoch: z.number().int().positive(),
        host: z.string().transform(value => value as HostId),
        at: time,
    }),
]);

const entrySchema = z.object({ epoch: z.number().int().positive(), records: z.array(recordSchema) });
const manifestSchema = z.object({
    through: z.number().int().nonnegative(),
    checkpoint: z.string().min(1),
    parts: z.number().int().nonnegative(),
});
const jobSchema = z.object({
    job,
    spec: z.unknown(),
    acceptedAt: time,
    startedThrough: z.number().int().nonnegative(),
    cancelledAt: time.optional(),
    finished: z.object({ state: z.string(), at: time }).optional(),
});
const outcomesSchema = z.object({ job, outcome, ranges: z.array(range) });
const partSchema = z.object({ jobs: z.array(jobSchema), outcomes: z.array(outcomesSchema) });

export function getJournalPrefix(shard: ShardId): string {
    return `journal/${shard}/`;
}

export function getEntryKey(shard: ShardId, sequence: number): string {
    return `${getJournalPrefix(shard)}entry/${String(sequence).padStart(sequenceDigits, "0")}`;
}

export function getManifestKey(shard: ShardId): string {
    return `${getJournalPrefix(shard)}manifest`;
}

export function getCheckpointPartKey(shard: ShardId, checkpoint: string, part: number): string {
    return `${getJournalPrefix(shard)}checkpoint/${checkpoint}/${String(part).padStart(4, "0")}`;
}

/** Returns the sequence number of an entry key; `undefined` for other keys. */
export function parseEntryKey(shard: ShardId, key: string): number | undefined {
    const prefix = `${getJournalPrefix(shard)}entry/`;
    return key.startsWith(prefix) ? Number(key.slice(prefix.length)) : undefined;
}

/** Returns whether the key belongs to a checkpoint. */
export function isCheckpointPartKey(shard: ShardId, key: string): boolean {
    return key.startsWith(`${getJournalPrefix(shard)}checkpoint/`);
}

/** Encodes a record. Fails with `journal-bad-record` for one that recovery could not read. */
export function encodeRecord(record: JournalRecord): Result<string, Failure> {
    const checked = recordSchema.safeParse(record);
    if (!checked.success) {
        const message = `a ${record.kind} record cannot be journalled: ${z.prettifyError(checked.error)}`;
        return Err(createFailure("journal-bad-record", message, "notRun"));
    }
    try {
        return Ok(JSON.stringify(record));
    }
    catch (error) {
        const message = `the specification of a job is not a JSON value: ${String(error)}`;
        return Err(createFailure("journal-bad-record", message, "notRun"));
    }
}

/** Encodes the content of an entry, a checkpoint part or a manifest. */
export function encodeValue(content: object): string {
    return JSON.stringify({ version: journalVersion, ...content });
}

export function parseEntry(key: string, value: string): Result<JournalEntry, Failure> {
    return parseValue(key, value, entrySchema);
}

export function parseManifest(key: string, value: string): Result<CheckpointManifest, Failure> {
    return parseValue(key, value, manifestSchema);
}

export function parseCheckpointPart(key: string, value: string): Result<CheckpointPart, Failure> {
    return parseValue(key, value, partSchema).map(({ jobs, outcomes }) => ({
        jobs: jobs.map(row => ({ ...row, cancelledAt: row.cancelledAt, finished: row.finished })),
        outcomes,
    }));
}

/** The journal contains something that this program cannot read. It is left as it is. */
export function createDamagedFailure(message: string): Failure {
    return createFailure("journal-damaged", message, "notRun");
}

function parseValue<T>(key: string, value: string, schema: z.ZodType<T>): Result<T, Failure> {
    const json = parseJson(value);
    const version = z.object({ version: z.number().int().positive() }).safeParse(json);
    if (!version.success) {
        return Err(createDamagedFailure(`"${key}" is damaged: it is not a JSON object with a version`));
    }
    if (version.data.version > journalVersion) {
        return Err(createFailure(
            "journal-newer-version",
            `"${key}" has version ${version.data.version}; this program reads versions up to ${journalVersion}`,
            "notRun",
        ));
    }
    const parsed = schema.safeParse(json);
    return parsed.success
        ? Ok(parsed.data)
        : Err(createDamagedFailure(`"${key}" is damaged: ${z.prettifyError(parsed.error)}`));
}

function parseJson(value: string): unknown {
    try {
        return JSON.parse(value);
    }
    catch {
        return undefined;
    }
}
