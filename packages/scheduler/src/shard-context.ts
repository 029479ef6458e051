/**
 * Types that the parts of a shard owner share.
 */
import type { Clock, HostId, RandomSource, ShardId } from "@waxwingroute/core";
import type { Executor, ExecutorAddress, Store, Worker, WorkerAddress } from "@waxwingroute/platform";
import type { ConfigurationView } from "@waxwingroute/resources";
import type { Settings } from "@waxwingroute/settings";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { EndpointCatalog } from "./endpoint-catalog.js";

/** Opens clients of workers and executors; the program uses the HTTP adapters, tests use fakes. */
export interface EndpointClientFactory {
    openWorker(address: WorkerAddress): Worker;
    openExecutor(address: ExecutorAddress): Executor;
}

/** Dependencies and settings of one shard on one host. */
export interface ShardContext {
    readonly shard: ShardId;
    readonly host: HostId;
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly store: Store;
    readonly logger: LogWriter;
    readonly catalog: EndpointCatalog;
    readonly endpoints: EndpointClientFactory;
    /** The configuration in force; it is updated in place. */
    readonly configuration: ConfigurationView;
}

/** A right of this host to place the tasks of a shard. It expires by itself unless the ownership protocol renews it. */
export interface PlacementRight {
    /** Rises with each right that this process gains for the shard. */
    readonly generation: number;
    /** Epoch of the ownership; it fences the writes of earlier owners. */
    readonly epoch: number;
    /** Returns whether the right holds now. Checked after each decision and immediately before each send. */
    canPlace(): boolean;
}
