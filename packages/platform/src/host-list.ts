/**
 * The platform's lagging list of live and leaving hosts.
 */
import type { Failure, Result, ZoneId } from "@waxwingroute/core";
import type { ExecutorAddress } from "./executor.js";
import type { WorkerAddress } from "./worker.js";

export type HostState = "live" | "leaving";

/** The hosts of a zone as the platform last saw them; several seconds old, and sometimes wrong. */
export interface HostListing {
    readonly workers: readonly { readonly address: WorkerAddress; readonly state: HostState; }[];
    readonly executors: readonly { readonly address: ExecutorAddress; readonly state: HostState; }[];
}

/** Access to the host list. */
export abstract class HostList {
    abstract list(zone: ZoneId): Promise<Result<HostListing, Failure>>;
}
