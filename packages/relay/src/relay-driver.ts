/**
 * Keeps a replica current. In each zone the first live host in settings order whose store calls succeed watches the store,
 * and the others pull from that host. Zones exchange digests, so that a zone that is cut off from the store gets changes
 * through another zone. Two concurrent watchers in a zone are harmless and cost one more store call.
 */
import { SystemClock } from "@waxwingroute/core";
import type { Clock, Failure, HostId, Timer, ZoneId } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { awaitWithTimeout } from "./await-with-timeout.js";
import type { ConfigurationReplica } from "./configuration-replica.js";
import { PeerTable } from "./peer-table.js";
import { StoreWatch } from "./store-watch.js";
import type { RelayDigest, RelayPeers, RelayPull } from "./types.js";

/** Options of a `RelayDriver`. */
export interface RelayDriverOptions {
    /** Name of this relay. A process that only pulls has a name that is not in `zoneHosts`. */
    readonly host: HostId;
    readonly zone: ZoneId;
    /** Hosts of this zone that run a relay which answers digests and pulls, in settings order. */
    readonly zoneHosts: readonly HostId[];
    /** The same for each other zone. */
    readonly otherZones: ReadonlyMap<ZoneId, readonly HostId[]>;
    /** `undefined` in processes that only pull, such as entry and operator processes. */
    readonly store?: Store;
    readonly peers: RelayPeers;
    readonly replica: ConfigurationReplica;
    /** Default: the clock of the machine. */
    readonly clock?: Clock;
    /** Period of digest exchanges within the zone, in milliseconds. Default 500. */
    readonly zonePeriodMs?: number;
    /** Period of digest exchanges with other zones, in milliseconds. Default 1,000. */
    readonly digestPeriodMs?: number;
    /** Timeout of a call to a peer, in milliseconds. Default 1,000. */
    readonly peerTimeoutMs?: number;
    /** Age of a digest above which its host counts as gone, in milliseconds. Default 3,000. */
    readonly digestTtlMs?: number;
    /** Time for which the store may hold one watch call open, in milliseconds. Default 3,000. */
    readonly watchWaitMs?: number;
    /** Timeout of a store call in milliseconds; for a watch it begins after `watchWaitMs`. Default 1,000. */
    readonly storeTimeoutMs?: number;
    /**
     * Delay after a failed store call in milliseconds, multiplied by one plus the number of earlier hosts of the zone. Default
     * 1,000.
     */
    readonly storeRetryMs?: number;
    /**
     * Confirmation age in milliseconds above which a host also asks other zones although an earlier host of its zone is live.
     * Default 10,000; ages up to two waits of the watch are normal.
     */
    readonly isolationMs?: number;
    /** Called for updates that cannot be applied and for a store that lost writes. Default: problems are ignored. */
    readonly onProblem?: (problem: Failure) => void;
}

/** Number of calls made by a `RelayDriver`, by kind. */
export interface RelayCounters {
    readonly storeCalls: number;
    readonly zoneDigests: number;
    readonly zonePulls: number;
    readonly crossZoneDigests: number;
    readonly crossZonePulls: number;
}

/** Clock rates of hosts differ by at most this fraction, so an age reported by a peer is extended by it. */
const clockRateBound = 0.01;
/** Maximum number of consecutive pulls from one peer. A replica that is still behind continues in the next period. */
const maxConsecutivePulls = 16;
/** Other zones that the first live host of a zone asks in each period: while its store watch works, and while it does not. */
const confirmedFanout = 1;
const unconfirmedFanout = 3;

/**
 * Keeps one replica current and answers the digests and pulls of peers.
 *
 * @example
 * ```ts
 * const driver = new RelayDriver({ host, zone, zoneHosts, otherZones, store, peers, replica });
 * driver.start();
 * ```
 */
export class RelayDriver {
    private readonly clock: Clock;
    private readonly peerTable: PeerTable;
    private readonly storeWatch: StoreWatch | undefined;
    private readonly counters = { zoneDigests: 0, zonePulls: 0, crossZoneDigests: 0, crossZonePulls: 0 };
    private readonly activePulls = new Set<HostId>();
    private timer: Timer | undefined;
    private isStarted = false;
    private nextCrossZoneDigestAt = -Infinity;

    constructor(private readonly options: RelayDriverOptions) {
        const clock = options.clock ?? new SystemClock();
        const { host, zoneHosts, otherZones, digestTtlMs = 3_000, store, replica } = options;
        this.clock = clock;
        this.peerTable = new PeerTable({ host, zoneHosts, otherZones, clock, digestTtlMs });
        this.storeWatch = store === undefined ? undefined : new StoreWatch({
            store,
            replica,
            clock,
            watchWaitMs: options.watchWaitMs ?? 3_000,
            storeTimeoutMs: options.storeTimeoutMs ?? 1_000,
            retryMs: (options.storeRetryMs ?? 1_000) * (1 + this.peerTable.rank),
            onProblem: problem => options.onProblem?.(problem),
        });
    }

    /** Whether a configuration is loaded. Until then the process must not serve requests. */
    get isReady(): boolean {
        return this.options.replica.revision !== undefined;
    }

    /** Whether this host watches the store and its last finished store call was a recent success. */
    get isWatching(): boolean {
        return this.storeWatch?.isConfirmed ?? false;
    }

