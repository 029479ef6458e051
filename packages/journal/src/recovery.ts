/**
 * Reads a journal: loads the newest checkpoint and replays the entries after it.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result, ShardId } from "@waxwingroute/core";
import type { Store, StoreEntry } from "@waxwingroute/platform";
import {
    createDamagedFailure,
    getCheckpointPartKey,
    getJournalPrefix,
    getManifestKey,
    isCheckpointPartKey,
    parseCheckpointPart,
    parseEntry,
    parseEntryKey,
    parseManifest,
} from "./format.js";
import type { CheckpointManifest } from "./format.js";
import { applyJournalRecord, createJobTable } from "./job-table.js";
import type { JobTable } from "./job-table.js";

/** A key of an entry or a checkpoint part, which a later checkpoint can replace. */
export interface StoredKey {
    readonly key: string;
    readonly revision: number;
}

/** A stored entry. The first entry of an epoch is a fence, which checkpoints keep: see `Checkpointer`. */
export interface StoredEntry extends StoredKey {
    readonly sequence: number;
    readonly isFence: boolean;
}

/** A journal as read at one store revision. */
export interface JournalContent {
    readonly table: JobTable;
    readonly manifest: { readonly value: CheckpointManifest; readonly revision: number; } | undefined;
    /** All stored entries, including those that the checkpoint contains. */
    readonly entries: readonly StoredEntry[];
    /** All stored checkpoint parts, including those of other checkpoints than the manifest's. */
    readonly parts: readonly StoredKey[];
    /** Sequence number of the newest entry; 0 for an empty journal. */
    readonly lastSequence: number;
    /** Epoch of the newest entry; 0 for an empty journal. */
    readonly lastEpoch: number;
    /** Length of all values in characters. */
    readonly totalLength: number;
}

/**
 * Reads a journal without fencing its writer. It is one range read, so that a concurrent checkpoint of an earlier
 * writer cannot delete parts in between. Fails with `journal-damaged`, `journal-newer-version` or the failure of the
 * store.
 */
export async function readJournal(store: Store, shard: ShardId): Promise<Result<JournalContent, Failure>> {
    const range = await store.readRange(getJournalPrefix(shard));
    if (!range.ok) {
        return Err({ ...range.val, verdict: "notRun" });
    }
    return parseJournal(shard, range.val.entries);
}

function parseJournal(shard: ShardId, values: readonly StoreEntry[]): Result<JournalContent, Failure> {
    const table = createJobTable();
    const manifestValue = values.find(value => value.key === getManifestKey(shard));
    const manifest = manifestValue === undefined ? undefined : parseManifest(manifestValue.key, manifestValue.value);
    if (manifest !== undefined && !manifest.ok) {
        return Err(manifest.val);
    }
    const loaded = manifest === undefined ? Ok(undefined) : applyCheckpoint(shard, manifest.val, values, table);
    if (!loaded.ok) {
        return Err(loaded.val);
    }
    const replayed = replayEntries(shard, manifest?.val.through ?? 0, values, table);
    return replayed.map(({ entries, lastSequence, lastEpoch }) => ({
        table,
        manifest: manifest === undefined || manifestValue === undefined
            ? undefined
            : { value: manifest.val, revision: manifestValue.revision },
        entries,
        parts: values.filter(value => isCheckpointPartKey(shard, value.key)).map(({ key, revision }) => ({
            key,
            revision,
        })),
        lastSequence,
        lastEpoch,
        totalLength: values.reduce((sum, value) => sum + value.value.length, 0),
    }));
}

/** Loads the jobs of the manifest's checkpoint into the table. */
function applyCheckpoint(
    shard: ShardId,
    manifest: CheckpointManifest,
    values: readonly StoreEntry[],
    table: JobTable,
): Result<undefined, Failure> {
    const valuesByKey = new Map(values.map(value => [value.key, value.value]));
    const outcomes = [];
    for (let partNumber = 0; partNumber < manifest.parts; partNumber++) {
        const key = getCheckpointPartKey(shard, manifest.checkpoint, partNumber);
        const value = valuesByKey.get(key);
        const part = value === undefined
            ? Err(createDamagedFailure(`checkpoint part "${key}" is missing`))
            : parseCheckpointPart(key, value);
        if (!part.ok) {
            return Err(part.val);
        }
        for (const row of part.val.jobs) {
            table.set(row.job, { ...row, outcomes: {} });
        }
        outcomes.push(...part.val.outcomes);
    }
    for (const item of outcomes) {
        applyJournalRecord(table, { kind: "outcomesRecorded", ...item });
    }
    return Ok(undefined);
}

interface ReplayedEntries {
    readonly entries: readonly StoredEntry[];
    readonly lastSequence: number;
    readonly lastEpoch: number;
}

/** Applies the entries after `through` to the table. Fails with `journal-damaged` if one of them is missing. */
function replayEntries(
    shard: ShardId,
    through: number,
    values: readonly StoreEntry[],
    table: JobTable,
): Result<ReplayedEntries, Failure> {
    const entries: StoredEntry[] = [];
    let lastSequence = through;
    let lastEpoch = 0;
    for (const { key, value, revision } of values) {
        const sequence = parseEntryKey(shard, key);
        if (sequence === undefined) {
            continue;
        }
        const entry = parseEntry(key, value);
        if (!entry.ok) {
            return Err(entry.val);
        }
        const isFence = entry.val.records.some(record => record.kind === "epochBegun");
        entries.push({ key, revision, sequence, isFence });
        lastEpoch = Math.max(lastEpoch, entry.val.epoch);
        if (sequence > through) {
            if (sequence !== lastSequence + 1) {
                return Err(
                    createDamagedFailure(
                        `the entries between ${lastSequence} and ${sequence} of the journal of "${shard}" are missing`,
                    ),
                );
            }
            entry.val.records.forEach(record => applyJournalRecord(table, record));
            lastSequence = sequence;
        }
    }
    return Ok({ entries, lastSequence, lastEpoch });
}

/** Returns the failure of a writer whose epoch has ended because a later owner has written to the journal. */
export function createFencedFailure(shard: ShardId, epoch: number, newerEpoch: number | undefined): Failure {
    const newer = newerEpoch === undefined ? "another writer" : `epoch ${newerEpoch}`;
    return createFailure(
        "journal-fenced",
        `the journal of "${shard}" belongs to ${newer}, not to epoch ${epoch}`,
        "notRun",
    );
}
