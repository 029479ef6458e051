/**
 * The stored form of the journal: its keys, and entries, checkpoint parts and the manifest as JSON with a version.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, HostId, JobId, Result, ShardId } from "@waxwingroute/core";
import { z } from "zod";
import { journalOutcomes } from "./types.js";
import type { IndexRange, JournalJob, JournalOutcome, JournalRecord } from "./types.js";

export const journalVersion = 1;

/** Digits of a sequence number in a key, so that keys sort by it. At 10 commits per second they last 3,000 years. */
const sequenceDigits = 12;

/** An entry of the journal: a batch of records that was committed at once. */
export interface JournalEntry {
    readonly epoch: number;
    readonly records: readonly JournalRecord[];
}

/** The value of the manifest key, which names the newest complete checkpoint. */
export interface CheckpointManifest {
    /** Sequence number of the last entry that the checkpoint contains. */
    readonly through: number;
    /** Name of the checkpoint in the keys of its parts. */
    readonly checkpoint: string;
    /** Number of parts. */
    readonly parts: number;
}

/**
 * A part of a checkpoint. Outcomes are separate items, several for one job if needed, because the ranges of a large job
 * can exceed the maximum length of a value.
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

/** Returns the prefix of all keys of a shard's journal. */
export function getJournalPrefix(shard: ShardId): string {
    return `journal/${shard}/`;
}

/** Returns the key of an entry. */
export function getEntryKey(shard: ShardId, sequence: number): string {
    return `${getJournalPrefix(shard)}entry/${String(sequence).padStart(sequenceDigits, "0")}`;
}

/** Returns the key of the manifest. */
export function getManifestKey(shard: ShardId): string {
    return `${getJournalPrefix(shard)}manifest`;
}

/** Returns the key of a part, numbered from 0, of a checkpoint. */
export function getCheckpointPartKey(shard: ShardId, checkpoint: string, part: number): string {
    return `${getJournalPrefix(shard)}checkpoint/${checkpoint}/${String(part).padStart(4, "0")}`;
}

/** Returns the sequence number in the key of an entry; `undefined` for other keys. */
export function parseEntryKey(shard: ShardId, key: string): number | undefined {
    const prefix = `${getJournalPrefix(shard)}entry/`;
    return key.startsWith(prefix) ? Number(key.slice(prefix.length)) : undefined;
}

/** Returns whether the key is that of a part of any checkpoint. */
export function isCheckpointPartKey(shard: ShardId, key: string): boolean {
    return key.startsWith(`${getJournalPrefix(shard)}checkpoint/`);
}

/** Encodes a record. Fails with `journal-bad-record` if recovery could not read it. */
export function encodeRecord(record: JournalRecord): Result<string, Failure> {
    const checked = recordSchema.safeParse(record);
    if (!checked.success) {
        const message = `a ${record.kind} record cannot be stored in the journal: ${z.prettifyError(checked.error)}`;
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

/** Encodes the content of an entry or a manifest as a value with the version. */
export function encodeValue(content: object): string {
    return JSON.stringify({ version: journalVersion, ...content });
}

/** Parses the value of an entry. Fails with `journal-damaged` or `journal-newer-version`. */
export function parseEntry(key: string, value: string): Result<JournalEntry, Failure> {
    return parseValue(key, value, entrySchema);
}

/** Parses the value of the manifest. Fails with `journal-damaged` or `journal-newer-version`. */
export function parseManifest(key: string, value: string): Result<CheckpointManifest, Failure> {
    return parseValue(key, value, manifestSchema);
}

/** Parses the value of a checkpoint part. Fails with `journal-damaged` or `journal-newer-version`. */
export function parseCheckpointPart(key: string, value: string): Result<CheckpointPart, Failure> {
    return parseValue(key, value, partSchema).map(({ jobs, outcomes }) => ({
        jobs: jobs.map(row => ({ ...row, cancelledAt: row.cancelledAt, finished: row.finished })),
        outcomes,
    }));
}

/** Returns the failure for content that this program cannot read. The content is left unchanged. */
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
