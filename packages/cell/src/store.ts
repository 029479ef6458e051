/**
 * The platform's key-value store as the cell uses it: conditional transactions, leases and watches.
 *
 * Every operation is one `StoreRequest`, so that a host that the store does not serve can pass it to another host.
 */
import { Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";

export interface StoreItem {
    readonly key: string;
    readonly value: string;
    /** Revision of the last change. */
    readonly revision: number;
    /** Revision of the creation. */
    readonly createdRevision: number;
}

/** A revision of 0 means that the key must not exist. */
export interface StoreCondition {
    readonly key: string;
    readonly revision: number;
}

export interface StoreWrite {
    readonly key: string;
    readonly value: string;
    /** Lease whose end removes the key; 0 or absent: none. */
    readonly lease?: number;
}

export interface StoreTransaction {
    readonly conditions: readonly StoreCondition[];
    readonly writes: readonly StoreWrite[];
    readonly removals: readonly string[];
}

/** Most conditions, writes and removals of one transaction together; bound of the platform's store. */
export const maxTransactionEntries = 32;

export type StoreRequest =
    | { readonly kind: "read"; readonly key: string; }
    | { readonly kind: "list"; readonly prefix: string; readonly after?: string; }
    | { readonly kind: "watch"; readonly prefix: string; readonly afterRevision: number; readonly waitMs: number; }
    | { readonly kind: "commit"; readonly transaction: StoreTransaction; }
    | { readonly kind: "grantLease"; readonly ttlMs: number; }
    | { readonly kind: "renewLease"; readonly lease: number; }
    | { readonly kind: "endLease"; readonly lease: number; };

export interface StoreChange {
    readonly key: string;
    readonly revision: number;
    /** `undefined`: the key was removed. */
    readonly item: StoreItem | undefined;
}

/** The answer to a request of each kind. */
export interface StoreReplies {
    read: { readonly item: StoreItem | undefined; readonly storeRevision: number; };
    list: { readonly items: readonly StoreItem[]; readonly hasMore: boolean; readonly storeRevision: number; };
    watch: { readonly changes: readonly StoreChange[]; readonly storeRevision: number; };
    /** `conflict` holds the present items of the conditions; an item that does not exist is left out. */
    commit:
        | { readonly kind: "committed"; readonly revision: number; }
        | { readonly kind: "conflict"; readonly items: readonly StoreItem[]; };
    grantLease: { readonly lease: number; readonly ttlMs: number; };
    renewLease: { readonly ttlMs: number; };
    endLease: Record<never, never>;
}

export type StoreReply<Request extends StoreRequest> = StoreReplies[Request["kind"]];

/** Codes of failures that callers tell apart. */
export const storeFailures = {
    /** The store did nothing. Verdict `notRun`. */
    unavailable: "store-unavailable",
    /** No whole answer. Verdict `mayHaveRun`. */
    unanswered: "store-unanswered",
    /** The history after this revision is gone. */
    compacted: "store-compacted",
    /** The lease has ended. */
    leaseEnded: "store-lease-ended",
} as const;

export abstract class LeaseStore {
    /** Carries out one request. Failures carry the verdict `notRun` or `mayHaveRun` and a code of `storeFailures`. */
    abstract call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>>;
}

/** Lists all items below a prefix, page by page. `storeRevision` is that of the first page: a watch from it misses nothing. */
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
        after = page.val.items.at(-1)?.key;
        if (!page.val.hasMore || after === undefined) {
            return Ok({ items, storeRevision });
        }
    }
}
