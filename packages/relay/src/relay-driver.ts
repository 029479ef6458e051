/**
 * Keeps a replica current. In each zone the first host in settings order that is live and confirmed by the store watches
 * it; the others pull from that host. Zones exchange digests, so that a zone that is cut off from the store gets changes
 * through another zone. Two watchers at one time cost one more call and do no harm.
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
    /** Name of this relay. A process that only pulls has one that is not in `zoneHosts`. */
    readonly host: HostId;
    readonly zone: ZoneId;
    /** Hosts of the own zone whose relays answer, in settings order. */
    readonly zoneHosts: readonly HostId[];
    /** Hosts of each other zone whose relays answer. */
    readonly otherZones: ReadonlyMap<ZoneId, readonly HostId[]>;
    /** Absent in processes that only pull, such as entry and operator processes. */
    readonly store?: Store;
    readonly peers: RelayPeers;
    readonly replica: ConfigurationReplica;
    /** Default: the clock of the machine. */
    readonly clock?: Clock;
    /** Period of the exchange within the zone, in milliseconds. Default 500. */
    readonly zonePeriodMs?: number;
    /** Period of digests between zones, in milliseconds. Default 1,000. */
    readonly digestPeriodMs?: number;
    /** Wait for the answer of a peer, in milliseconds. Default 1,000. */
    readonly peerTimeoutMs?: number;
    /** Age of a digest above which its host counts as gone, in milliseconds. Default 3,000. */
    readonly digestTtlMs?: number;
    /** Longest wait of a store watch, in milliseconds. Default 3,000. */
    readonly watchWaitMs?: number;
    /** Time beyond the wait after which a store call counts as failed, in milliseconds. Default 1,000. */
    readonly storeTimeoutMs?: number;
    /** Wait after a failed store call, times one plus the number of earlier hosts, in milliseconds. Default 1,000. */
    readonly storeRetryMs?: number;
    /**
     * Confirmation age above which a host that is not first also asks other zones, in milliseconds. Default 10,000; ages up to
     * two waits of the watch are ordinary.
     */
    readonly isolationMs?: number;
    /** Called for updates that do not fit and for a store that lost writes. Default: nothing. */
    readonly onProblem?: (problem: Failure) => void;
}

/** Calls made since the start, by cause. */
export interface RelayCounters {
    readonly storeCalls: number;
    readonly zoneDigests: number;
    readonly zonePulls: number;
    readonly crossZoneDigests: number;
    readonly crossZonePulls: number;
}

/** Clock rates differ by at most this part, so an age told by a peer is lengthened by it. */
const clockRateBound = 0.01;
/** Pulls in a row from one peer: a replica that is further behind goes on in the next period. */
const maxConsecutivePulls = 16;
/** Other zones that a first host asks each second when its own store watch works, and when it does not. */
const confirmedFanout = 1;
const unconfirmedFanout = 3;

/**
 * Drives one replica.
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
    private nextDigestAt = -Infinity;

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

    /** Whether a configuration is loaded. A process that is not ready serves nothing. */
    get isReady(): boolean {
        return this.options.replica.revision !== undefined;
    }

    get isWatching(): boolean {
        return this.storeWatch?.isConfirmed ?? false;
    }

    getCounters(): RelayCounters {
        return { storeCalls: this.storeWatch?.callCount ?? 0, ...this.counters };
    }

    start(): void {
        if (!this.isStarted) {
            this.isStarted = true;
            void this.tick();
        }
    }

    /** Stops; calls that are under way end by themselves and schedule nothing. */
    stop(): void {
        this.isStarted = false;
        this.timer?.cancel();
        this.storeWatch?.stop();
    }

    /** Builds the own digest. */
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

    /** Answers the digest of a peer, and pulls from it if it is ahead. */
    handleDigest(digest: RelayDigest): RelayDigest {
        if (this.peerTable.recordDigest(digest) && this.isStarted && this.isBehind(digest)) {
            void this.pullFrom(digest);
        }
        return this.buildDigest();
    }

    /** Answers a pull. */
    handlePull(revision: number | undefined): RelayPull {
        return { digest: this.buildDigest(), update: this.options.replica.buildUpdate(revision) };
    }

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
        if (now >= this.nextDigestAt) {
            this.nextDigestAt = now + (this.options.digestPeriodMs ?? 1_000);
            // Not awaited: a zone that does not answer must not delay the exchange within the own zone.
            void Promise.all(
                this.peerTable.chooseOtherZoneContacts(this.computeFanout()).map(host => this.exchange(host)),
            );
        }
        this.timer = this.clock.schedule(this.options.zonePeriodMs ?? 500, () => void this.tick());
    }

    /** Returns how many other zones to ask now. The first host speaks for the zone; others ask when they are isolated. */
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

    /** The peer's age was taken after `sentAt`, so `sentAt` less that age is not later than the confirmation. */
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
