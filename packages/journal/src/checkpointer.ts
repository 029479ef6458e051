/**
 * Replaces old entries of a journal by checkpoints.
 *
 * A checkpoint consists of parts, which count only once the manifest names them. Entries that it contains are deleted, but
 * for fences: a deposed writer that resumes after a long pause must find the sequence number after its last entry taken.
 */
import { Ok, toId } from "@waxwingroute/core";
import type { Clock, Failure, RandomSource, Result, ShardId, WriterToken } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { encodeValue, getCheckpointPartKey, getManifestKey, journalVersion, parseManifest } from "./format.js";
import type { CheckpointManifest, CheckpointPart } from "./format.js";
import { pruneFinishedJobs } from "./job-table.js";
import type { JobTable, Retention } from "./job-table.js";
import type { JournalContent, StoredEntry, StoredKey } from "./recovery.js";
import { journalOutcomes } from "./types.js";
import type { JournalJob } from "./types.js";

/** Ranges in one piece of outcomes: at most about 40 KB of JSON. */
const rangesPerItem = 2_000;

/** Fences that are kept. A writer would have to be paused for as many changes of ownership to be missed. */
const keptFenceCount = 256;

export interface CheckpointerOptions {
    readonly shard: ShardId;
    readonly store: Store;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly retention: Retention;
    /** Largest value in characters. */
    readonly maxValueLength: number;
}

export class Checkpointer {
    private entries: StoredEntry[];
    private parts: StoredKey[];
    private manifest: JournalContent["manifest"];

    constructor(private readonly options: CheckpointerOptions, content: JournalContent) {
        this.entries = [...content.entries];
        this.parts = [...content.parts];
        this.manifest = content.manifest;
    }

    /** Records an entry that was written. */
    addEntry(entry: StoredEntry): void {
        this.entries.push(entry);
    }

    /**
     * Writes a checkpoint of the table, which contains all entries up to `through`, and trims what it replaces. Returns the
     * length of the checkpoint in characters. After a failure the journal is complete without the checkpoint, and a later
     * one removes what is left of it.
     */
    async writeCheckpoint(table: JobTable, through: number): Promise<Result<number, Failure>> {
        const { clock, retention, random, maxValueLength } = this.options;
        pruneFinishedJobs(table, retention, clock.getWallTime());
        // Rows are replaced, never changed, so that a copy of the list is a consistent state.
        const rows = [...table.values()];
        const checkpoint = `${String(through).padStart(12, "0")}-${random.getHex(12)}`;
        const written: StoredKey[] = [];
        let length = 0;
        // Each part is encoded after the one before it was written, so that no step takes longer than one part.
        for (const value of encodeParts(rows, maxValueLength)) {
            const key = getCheckpointPartKey(this.options.shard, checkpoint, written.length);
            const result = await this.writeValue(key, value, undefined);
            if (!result.ok) {
                this.parts.push(...written);
                return result;
            }
            written.push({ key, revision: result.val });
            length += value.length;
        }
        const isCurrent = await this.replaceManifest({ through, checkpoint, parts: written.length });
        if (!isCurrent.ok || !isCurrent.val) {
            // A manifest without an answer may name these parts, so that only a later open may remove them.
            return isCurrent.map(() => 0);
        }
        await this.deleteReplaced(through, written);
        return Ok(length);
    }

    /** Returns `false` if a newer checkpoint of a later owner is in place. */
    private async replaceManifest(manifest: CheckpointManifest): Promise<Result<boolean, Failure>> {
        const key = getManifestKey(this.options.shard);
        const result = await this.writeValue(key, encodeValue(manifest), this.manifest?.revision);
        if (result.ok) {
            this.manifest = { value: manifest, revision: result.val };
            return Ok(true);
        }
        if (result.val.code !== "store-conflict") {
            return result;
        }
        const present = await this.options.store.read(key);
        if (!present.ok || present.val === undefined) {
            return result;
        }
        const parsed = parseManifest(key, present.val.value);
        if (!parsed.ok) {
            return parsed;
        }
        this.manifest = { value: parsed.val, revision: present.val.revision };
        return parsed.val.through >= manifest.through ? Ok(false) : this.replaceManifest(manifest);
    }