    /** Returns the number of calls made so far. */
    getCounters(): RelayCounters {
        return { storeCalls: this.storeWatch?.callCount ?? 0, ...this.counters };
    }

    /** Starts the periodic exchanges and, whenever this host is the watcher of its zone, the store watch. */
    start(): void {
        if (!this.isStarted) {
            this.isStarted = true;
            void this.tick();
        }
    }

    /** Stops the driver. Calls in progress finish on their own and do not schedule a next period. */
    stop(): void {
        this.isStarted = false;
        this.timer?.cancel();
        this.storeWatch?.stop();
    }

    /** Builds the digest of this relay. */
    buildDigest(): RelayDigest {
        const { host, zone, replica } = this.options;
        const age = replica.getConfirmationAge();
        return {
            host,
            zone,
            revision: replica.revision,
            confirmedAgoMs: Number.isFinite(age) ? age : undefined,
            isStoreConfirmed: this.isWatching,
        };
    }

    /** Answers a peer's digest with the own one. Pulls from the peer if it is ahead and the settings name its host. */
    handleDigest(digest: RelayDigest): RelayDigest {
        if (this.peerTable.recordDigest(digest) && this.isStarted && this.isBehind(digest)) {
            void this.pullFrom(digest);
        }
        return this.buildDigest();
    }

    /** Builds the response to a pull by a peer that is at `revision`. */
    handlePull(revision: number | undefined): RelayPull {
        return { digest: this.buildDigest(), update: this.options.replica.buildUpdate(revision) };
    }

    /** Runs one period: exchanges digests, starts or stops the store watch, and schedules the next period. */
    private async tick(): Promise<void> {
        await Promise.all(this.peerTable.chooseOwnZoneHosts(this.isWatching).map(host => this.exchange(host)));
        if (!this.isStarted) {
            return;
        }
        if (this.peerTable.findEarlierWatcher() === undefined) {
            this.storeWatch?.start();
        }
        else {
            this.storeWatch?.stop();
        }
        const now = this.clock.getNow();
        if (now >= this.nextCrossZoneDigestAt) {
            this.nextCrossZoneDigestAt = now + (this.options.digestPeriodMs ?? 1_000);
            // Not awaited: another zone that does not answer must not delay the exchange within this one.
            void Promise.all(
                this.peerTable.chooseOtherZoneContacts(this.computeFanout()).map(host => this.exchange(host)),
            );
        }
        this.timer = this.clock.schedule(this.options.zonePeriodMs ?? 500, () => void this.tick());
    }

    /**
     * Returns how many other zones to ask now. Normally only the first live host asks, on behalf of its zone; another host
     * asks when its configuration has not been confirmed for too long.
     */
    private computeFanout(): number {
        if (!this.peerTable.hasLiveEarlierHost()) {
            return this.isWatching ? confirmedFanout : unconfirmedFanout;
        }
        return this.options.replica.isFresh(this.options.isolationMs ?? 10_000) ? 0 : 1;
    }

    private async exchange(host: HostId): Promise<void> {
        const sentAt = this.clock.getNow();
        this.countCall(host, "Digests");
        const answer = await this.awaitAnswer(this.options.peers.digest(host, this.buildDigest()));
        if (!answer.ok) {
            this.peerTable.markUnreachable(host);
            return;
        }
        const digest = answer.val;
        this.peerTable.recordDigest(digest);
        this.confirm(digest, sentAt);
        if (this.isBehind(digest)) {
            await this.pullFrom(digest);
        }
    }

    private isBehind(digest: RelayDigest): boolean {
        const { revision } = this.options.replica;
        return digest.revision !== undefined && (revision === undefined || digest.revision > revision);
    }

    private async pullFrom({ host }: RelayDigest): Promise<void> {
        if (this.activePulls.has(host)) {
            return;
        }
        this.activePulls.add(host);
        for (let pulls = 0; pulls < maxConsecutivePulls; pulls++) {
            const sentAt = this.clock.getNow();
            this.countCall(host, "Pulls");
            const answer = await this.awaitAnswer(this.options.peers.pull(host, this.options.replica.revision));
            if (!answer.ok || answer.val.update === undefined) {
                break;
            }
            const applied = this.options.replica.applyUpdate(answer.val.update);
            if (!applied.ok) {
                this.options.onProblem?.(applied.val);
            }
            this.confirm(answer.val.digest, sentAt);
            if (!applied.ok || !applied.val || !this.isBehind(answer.val.digest)) {
                break;
            }
        }
        this.activePulls.delete(host);
    }

    /**
     * Records a confirmation that a peer reported. The peer computed its age after `sentAt`, so `sentAt` minus that age is
     * never later than the actual time of the confirmation.
     */
    private confirm({ revision, confirmedAgoMs }: RelayDigest, sentAt: number): void {
        if (revision !== undefined && confirmedAgoMs !== undefined) {
            this.options.replica.confirm(revision, sentAt - confirmedAgoMs * (1 + clockRateBound));
        }
    }

    private countCall(host: HostId, call: "Digests" | "Pulls"): void {
        this.counters[`${this.options.zoneHosts.includes(host) ? "zone" : "crossZone"}${call}`]++;
    }

    private awaitAnswer<T>(pending: ReturnType<typeof awaitWithTimeout<T>>): ReturnType<typeof awaitWithTimeout<T>> {
        return awaitWithTimeout(this.clock, this.options.peerTimeoutMs ?? 1_000, pending);
    }
}
