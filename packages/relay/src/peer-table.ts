/**
 * What this relay last heard of the other relays, and which of them it asks next.
 */
import type { Clock, HostId, ZoneId } from "@waxwingroute/core";
import type { RelayDigest } from "./types.js";

interface ReceivedDigest {
    readonly digest: RelayDigest;
    readonly receivedAt: number;
}

/** Options of a `PeerTable`. */
export interface PeerTableOptions {
    readonly host: HostId;
    /** Hosts of the own zone, in settings order. */
    readonly zoneHosts: readonly HostId[];
    /** Hosts of each other zone. */
    readonly otherZones: ReadonlyMap<ZoneId, readonly HostId[]>;
    readonly clock: Clock;
    /** Age above which a sighting counts as nothing, in milliseconds. */
    readonly digestTtlMs: number;
}

/** Sightings of relays and the turns in which they are asked. */
export class PeerTable {
    private readonly receivedDigests = new Map<HostId, ReceivedDigest>();
    private readonly contactIndexes = new Map<ZoneId, number>();
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

    /** Number of hosts of the zone before this one in settings order. */
    get rank(): number {
        return this.earlierHosts.length;
    }

    /** Records a digest; returns `false` for hosts that the settings do not name, such as processes that only pull. */
    recordDigest(digest: RelayDigest): boolean {
        if (!this.knownHosts.has(digest.host)) {
            return false;
        }
        this.receivedDigests.set(digest.host, { digest, receivedAt: this.options.clock.getNow() });
        return true;
    }

    /** Forgets a host that did not answer, and turns to the next contact of its zone. */
    markUnreachable(host: HostId): void {
        this.receivedDigests.delete(host);
        for (const [zone, hosts] of this.options.otherZones) {
            const index = this.contactIndexes.get(zone) ?? 0;
            if (hosts[index % hosts.length] === host) {
                this.contactIndexes.set(zone, index + 1);
            }
        }
    }

    /** Finds the first earlier host of the zone that was seen lately and watches the store. */
    findEarlierWatcher(): HostId | undefined {
        return this.earlierHosts.find(host => this.findRecentDigest(host)?.isStoreConfirmed === true);
    }

    /** Returns whether an earlier host of the zone was seen lately. */
    hasLiveEarlierHost(): boolean {
        return this.earlierHosts.some(host => this.findRecentDigest(host) !== undefined);
    }

    /**
     * Chooses the hosts of the zone to ask now: the watcher, or else the first host and the next two in turn. One call in
     * the ordinary case, and never a call to each host.
     *
     * @param isWatching Whether this host watches the store; it then asks only the hosts that would watch in its place.
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

    /** Chooses one contact in each of the next `count` other zones in turn. */
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