    private async writeValue(
        key: string,
        value: string,
        revision: number | undefined,
    ): Promise<Result<number, Failure>> {
        const { store, random } = this.options;
        const token = toId<WriterToken>(random.getHex(24));
        const expected = revision === undefined ? { kind: "absent" as const } : { kind: "revision" as const, revision };
        const result = await store.write({ key, value, expected, token });
        if (result.ok || result.val.verdict === "notRun") {
            return result;
        }
        const present = await store.readToken(key);
        return present.ok && present.val?.token === token ? Ok(present.val.revision) : result;
    }

    /** Deletes what the manifest no longer needs. What cannot be deleted now is left for the next checkpoint. */
    private async deleteReplaced(through: number, current: readonly StoredKey[]): Promise<void> {
        const fences = this.entries.filter(entry => entry.isFence).sort((a, b) => b.sequence - a.sequence);
        const kept = new Set(fences.slice(0, keptFenceCount).map(entry => entry.key));
        const oldEntries = this.entries.filter(entry => entry.sequence <= through && !kept.has(entry.key));
        const oldParts = this.parts;
        this.parts = [...current];
        for (const part of oldParts) {
            if (!await this.deleteKey(part)) {
                this.parts.push(part);
            }
        }
        for (const entry of oldEntries) {
            if (!await this.deleteKey(entry)) {
                return;
            }
            this.entries = this.entries.filter(other => other !== entry);
        }
    }

    private async deleteKey({ key, revision }: StoredKey): Promise<boolean> {
        const result = await this.options.store.delete(key, revision);
        // A conflict means that the key is gone already: these keys are never written twice.
        return result.ok || result.val.code === "store-conflict";
    }
}

/** Encodes jobs as values of at most `maxLength` characters, unless a single job is longer. */
function* encodeParts(rows: readonly JournalJob[], maxLength: number): Generator<string> {
    let part = createPendingPart();
    for (const row of rows) {
        for (const { field, text } of encodeJob(row)) {
            if (part.length + text.length + 1 > maxLength && part.length > emptyPartLength) {
                yield encodePart(part);
                part = createPendingPart();
            }
            part[field].push(text);
            part.length += text.length + 1;
        }
    }
    if (part.length > emptyPartLength) {
        yield encodePart(part);
    }
}

/** Upper bound of the length of a part without jobs. */
const emptyPartLength = 64;

interface PendingPart {
    readonly jobs: string[];
    readonly outcomes: string[];
    length: number;
}

function createPendingPart(): PendingPart {
    return { jobs: [], outcomes: [], length: emptyPartLength };
}

function encodePart({ jobs, outcomes }: PendingPart): string {
    return `{"version":${journalVersion},"jobs":[${jobs.join(",")}],"outcomes":[${outcomes.join(",")}]}`;
}

/** Encodes a job and its outcomes as items of parts. */
function encodeJob(row: JournalJob): { readonly field: keyof CheckpointPart; readonly text: string; }[] {
    const { outcomes, ...rest } = row;
    const job: CheckpointPart["jobs"][number] = rest;
    const items: { field: keyof CheckpointPart; text: string; }[] = [{ field: "jobs", text: JSON.stringify(job) }];
    for (const outcome of journalOutcomes) {
        const ranges = outcomes[outcome] ?? [];
        for (let start = 0; start < ranges.length; start += rangesPerItem) {
            const piece: CheckpointPart["outcomes"][number] = {
                job: row.job,
                outcome,
                ranges: ranges.slice(start, start + rangesPerItem),
            };
            items.push({ field: "outcomes", text: JSON.stringify(piece) });
        }
    }
    return items;
}
