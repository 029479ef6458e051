/**
 * The table of used request keys and their first results.
 *
 * Memory is limited in two steps: the oldest answers are evicted first, while their keys stay known; when the keys
 * alone exceed the limit, the oldest keys are evicted and the low-water mark rises above them. A key below the mark
 * that is not in the table may have been used, so it is refused.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { RequestKey, TeamId } from "@waxwingroute/core";
import type { RequestResult } from "./types.js";

/** A used key, with the work in progress or its result. */
export interface UsedKey<Work> {
    readonly key: RequestKey;
    readonly sequence: number;
    readonly team: TeamId;
    /** Identifies the content of the request, so that one key is not used for two different requests. */
    readonly fingerprint: string;
    /** The work in progress; `undefined` once there is a result. */
    work: Work | undefined;
    result: RequestResult | undefined;
    /** What the entry counts against the limit on bytes; 0 until there is a result. */
    bytes: number;
    completedAt: number;
}

/** What is known of a key when its work starts. */
export type UsedKeyStart<Work> = Pick<UsedKey<Work>, "key" | "sequence" | "team" | "fingerprint"> & {
    readonly work: Work;
};

// A map entry, two queue entries, the key text and the objects of an entry without its answer, rounded up.
const entryOverheadBytes = 512;

/** Options of a duplicate table. */
export interface DuplicateTableOptions {
    /** Milliseconds for which a result is kept. */
    readonly retentionMs: number;
    /** Largest total of all results and keys, in bytes. */
    readonly maxBytes: number;
}

/** A first-in, first-out queue that removes its head without moving the other items each time. */
class Fifo<Item> {
    private items: (Item | undefined)[] = [];
    private head = 0;

    get first(): Item | undefined {
        return this.items[this.head];
    }

    push(item: Item): void {
        this.items.push(item);
    }

    removeFirst(): void {
        // The array may keep its length for a while, but the item with its answer is released at once.
        this.items[this.head++] = undefined;
        if (this.head > 1024 && this.head * 2 > this.items.length) {
            this.items = this.items.slice(this.head);
            this.head = 0;
        }
    }
}

/** The used keys with their work in progress or first results, within a limit on bytes. */
export class DuplicateTable<Work> {
    private readonly entries = new Map<RequestKey, UsedKey<Work>>();
    /** Entries with a result, in order of completion. */
    private readonly completed = new Fifo<UsedKey<Work>>();
    /** Entries whose result was an answer, in order of completion. */
    private readonly answered = new Fifo<UsedKey<Work>>();
    private storedBytes = 0;
    private lowWaterSequence = 0;

    constructor(private readonly options: DuplicateTableOptions) {}

    /** A key that is not in the table and has a lower sequence number than this may have been used. */
    get lowWaterMark(): number {
        return this.lowWaterSequence;
    }

    get bytes(): number {
        return this.storedBytes;
    }

    get size(): number {
        return this.entries.size;
    }

    find(key: RequestKey): UsedKey<Work> | undefined {
        return this.entries.get(key);
    }

    /** Records that the work for a key starts. */
    start({ key, sequence, team, fingerprint, work }: UsedKeyStart<Work>): void {
        const entry = { key, sequence, team, fingerprint, work, result: undefined, bytes: 0, completedAt: 0 };
        this.entries.set(key, entry);
    }

    /** Forgets a key whose work did not run, so that it can be used again. */
    release(key: RequestKey): void {
        if (this.entries.get(key)?.work !== undefined) {
            this.entries.delete(key);
        }
    }

    /** Stores the first result of a key, then evicts what is too old or exceeds the limit on bytes. */
    complete(key: RequestKey, result: RequestResult, now: number): void {
        const entry = this.entries.get(key);
        if (entry?.work === undefined) {
            return;
        }
        entry.work = undefined;
        entry.result = result;
        entry.completedAt = now;
        entry.bytes = entryOverheadBytes + (result.ok ? result.val.body.byteLength : 0);
        this.storedBytes += entry.bytes;
        this.completed.push(entry);
        if (result.ok) {
            this.answered.push(entry);
        }
        this.evict(now);
    }

    /**
     * Evicts the entries that are older than the retention time. While the limit on bytes is exceeded, evicts the
     * oldest answers, then the oldest keys.
     */
    evict(now: number): void {
        const { maxBytes, retentionMs } = this.options;
        for (let entry = this.answered.first; entry !== undefined; entry = this.answered.first) {
            // An entry that was evicted with its key stays in this queue until it is first.
            const isEvicted = this.entries.get(entry.key) !== entry;
            if (!isEvicted && this.storedBytes <= maxBytes) {
                break;
            }
            this.answered.removeFirst();
            if (!isEvicted) {
                this.dropAnswer(entry);
            }
        }
        for (let entry = this.completed.first; entry !== undefined; entry = this.completed.first) {
            if (now - entry.completedAt < retentionMs && this.storedBytes <= maxBytes) {
                break;
            }
            this.completed.removeFirst();
            this.entries.delete(entry.key);
            this.storedBytes -= entry.bytes;
            this.lowWaterSequence = Math.max(this.lowWaterSequence, entry.sequence + 1);
        }
    }

    private dropAnswer(entry: UsedKey<Work>): void {
        this.storedBytes -= entry.bytes - entryOverheadBytes;
        entry.bytes = entryOverheadBytes;
        const message = `the request with key "${entry.key}" ran, but its answer is no longer kept`;
        entry.result = Err({ ...createFailure("answer-evicted", message, "ran"), requestKey: entry.key });
    }
}
