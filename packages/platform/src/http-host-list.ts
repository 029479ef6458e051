/**
 * The host list over HTTP and JSON.
 */
import type { Failure, Result, ZoneId } from "@waxwingroute/core";
import type { HostListing } from "./host-list.js";
import { HostList } from "./host-list.js";
import type { HttpClientOptions } from "./http-client.js";
import { JsonClient } from "./json-client.js";
import { hostListingSchema, paths } from "./wire.js";

/**
 * The host list over HTTP. Failure codes: `host-list-unavailable`.
 *
 * @example
 * ```ts
 * const hostList = new HttpHostList({ url: "http://127.0.0.1:7001" });
 * const listing = await hostList.list(zone);
 * ```
 */
export class HttpHostList extends HostList {
    private readonly client: JsonClient;

    constructor(options: HttpClientOptions) {
        super();
        const code = "host-list-unavailable";
        this.client = new JsonClient("host-list", { unreachable: code, timedOut: code, responseLost: code }, options);
    }

    /** Closes all connections. */
    close(): void {
        this.client.close();
    }

    async list(zone: ZoneId): Promise<Result<HostListing, Failure>> {
        const path = `${paths.hostList}?zone=${encodeURIComponent(zone)}`;
        return this.client.send(hostListingSchema, { operation: "list", method: "GET", path });
    }
}
