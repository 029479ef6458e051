/**
 * Interface to the platform's list of hosts, which lags behind their actual state.
 */
import type { Failure, Result, ZoneId } from "@waxwingroute/core";
import type { ExecutorAddress } from "./executor.js";
import type { WorkerAddress } from "./worker.js";

export type HostState = "live" | "leaving";

/** Workers and executors of a zone as the platform last observed them: several seconds old, and sometimes wrong. */
export interface HostListing {
    readonly workers: readonly { readonly address: WorkerAddress; readonly state: HostState; }[];
    readonly executors: readonly { readonly address: ExecutorAddress; readonly state: HostState; }[];
}

/** Client of the host list. */
export abstract class HostList {
    abstract list(zone: ZoneId): Promise<Result<HostListing, Failure>>;
}
