/**
 * What the parts of a shard owner share.
 */
import type { Clock, HostId, RandomSource, ShardId } from "@waxwingroute/core";
import type { Executor, ExecutorAddress, Store, Worker, WorkerAddress } from "@waxwingroute/platform";
import type { ConfigurationView } from "@waxwingroute/resources";
import type { Settings } from "@waxwingroute/settings";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { EndpointCatalog } from "./endpoint-catalog.js";

/** Opens access to endpoints; the programs use the HTTP adapters, tests use fakes. */
export interface EndpointClientFactory {
    openWorker(address: WorkerAddress): Worker;
    openExecutor(address: ExecutorAddress): Executor;
}

/** Parts and settings of one shard on one host. */
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
    /** The configuration in force. */
    readonly configuration: ConfigurationView;
}

/** The right of one ownership; it lapses by itself. */
export interface PlacementRight {
    readonly generation: number;
    readonly epoch: number;
    /** Checked after each decision and immediately before each send. */
    canPlace(): boolean;
}
