/**
 * Replaces old entries of a journal by checkpoints.
 *
 * A checkpoint consists of parts, which are valid only once the manifest names them. The entries that it contains are
 * deleted, except for fences: a deposed writer that resumes after a long pause must find the sequence number after its
 * last entry taken, so that its append fails.
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

/** Ranges in one outcomes item of a part: at most about 40 KB of JSON. */
const rangesPerItem = 2_000;

/** Newest fences that are kept. A writer that is paused for as many changes of ownership may not meet its fence. */
const keptFenceCount = 256;

/** Options of a `Checkpointer`. */
export interface CheckpointerOptions {
    readonly shard: ShardId;
    readonly store: Store;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly retention: Retention;
    /** Maximum length of a stored value in characters. */
    readonly maxValueLength: number;
}

/** Writes checkpoints and deletes what they replace. */
export class Checkpointer {
    private entries: StoredEntry[];
    private parts: StoredKey[];
    private manifest: JournalContent["manifest"];

    constructor(private readonly options: CheckpointerOptions, content: JournalContent) {
        this.entries = [...content.entries];
        this.parts = [...content.parts];
        this.manifest = content.manifest;
    }

    /** Adds an entry that was written, to delete it after a checkpoint. */
    addEntry(entry: StoredEntry): void {
        this.entries.push(entry);
    }

    /**
     * Writes a checkpoint of the table, which contains all entries up to `through`, and deletes what it replaces.
     * Returns the length of the checkpoint in characters. After a failure the journal is complete without the
     * checkpoint, and a later checkpoint deletes the parts that were written.
     */
    async writeCheckpoint(table: JobTable, through: number): Promise<Result<number, Failure>> {
        const { clock, retention, random, maxValueLength } = this.options;
        pruneFinishedJobs(table, retention, clock.getWallTime());
        // Rows are replaced and never modified, so a copy of the list is a consistent state.
        const rows = [...table.values()];
        const checkpoint = `${String(through).padStart(12, "0")}-${random.getHex(12)}`;
        const written: StoredKey[] = [];
        let length = 0;
        // Each part is encoded only after the previous one was written, so that no step takes longer than one part.
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
        const replaced = await this.replaceManifest({ through, checkpoint, parts: written.length });
        if (!replaced.ok || !replaced.val) {
            // After a write without a response, the manifest may name these parts: only a later open may delete them.
            return replaced.map(() => 0);
        }
        await this.deleteReplaced(through, written);
        return Ok(length);
    }

    /** Writes the manifest. Returns `false` if it already names a newer checkpoint of a later owner. */
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

    /** Writes a value; if the response is lost, the token shows whether the write took effect. */
    private async writeValue(
        key: string,
        value: string,
        expectedRevision: number | undefined,
    ): Promise<Result<number, Failure>> {
        const { store, random } = this.options;
        const token = toId<WriterToken>(random.getHex(24));
        const expected = expectedRevision === undefined
            ? { kind: "absent" as const }
            : { kind: "revision" as const, revision: expectedRevision };
        const result = await store.write({ key, value, expected, token });
        if (result.ok || result.val.verdict === "notRun") {
            return result;
        }
        const present = await store.readToken(key);
        return present.ok && present.val?.token === token ? Ok(present.val.revision) : result;
    }

    /** Deletes what the checkpoint has replaced. What cannot be deleted now is left for the next checkpoint. */
    private async deleteReplaced(through: number, currentParts: readonly StoredKey[]): Promise<void> {
        const fences = this.entries.filter(entry => entry.isFence).sort((a, b) => b.sequence - a.sequence);
        const keptKeys = new Set(fences.slice(0, keptFenceCount).map(entry => entry.key));
        const replacedEntries = this.entries.filter(entry => entry.sequence <= through && !keptKeys.has(entry.key));
        const replacedParts = this.parts;
        this.parts = [...currentParts];
        for (const part of replacedParts) {
            if (!await this.deleteKey(part)) {
                this.parts.push(part);
            }
        }
        for (const entry of replacedEntries) {
            if (!await this.deleteKey(entry)) {
                return;
            }
            this.entries = this.entries.filter(other => other !== entry);
        }
    }

    private async deleteKey({ key, revision }: StoredKey): Promise<boolean> {
        const result = await this.options.store.delete(key, revision);
        // These keys are never written twice, so a conflict means that the key is already deleted.
        return result.ok || result.val.code === "store-conflict";
    }
}

/** Encodes jobs as part values of at most `maxLength` characters each, unless a single item is longer. */
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

/** Upper bound of the length of a part without items. */
const emptyPartLength = 64;

/** The encoded items of a part that is being filled. */
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
            const outcomesItem: CheckpointPart["outcomes"][number] = {
                job: row.job,
                outcome,
                ranges: ranges.slice(start, start + rangesPerItem),
            };
            items.push({ field: "outcomes", text: JSON.stringify(outcomesItem) });
        }
    }
    return items;
}
