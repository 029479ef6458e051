/**
 * Interface to the platform's key-value store.
 */
import type { Failure, Result, WriterToken } from "@waxwingroute/core";

/** A key with its value and revision. */
export interface StoreEntry {
    readonly key: string;
    /** At most 1 MB of UTF-8. */
    readonly value: string;
    /** Store revision of the last write of this key. Revisions are one total order over all keys. */
    readonly revision: number;
}

/** A change of one key. The value is `undefined` after a deletion. */
export interface StoreChange {
    readonly key: string;
    readonly value: string | undefined;
    readonly revision: number;
}

/** Condition of a write: the key still has the revision that the writer read, or the key does not exist. */
export type WritePrecondition =
    | { readonly kind: "absent"; }
    | { readonly kind: "revision"; readonly revision: number; };

/** A compare-and-swap write. */
export interface StoreWrite {
    readonly key: string;
    readonly value: string;
    readonly expected: WritePrecondition;
    /** Unique per write and stored with the value: a read after a lost response shows whether the write took effect. */
    readonly token: WriterToken;
}

/** Entries of a range and the revision of the store, read at one moment. */
export interface StoreRange {
    readonly entries: readonly StoreEntry[];
    /** Newest revision of the store at the time of the read. */
    readonly revision: number;
}

/** Changes after a revision; none if the wait ended first. */
export interface StoreWatchResult {
    readonly changes: readonly StoreChange[];
    /** Revision from which the next watch continues. */
    readonly revision: number;
}

/**
 * Client of the store. Every method makes exactly one call, which metering counts. Failure codes:
 *
 * - `store-conflict` (`notRun`): the precondition did not hold.
 * - `store-unavailable` (`notRun` if the call was not sent, else `mayHaveRun`).
 * - `store-timeout` (`mayHaveRun`).
 * - `store-compacted`: the store no longer has the changes after the revision of a watch; read the range again.
 * - `store-too-large` (`notRun`): the value is above 1 MB.
 */
export abstract class Store {
    /** Reads one key; `undefined` if it does not exist. */
    abstract read(key: string): Promise<Result<StoreEntry | undefined, Failure>>;
    /** Reads all keys that begin with `prefix`, sorted by key. */
    abstract readRange(prefix: string): Promise<Result<StoreRange, Failure>>;
    /** Writes by compare-and-swap and returns the new revision. */
    abstract write(write: StoreWrite): Promise<Result<number, Failure>>;
    /** Deletes a key if its revision is still `revision`; returns the revision of the deletion. */
    abstract delete(key: string, revision: number): Promise<Result<number, Failure>>;
    /** Waits up to `waitMs`, in one call, for changes after `revision` to keys that begin with `prefix`. */
    abstract watch(prefix: string, revision: number, waitMs: number): Promise<Result<StoreWatchResult, Failure>>;
    /** Reads the writer token and the revision of a key's last write; `undefined` if the key does not exist. */
    abstract readToken(
        key: string,
    ): Promise<Result<{ readonly token: WriterToken; readonly revision: number; } | undefined, Failure>>;
}
