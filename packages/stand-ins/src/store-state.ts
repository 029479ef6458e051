/**
 * The content of the store stand-in: keys with revisions, the history for watches, and counters of calls.
 */
import type { Clock, Failure, Result, WriterToken } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { StoreChange, StoreEntry, StoreRange, StoreWatchResult, StoreWrite } from "@waxwingroute/platform";
import { wire } from "@waxwingroute/platform";

/** Number of calls by operation and first part of the key, for example `write owner`. */
export type StoreCalls = Readonly<Record<string, number>>;

/** Counters of the calls that reached the store. */
export interface StoreCounts {
    reads: number;
    writes: number;
    watches: number;
    conflicts: number;
    /** Bytes of values written. */
    bytesWritten: number;
    /** Bytes of values read, by reads and watches. */
    bytesRead: number;
}

interface Row {
    readonly value: string;
    readonly revision: number;
    readonly token: WriterToken;
}

interface Watcher {
    readonly prefix: string;
    readonly notify: () => void;
}

/** The content of one store, in memory. */
export class StoreState {
    readonly counts: StoreCounts = { reads: 0, writes: 0, watches: 0, conflicts: 0, bytesWritten: 0, bytesRead: 0 };
    private readonly callCounts = new Map<string, number>();
    private readonly rows = new Map<string, Row>();
    private readonly watchers = new Set<Watcher>();
    private history: StoreChange[] = [];
    private revision = 0;
    private compactedThrough = 0;

    /** `historyLength`: number of changes kept for watches. */
    constructor(private readonly clock: Clock, private readonly historyLength = 10_000) {}

    /** Number of calls by operation and first part of the key. */
    get calls(): StoreCalls {
        return Object.fromEntries(this.callCounts);
    }

    read(key: string): Result<StoreEntry | undefined, Failure> {
        this.countCall("read", key);
        this.counts.reads++;
        const row = this.rows.get(key);
        this.counts.bytesRead += row?.value.length ?? 0;
        return Ok(row === undefined ? undefined : { key, value: row.value, revision: row.revision });
    }

    readToken(key: string): Result<{ token: WriterToken; revision: number; } | undefined, Failure> {
        this.countCall("read", key);
        this.counts.reads++;
        const row = this.rows.get(key);
        return Ok(row === undefined ? undefined : { token: row.token, revision: row.revision });
    }

    readRange(prefix: string): Result<StoreRange, Failure> {
        this.countCall("read", prefix);
        this.counts.reads++;
        const entries = [...this.rows.entries()]
            .filter(([key]) => key.startsWith(prefix))
            .sort(([first], [second]) => first < second ? -1 : 1)
            .map(([key, row]) => ({ key, value: row.value, revision: row.revision }));
        this.counts.bytesRead += entries.reduce((sum, entry) => sum + entry.value.length, 0);
        return Ok({ entries, revision: this.revision });
    }

    write(write: StoreWrite): Result<number, Failure> {
        this.countCall("write", write.key);
        this.counts.writes++;
        const bytes = Buffer.byteLength(write.value);
        if (bytes > wire.maxStoreValueBytes) {
            const message = `value of key "${write.key}" has ${bytes} bytes, above ${wire.maxStoreValueBytes}`;
            return Err(createFailure("store-too-large", message, "notRun"));
        }
        const current = this.rows.get(write.key)?.revision;
        const expected = write.expected.kind === "absent" ? undefined : write.expected.revision;
        if (current !== expected) {
            return this.refuseConflict(write.key, expected, current);
        }
        this.counts.bytesWritten += bytes;
        this.revision++;
        this.rows.set(write.key, { value: write.value, revision: this.revision, token: write.token });
        this.publish({ key: write.key, value: write.value, revision: this.revision });
        return Ok(this.revision);
    }

    delete(key: string, revision: number): Result<number, Failure> {
        this.countCall("write", key);
        this.counts.writes++;
        const current = this.rows.get(key)?.revision;
        if (current !== revision) {
            return this.refuseConflict(key, revision, current);
        }
        this.revision++;
        this.rows.delete(key);
        this.publish({ key, value: undefined, revision: this.revision });
        return Ok(this.revision);
    }

    /** Resolves with the changes after `revision`: at once if there are any, else at the first or after `waitMs`. */
    async watch(prefix: string, revision: number, waitMs: number): Promise<Result<StoreWatchResult, Failure>> {
        this.countCall("watch", prefix);
        this.counts.watches++;
        if (revision < this.compactedThrough) {
            const message = `cannot watch from revision ${revision}: compacted through ${this.compactedThrough}`;
            return Err(createFailure("store-compacted", message, "notRun"));
        }
        if (!this.history.some(change => change.revision > revision && change.key.startsWith(prefix)) && waitMs > 0) {
            await this.waitForChange(prefix, waitMs);
        }
        const changes = this.history.filter(change => change.revision > revision && change.key.startsWith(prefix));
        this.counts.bytesRead += changes.reduce((sum, change) => sum + (change.value?.length ?? 0), 0);
        return Ok({ changes, revision: Math.max(revision, this.revision) });
    }

    /** Drops the whole history, so that watches from an older revision fail with `store-compacted`. */
    compact(): void {
        this.history = [];
        this.compactedThrough = this.revision;
    }

    private countCall(operation: "read" | "write" | "watch", key: string): void {
        const callKind = `${operation} ${key.split("/")[0] ?? ""}`;
        this.callCounts.set(callKind, (this.callCounts.get(callKind) ?? 0) + 1);
    }

    private waitForChange(prefix: string, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const notify = () => {
                timer.cancel();
                this.watchers.delete(watcher);
                resolve();
            };
            const watcher: Watcher = { prefix, notify };
            const timer = this.clock.schedule(waitMs, notify);
            this.watchers.add(watcher);
        });
    }

    private publish(change: StoreChange): void {
        this.history.push(change);
        if (this.history.length > this.historyLength) {
            const dropped = this.history.splice(0, this.history.length - this.historyLength);
            this.compactedThrough = dropped.at(-1)?.revision ?? this.compactedThrough;
        }
        for (const watcher of this.watchers) {
            if (change.key.startsWith(watcher.prefix)) {
                watcher.notify();
            }
        }
    }

    private refuseConflict(
        key: string,
        expected: number | undefined,
        current: number | undefined,
    ): Result<never, Failure> {
        this.counts.conflicts++;
        const describe = (at: number | undefined) => at === undefined ? "absent" : `at revision ${at}`;
        const message = `key "${key}" is ${describe(current)}, but was expected to be ${describe(expected)}`;
        return Err(createFailure("store-conflict", message, "notRun"));
    }
}
