/**
 * The platform's key-value store as the cell uses it: conditional transactions, leases and watches.
 *
 * Every operation is one `StoreRequest`, so that a host that the store does not serve can forward it through another
 * host.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";

/** A key with its value and revisions. */
export interface StoreItem {
    readonly key: string;
    readonly value: string;
    /** Revision of the last change. */
    readonly revision: number;
    /** Revision of the creation. */
    readonly createdRevision: number;
}

/** The revision that a key must have for the commit; 0 means that the key must not exist. */
export interface StoreCondition {
    readonly key: string;
    readonly revision: number;
}

/** A value to store. */
export interface StoreWrite {
    readonly key: string;
    readonly value: string;
    /** Lease whose end removes the key; 0 or absent for none. */
    readonly lease?: number;
}

/** Writes and removals that are applied together if all conditions hold. */
export interface StoreTransaction {
    readonly conditions: readonly StoreCondition[];
    readonly writes: readonly StoreWrite[];
    readonly removals: readonly string[];
}

/** Most conditions, writes and removals in one transaction, all counted together; a limit of the platform's store. */
export const maxTransactionEntries = 32;

/** One operation on the store. */
export type StoreRequest =
    | { readonly kind: "read"; readonly key: string; }
    | { readonly kind: "list"; readonly prefix: string; readonly after?: string; }
    | { readonly kind: "watch"; readonly prefix: string; readonly afterRevision: number; readonly waitMs: number; }
    | { readonly kind: "commit"; readonly transaction: StoreTransaction; }
    | { readonly kind: "grantLease"; readonly ttlMs: number; }
    | { readonly kind: "renewLease"; readonly lease: number; }
    | { readonly kind: "endLease"; readonly lease: number; };

/** A change that a watch reports. */
export interface StoreChange {
    readonly key: string;
    readonly revision: number;
    /** The stored item; `undefined` if the key was removed. */
    readonly item: StoreItem | undefined;
}

/** The answers by kind of request. */
export interface StoreReplies {
    read: { readonly item: StoreItem | undefined; readonly storeRevision: number; };
    list: { readonly items: readonly StoreItem[]; readonly hasMore: boolean; readonly storeRevision: number; };
    watch: { readonly changes: readonly StoreChange[]; readonly storeRevision: number; };
    /** A conflict holds the current items of the keys in the conditions, without those that do not exist. */
    commit:
        | { readonly kind: "committed"; readonly revision: number; }
        | { readonly kind: "conflict"; readonly items: readonly StoreItem[]; };
    grantLease: { readonly lease: number; readonly ttlMs: number; };
    renewLease: { readonly ttlMs: number; };
    endLease: Record<never, never>;
}

/** The answer to a request of the given type. */
export type StoreReply<Request extends StoreRequest> = StoreReplies[Request["kind"]];

/** Failure codes that callers can tell apart. */
export const storeFailures = {
    /** The request was not carried out. Verdict `notRun`. */
    unavailable: "store-unavailable",
    /** No complete answer arrived, so the request may have been carried out. Verdict `mayHaveRun`. */
    unanswered: "store-unanswered",
    /** The store no longer has the history after the requested revision. */
    compacted: "store-compacted",
    leaseEnded: "store-lease-ended",
} as const;

/** Access to the store, direct or through another host. */
export abstract class LeaseStore {
    /** Executes one request. A failure has the verdict `notRun` or `mayHaveRun` and a code of `storeFailures`. */
    abstract call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>>;
}

/** Lists all items below a prefix, page by page. A watch from `storeRevision`, the first page's, misses no change. */
export async function listAll(
    store: LeaseStore,
    prefix: string,
): Promise<Result<{ readonly items: StoreItem[]; readonly storeRevision: number; }, Failure>> {
    const items: StoreItem[] = [];
    let storeRevision: number | undefined;
    let after: string | undefined;
    for (;;) {
        const page = await store.call({ kind: "list", prefix, after });
        if (!page.ok) {
            return page;
        }
        items.push(...page.val.items);
        storeRevision ??= page.val.storeRevision;
        const last = page.val.items.at(-1)?.key;
        if (!page.val.hasMore || last === undefined) {
            return Ok({ items, storeRevision });
        }
        if (last === after) {
            const message = `the store listed ${JSON.stringify(last)} again on the next page`;
            return Err(createFailure(storeFailures.unanswered, message, "ran"));
        }
        after = last;
    }
}
