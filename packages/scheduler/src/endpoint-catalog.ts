/**
 * The workers and executors of a zone, as the platform's host list names them.
 *
 * The host list lags and can be wrong: a missing or empty list changes nothing, and an endpoint that it no longer names
 * stays known, because its tasks may still run. Only the state "leaving" in the list, a drain in the configuration, or
 * the endpoint's own report takes an endpoint out of rotation.
 */
import type { Clock, ExecutorId, Failure, ShardId, Timer, WorkerId, ZoneId } from "@waxwingroute/core";
import type { ExecutorAddress, HostList, HostListing, WorkerAddress } from "@waxwingroute/platform";

/** A worker or executor and whether the host list says that it is leaving. */
export interface CatalogEntry<Address> {
    readonly address: Address;
    readonly isLeaving: boolean;
}

export interface EndpointCatalogOptions {
    readonly zone: ZoneId;
    readonly hostList: HostList;
    readonly clock: Clock;
    /** Time between two polls, in milliseconds. */
    readonly pollMs: number;
    /** Returns the shard that an endpoint belongs to. */
    readonly chooseShard: (endpoint: string) => ShardId;
    readonly onChange?: () => void;
    readonly onFailure?: (failure: Failure) => void;
}

/** Polls the host list of a zone and keeps the last known state of each endpoint. */
export class EndpointCatalog {
    private readonly workers = new Map<WorkerId, CatalogEntry<WorkerAddress>>();
    private readonly executors = new Map<ExecutorId, CatalogEntry<ExecutorAddress>>();
    private timer: Timer | undefined;
    private isStopped = false;
    private firstLoadedAt = Infinity;

    constructor(private readonly options: EndpointCatalogOptions) {}

    /** Whether the host list has answered at least once. */
    get isLoaded(): boolean {
        return this.firstLoadedAt !== Infinity;
    }

    /** When the host list answered for the first time, on the monotonic clock; `Infinity` before. */
    get loadedAt(): number {
        return this.firstLoadedAt;
    }

    async start(): Promise<void> {
        await this.poll();
        if (!this.isStopped) {
            this.timer = this.options.clock.schedule(this.options.pollMs, () => void this.start());
        }
    }

    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    listWorkers(shard: ShardId): readonly CatalogEntry<WorkerAddress>[] {
        return [...this.workers.values()].filter(({ address }) => this.options.chooseShard(address.worker) === shard);
    }

    listExecutors(shard: ShardId): readonly CatalogEntry<ExecutorAddress>[] {
        return [...this.executors.values()].filter(({ address }) =>
            this.options.chooseShard(address.executor) === shard
        );
    }

    private async poll(): Promise<void> {
        const result = await this.options.hostList.list(this.options.zone);
        if (!result.ok) {
            this.options.onFailure?.(result.val);
            return;
        }
        this.firstLoadedAt = Math.min(this.firstLoadedAt, this.options.clock.getNow());
        if (this.applyListing(result.val)) {
            this.options.onChange?.();
        }
    }

    private applyListing(listing: HostListing): boolean {
        let isChanged = false;
        for (const { address, state } of listing.workers) {
            isChanged = applyEntry(this.workers, address.worker, address, state === "leaving") || isChanged;
        }
        for (const { address, state } of listing.executors) {
            isChanged = applyEntry(this.executors, address.executor, address, state === "leaving") || isChanged;
        }
        return isChanged;
    }
}

function applyEntry<Key, Address>(
    entries: Map<Key, CatalogEntry<Address>>,
    key: Key,
    address: Address,
    isLeaving: boolean,
): boolean {
    const known = entries.get(key);
    if (known?.isLeaving === isLeaving && JSON.stringify(known.address) === JSON.stringify(address)) {
        return false;
    }
    entries.set(key, { address, isLeaving });
    return true;
}
