/**
 * The store over HTTP and JSON.
 */
import type { Failure, Result, WriterToken } from "@waxwingroute/core";
import { createFailure, Err } from "@waxwingroute/core";
import type { HttpOptions } from "./http-client.js";
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

    constructor(options: HttpOptions) {
        super();
        const codes = { unreachable: "store-unavailable", timedOut: "store-timeout", lost: "store-unavailable" };
        this.client = new JsonClient("store", codes, options);
    }

    /** Closes all connections. */
    close(): void {
        this.client.close();
    }

    async read(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
        const path = `${paths.storeEntry}?key=${encodeURIComponent(key)}`;
        const result = await this.client.send(storeReadSchema, { operation: "read", method: "GET", path });
        return result.map(content => content.entry);
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
        return this.client.send(storeWatchSchema, {
            operation: "watch",
            method: "GET",
            path: `${paths.storeWatch}?${query}`,
            timeoutMs: waitMs + this.client.timeoutMs,
        });
    }

    async readToken(
        key: string,
    ): Promise<Result<{ readonly token: WriterToken; readonly revision: number; } | undefined, Failure>> {
        const path = `${paths.storeToken}?key=${encodeURIComponent(key)}`;
        const result = await this.client.send(storeTokenSchema, { operation: "readToken", method: "GET", path });
        return result.map(content => content.entry);
    }
}
