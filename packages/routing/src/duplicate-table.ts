/**
 * The table of used request keys and their first results.
 *
 * Memory is bounded in two steps: the oldest answers are dropped first, and their keys stay known; when the keys alone
 * exceed the bound, the oldest are dropped and the low-water number rises above them. A key below it that the table does
 * not know may have been used, and is refused.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { RequestKey, TeamId } from "@waxwingroute/core";
import type { RequestResult } from "./types.js";

/** A used key. */
export interface UsedKey<Work> {
    readonly key: RequestKey;
    readonly sequence: number;
    readonly team: TeamId;
    /** Identifies the content of the request, so that one key is not used for two requests. */
    readonly fingerprint: string;
    /** The work in progress; `undefined` once there is a result. */
    work: Work | undefined;
    result: RequestResult | undefined;
    bytes: number;
    completedAt: number;
}

// Two map entries, the key text and the objects of an entry without its answer, rounded up.
const entryBytes = 512;

/** Options of a duplicate table. */
export interface DuplicateTableOptions {
    /** Milliseconds for which a result is kept. */
    readonly retentionMs: number;
    /** Bytes of all results and keys. */
    readonly maxBytes: number;
}

export class DuplicateTable<Work> {
    private readonly running = new Map<RequestKey, UsedKey<Work>>();
    /** In order of completion, so that the first is the oldest. */
    private readonly completed = new Map<RequestKey, UsedKey<Work>>();
    private readonly withAnswer = new Map<RequestKey, UsedKey<Work>>();
    private storedBytes = 0;
    private lowWaterSequence = 0;

    constructor(private readonly options: DuplicateTableOptions) {}

    /** A key that is not in the table and has a lower sequence number than this may have been used. */
    get lowWater(): number {
        return this.lowWaterSequence;
    }

    get bytes(): number {
        return this.storedBytes;
    }

    get size(): number {
        return this.running.size + this.completed.size;
    }

    find(key: RequestKey): UsedKey<Work> | undefined {
        return this.running.get(key) ?? this.completed.get(key);
    }

    /** Records that work under a key begins. */
    start(entry: Pick<UsedKey<Work>, "key" | "sequence" | "team" | "fingerprint"> & { readonly work: Work; }): void {
        this.running.set(entry.key, { ...entry, result: undefined, bytes: 0, completedAt: 0 });
    }

    /** Forgets a key whose work did not run, so that it can be used again. */
    release(key: RequestKey): void {
        this.running.delete(key);
    }

    /** Keeps the first result of a key and evicts what is too old or too much. */
    complete(key: RequestKey, result: RequestResult, now: number): void {
        const entry = this.running.get(key);
        if (entry === undefined) {
            return;
        }
        this.running.delete(key);
        entry.work = undefined;
        entry.result = result;
        entry.completedAt = now;
        entry.bytes = entryBytes + (result.ok ? result.val.body.byteLength : 0);
        this.storedBytes += entry.bytes;
        this.completed.set(key, entry);
        if (result.ok) {
            this.withAnswer.set(key, entry);
        }
        this.evict(now);
    }

    /** Drops what is older than the retention time or above the bound on bytes. */
    evict(now: number): void {
        for (const entry of this.withAnswer.values()) {
            if (this.storedBytes <= this.options.maxBytes) {
                break;
            }
            this.dropAnswer(entry);
        }
        for (const entry of this.completed.values()) {
            const isOld = now - entry.completedAt >= this.options.retentionMs;
            if (!isOld && this.storedBytes <= this.options.maxBytes) {
                break;
            }
            this.completed.delete(entry.key);
            this.withAnswer.delete(entry.key);
            this.storedBytes -= entry.bytes;
            this.lowWaterSequence = Math.max(this.lowWaterSequence, entry.sequence + 1);
        }
    }

    private dropAnswer(entry: UsedKey<Work>): void {
        this.withAnswer.delete(entry.key);
        this.storedBytes -= entry.bytes - entryBytes;
        entry.bytes = entryBytes;
        const message = `the request with key "${entry.key}" ran, but its answer is no longer kept`;
        entry.result = Err({ ...createFailure("answer-evicted", message, "ran"), requestKey: entry.key });
    }
}
