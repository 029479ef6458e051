/**
 * The platform's key-value service as the system sees it.
 */
import type { Failure, Result, WriterToken } from "@waxwingroute/core";

/** One key of the store. */
export interface StoreEntry {
    readonly key: string;
    /** At most 1 MB. */
    readonly value: string;
    /** Store revision of the last write of this key. Revisions are one total order over all keys. */
    readonly revision: number;
}

/** A change of one key. A deletion has no value. */
export interface StoreChange {
    readonly key: string;
    readonly value: string | undefined;
    readonly revision: number;
}

/** A condition on a write: the revision of the key that the writer read, or that the key must not exist. */
export type WritePrecondition =
    | { readonly kind: "absent"; }
    | { readonly kind: "revision"; readonly revision: number; };

/** A write by compare-and-swap. */
export interface StoreWrite {
    readonly key: string;
    readonly value: string;
    readonly expected: WritePrecondition;
    /** Unique per write. The adapter keeps it beside the value, so that a read after a lost answer tells whether it took effect. */
    readonly token: WriterToken;
}

/** Values and revision of a range at one moment. */
export interface StoreRange {
    readonly entries: readonly StoreEntry[];
    /** Newest revision of the store at the time of the read. */
    readonly revision: number;
}

/** Changes after a revision; empty when the wait ended without one. */
export interface StoreWatchResult {
    readonly changes: readonly StoreChange[];
    /** Revision from which the next watch continues. */
    readonly revision: number;
}

/**
 * Access to the store. Every method is one counted call.
 *
 * Failure codes: `store-conflict` (verdict `notRun`: the expectation did not hold), `store-unavailable` (`notRun` when the
 * call was not sent, else `mayHaveRun`), `store-timeout` (`mayHaveRun`), `store-compacted` (a watch from a revision that the
 * store no longer keeps: read the range again), `store-too-large` (`notRun`: the value is above 1 MB).
 */
export abstract class Store {
    /** Reads one key; `undefined` if it does not exist. */
    abstract read(key: string): Promise<Result<StoreEntry | undefined, Failure>>;
    /** Reads all keys that begin with `prefix`, sorted by key. */
    abstract readRange(prefix: string): Promise<Result<StoreRange, Failure>>;
    /** Writes by compare-and-swap and returns the new revision. */
    abstract write(write: StoreWrite): Promise<Result<number, Failure>>;
    /** Deletes a key if its revision is `revision`; returns the revision of the deletion. */
    abstract delete(key: string, revision: number): Promise<Result<number, Failure>>;
    /** Waits up to `waitMs` for changes of keys that begin with `prefix` after `revision`. One call, however long it waits. */
    abstract watch(prefix: string, revision: number, waitMs: number): Promise<Result<StoreWatchResult, Failure>>;
    /** Reads the writer token of the newest value of a key; `undefined` if it does not exist. One call. */
    abstract readToken(
        key: string,
    ): Promise<Result<{ readonly token: WriterToken; readonly revision: number; } | undefined, Failure>>;
}
