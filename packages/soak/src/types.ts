/** Calls and replies of the store, as the stand-ins use them. */

/** A row of the store. */
export interface StoredItem {
    readonly key: string;
    /** Base64 text, as written. */
    readonly value: string;
    readonly revision: number;
    readonly createdRevision: number;
    readonly lease: number;
}

/** A change of the store; without `item`, the key was removed. */
export interface StoreChange {
    readonly key: string;
    readonly revision: number;
    readonly item?: StoredItem;
}

export interface CommitRequest {
    readonly kind: "commit";
    readonly conditions: readonly { readonly key: string; readonly revision: number; }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly lease: number; }[];
    readonly removals: readonly string[];
}

export interface WatchRequest {
    readonly kind: "watch";
    readonly prefix: string;
    readonly afterRevision: number;
    readonly waitMs: number;
}

/** A call of the store. */
export type StoreRequest =
    | { readonly kind: "read"; readonly key: string; }
    | { readonly kind: "list"; readonly prefix: string; readonly afterKey: string; }
    | WatchRequest
    | CommitRequest
    | { readonly kind: "grantLease"; readonly ttlMs: number; }
    | { readonly kind: "renewLease"; readonly lease: number; }
    | { readonly kind: "endLease"; readonly lease: number; }
    | { readonly kind: "unknown"; };

/** A reply of the store. */
export type StoreReply =
    | { readonly kind: "item"; readonly item: StoredItem | undefined; readonly revision: number; }
    | {
        readonly kind: "items";
        readonly items: readonly StoredItem[];
        readonly hasMore: boolean;
        readonly revision: number;
    }
    | { readonly kind: "changes"; readonly changes: readonly StoreChange[]; readonly revision: number; }
    | { readonly kind: "committed"; readonly revision: number; }
    | {
        readonly kind: "conflict";
        readonly items: readonly (StoredItem | { readonly key: string; readonly revision: 0; })[];
    }
    | { readonly kind: "lease"; readonly lease: number; readonly ttlMs: number; }
    | { readonly kind: "leaseEnded"; }
    | { readonly kind: "done"; }
    | { readonly kind: "busy"; }
    | { readonly kind: "invalid"; };
