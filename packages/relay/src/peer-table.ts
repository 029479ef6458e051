/**
 * The digests that this relay last received from the other relays, and the choice of the hosts to ask next.
 */
import type { Clock, HostId, ZoneId } from "@waxwingroute/core";
import type { RelayDigest } from "./types.js";

/** A digest and the monotonic time of its receipt. */
interface ReceivedDigest {
    readonly digest: RelayDigest;
    readonly receivedAt: number;
}

/** Options of a `PeerTable`. */
export interface PeerTableOptions {
    readonly host: HostId;
    /** Hosts of this relay's zone, in settings order. */
    readonly zoneHosts: readonly HostId[];
    /** Hosts of each other zone. */
    readonly otherZones: ReadonlyMap<ZoneId, readonly HostId[]>;
    readonly clock: Clock;
    /** Age in milliseconds above which a received digest is ignored and its host counts as gone. */
    readonly digestTtlMs: number;
}

/** Keeps the last digest of each relay, and chooses the hosts to ask round-robin. */
export class PeerTable {
    private readonly receivedDigests = new Map<HostId, ReceivedDigest>();
    private readonly contactIndexes = new Map<ZoneId, number>();
    /** Hosts of the zone before this one in settings order; all of them for a process that only pulls. */
    private readonly earlierHosts: readonly HostId[];
    private readonly zonePeers: readonly HostId[];
    private readonly knownHosts: ReadonlySet<HostId>;
    private nextZoneIndex = 0;
    private nextHostIndex = 0;

    constructor(private readonly options: PeerTableOptions) {
        const rank = options.zoneHosts.indexOf(options.host);
        this.earlierHosts = rank < 0 ? options.zoneHosts : options.zoneHosts.slice(0, rank);
        this.zonePeers = options.zoneHosts.filter(host => host !== options.host);
        this.knownHosts = new Set([...this.zonePeers, ...[...options.otherZones.values()].flat()]);
    }

    /** Number of hosts of the zone that come before this one in settings order. */
    get rank(): number {
        return this.earlierHosts.length;
    }

    /** Records a digest; returns `false` if the settings do not name its host, as for processes that only pull. */
    recordDigest(digest: RelayDigest): boolean {
        if (!this.knownHosts.has(digest.host)) {
            return false;
        }
        this.receivedDigests.set(digest.host, { digest, receivedAt: this.options.clock.getNow() });
        return true;
    }

    /** Drops the digest of a host that did not answer; if it was the contact of its zone, the next host takes its place. */
    markUnreachable(host: HostId): void {
        this.receivedDigests.delete(host);
        for (const [zone, hosts] of this.options.otherZones) {
            const index = this.contactIndexes.get(zone) ?? 0;
            if (hosts[index % hosts.length] === host) {
                this.contactIndexes.set(zone, index + 1);
            }
        }
    }

    /** Finds the first earlier host of the zone whose recent digest says that it watches the store. */
    findEarlierWatcher(): HostId | undefined {
        return this.earlierHosts.find(host => this.findRecentDigest(host)?.isStoreConfirmed === true);
    }

    /** Returns whether a recent digest of an earlier host of the zone exists. */
    hasLiveEarlierHost(): boolean {
        return this.earlierHosts.some(host => this.findRecentDigest(host) !== undefined);
    }

    /**
     * Chooses the hosts of this relay's zone to ask now: only the first host while that one watches the store; otherwise the
     * earlier host that watches, if any, the first host and the next two round-robin. So the usual cost is one call, and the
     * number of calls never grows with the zone.
     *
     * @param isWatching Whether this host watches the store. It then asks only earlier hosts, which have priority for the watch.
     */
    chooseOwnZoneHosts(isWatching: boolean): readonly HostId[] {
        const first = this.earlierHosts[0];
        const watcher = this.findEarlierWatcher();
        if (watcher !== undefined && watcher === first) {
            return [watcher];
        }
        const candidates = isWatching || watcher !== undefined ? this.earlierHosts : this.zonePeers;
        const chosen = new Set([
            watcher,
            first,
            candidates[this.nextHostIndex % candidates.length],
            candidates[(this.nextHostIndex + 1) % candidates.length],
        ]);
        this.nextHostIndex += 2;
        return [...chosen].filter(host => host !== undefined);
    }

    /** Chooses the contact of each of the next `count` other zones, round-robin. */
    chooseOtherZoneContacts(count: number): readonly HostId[] {
        const zones = [...this.options.otherZones].filter(([, hosts]) => hosts.length > 0);
        const chosen: HostId[] = [];
        for (let offset = 0; offset < Math.min(count, zones.length); offset++) {
            const [zone, hosts] = zones[(this.nextZoneIndex + offset) % zones.length] ?? [];
            const contact = zone === undefined
                ? undefined
                : hosts?.[(this.contactIndexes.get(zone) ?? 0) % hosts.length];
            if (contact !== undefined) {
                chosen.push(contact);
            }
        }
        this.nextZoneIndex += count;
        return chosen;
    }

    private findRecentDigest(host: HostId): RelayDigest | undefined {
        const received = this.receivedDigests.get(host);
        const isRecent = received !== undefined
            && this.options.clock.getNow() - received.receivedAt <= this.options.digestTtlMs;
        return isRecent ? received.digest : undefined;
    }
}
