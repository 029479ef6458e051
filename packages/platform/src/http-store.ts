/**
 * The store over HTTP and JSON.
 */
import type { Failure, Result, WriterToken } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { HttpClientOptions } from "./http-client.js";
import { JsonClient } from "./json-client.js";
import type { StoreEntry, StoreRange, StoreWatchResult, StoreWrite } from "./store.js";
import { Store } from "./store.js";
import {
    maxStoreValueBytes,
    paths,
    storeRangeSchema,
    storeReadSchema,
    storeRevisionSchema,
    storeTokenSchema,
    storeWatchSchema,
} from "./wire.js";

/**
 * The store over HTTP.
 *
 * @example
 * ```ts
 * const store = new HttpStore({ url: "http://127.0.0.1:7000", source: "glasgow" });
 * const entry = await store.read("config/Team/sales");
 * ```
 */
export class HttpStore extends Store {
    private readonly client: JsonClient;

    constructor(options: HttpClientOptions) {
        super();
        const codes = {
            unreachable: "store-unavailable",
            timedOut: "store-timeout",
            responseLost: "store-unavailable",
        };
        this.client = new JsonClient("store", codes, options);
    }

    /** Closes all connections. */
    close(): void {
        this.client.close();
    }

    async read(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
        const path = `${paths.storeEntry}?key=${encodeURIComponent(key)}`;
        const result = await this.client.send(storeReadSchema, { operation: "read", method: "GET", path });
        return result.ok ? pickEntry("read", key, result.val) : result;
    }

    async readRange(prefix: string): Promise<Result<StoreRange, Failure>> {
        const path = `${paths.storeRange}?prefix=${encodeURIComponent(prefix)}`;
        return this.client.send(storeRangeSchema, { operation: "readRange", method: "GET", path });
    }

    async write(write: StoreWrite): Promise<Result<number, Failure>> {
        const bytes = Buffer.byteLength(write.value);
        if (bytes > maxStoreValueBytes) {
            const message = `value of key "${write.key}" has ${bytes} bytes, above the bound of ${maxStoreValueBytes}`;
            return Err(createFailure("store-too-large", message, "notRun"));
        }
        const result = await this.client.send(storeRevisionSchema, {
            operation: "write",
            method: "PUT",
            path: paths.storeEntry,
            content: write,
        });
        return result.map(content => content.revision);
    }

    async delete(key: string, revision: number): Promise<Result<number, Failure>> {
        const result = await this.client.send(storeRevisionSchema, {
            operation: "delete",
            method: "POST",
            path: paths.storeDelete,
            content: { key, revision },
        });
        return result.map(content => content.revision);
    }

    async watch(prefix: string, revision: number, waitMs: number): Promise<Result<StoreWatchResult, Failure>> {
        const query = `prefix=${encodeURIComponent(prefix)}&revision=${revision}&waitMs=${waitMs}`;
        const result = await this.client.send(storeWatchSchema, {
            operation: "watch",
            method: "GET",
            path: `${paths.storeWatch}?${query}`,
            timeoutMs: waitMs + this.client.timeoutMs,
        });
        return result.map(content => ({
            changes: content.changes.map(change => ({
                key: change.key,
                value: change.isDeleted ? undefined : change.value,
                revision: change.revision,
            })),
            revision: content.revision,
        }));
    }

    async readToken(
        key: string,
    ): Promise<Result<{ readonly token: WriterToken; readonly revision: number; } | undefined, Failure>> {
        const path = `${paths.storeToken}?key=${encodeURIComponent(key)}`;
        const result = await this.client.send(storeTokenSchema, { operation: "readToken", method: "GET", path });
        const entry = result.ok ? pickEntry("readToken", key, result.val) : result;
        return entry.map(found => found === undefined ? undefined : { token: found.token, revision: found.revision });
    }
}

type FoundEntry<T> = { readonly isFound: true; readonly entry: T; } | { readonly isFound: false; };

/** Returns the entry of an answer; fails if it is the entry of another key. */
function pickEntry<T extends { readonly key: string; }>(
    operation: string,
    key: string,
    content: FoundEntry<T>,
): Result<T | undefined, Failure> {
    if (content.isFound && content.entry.key !== key) {
        const message = `${operation} of key "${key}" got an answer for key "${content.entry.key}"`;
        return Err(createFailure("store-unavailable", message, "mayHaveRun"));
    }
    return Ok(content.isFound ? content.entry : undefined);
}
