/**
 * What this relay last heard of the other relays, and which of them it asks next.
 */
import type { Clock, HostId, ZoneId } from "@waxwingroute/core";
import type { RelayDigest } from "./types.js";

interface Sighting {
    readonly digest: RelayDigest;
    readonly seenAt: number;
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
    readonly sightingMs: number;
}

/** Sightings of relays and the turns in which they are asked. */
export class PeerTable {
    private readonly sightings = new Map<HostId, Sighting>();
    private readonly contactIndexes = new Map<ZoneId, number>();
    private readonly earlier: readonly HostId[];
    private readonly others: readonly HostId[];
    private readonly known: ReadonlySet<HostId>;
    private zoneTurn = 0;
    private hostTurn = 0;

    constructor(private readonly options: PeerTableOptions) {
        const rank = options.zoneHosts.indexOf(options.host);
        this.earlier = rank < 0 ? options.zoneHosts : options.zoneHosts.slice(0, rank);
        this.others = options.zoneHosts.filter(host => host !== options.host);
        this.known = new Set([...this.others, ...[...options.otherZones.values()].flat()]);
    }

    /** Number of hosts of the zone before this one in settings order. */
    get rank(): number {
        return this.earlier.length;
    }

    /** Records a digest; returns `false` for hosts that the settings do not name, such as processes that only pull. */
    record(digest: RelayDigest): boolean {
        if (!this.known.has(digest.host)) {
            return false;
        }
        this.sightings.set(digest.host, { digest, seenAt: this.options.clock.getNow() });
        return true;
    }

    /** Forgets a host that did not answer, and turns to the next contact of its zone. */
    markUnreachable(host: HostId): void {
        this.sightings.delete(host);
        for (const [zone, hosts] of this.options.otherZones) {
            const index = this.contactIndexes.get(zone) ?? 0;
            if (hosts[index % hosts.length] === host) {
                this.contactIndexes.set(zone, index + 1);
            }
        }
    }

    /** Finds the first earlier host of the zone that was seen lately and watches the store. */
    findWatcher(): HostId | undefined {
        return this.earlier.find(host => this.findRecent(host)?.isStoreConfirmed === true);
    }

    /** Returns whether an earlier host of the zone was seen lately. */
    hasEarlierHost(): boolean {
        return this.earlier.some(host => this.findRecent(host) !== undefined);
    }

    /**
     * Chooses the hosts of the zone to ask now: the watcher, or else the first host and the next two in turn. One call in
     * the ordinary case, and never a call to each host.
     *
     * @param isWatching Whether this host watches the store; it then asks only the hosts that would watch in its place.
     */
    chooseZoneHosts(isWatching: boolean): readonly HostId[] {
        const first = this.earlier[0];
        const watcher = this.findWatcher();
        if (watcher !== undefined && watcher === first) {
            return [watcher];
        }
        const pool = isWatching || watcher !== undefined ? this.earlier : this.others;
        const chosen = new Set([
            watcher,
            first,
            pool[this.hostTurn % pool.length],
            pool[(this.hostTurn + 1) % pool.length],
        ]);
        this.hostTurn += 2;
        return [...chosen].filter(host => host !== undefined);
    }

    /** Chooses one contact in each of the next `count` other zones in turn. */
    chooseContacts(count: number): readonly HostId[] {
        const zones = [...this.options.otherZones].filter(([, hosts]) => hosts.length > 0);
        const chosen: HostId[] = [];
        for (let turn = 0; turn < Math.min(count, zones.length); turn++) {
            const [zone, hosts] = zones[(this.zoneTurn + turn) % zones.length] ?? [];
            const contact = zone === undefined
                ? undefined
                : hosts?.[(this.contactIndexes.get(zone) ?? 0) % hosts.length];
            if (contact !== undefined) {
                chosen.push(contact);
            }
        }
        this.zoneTurn += count;
        return chosen;
    }

    private findRecent(host: HostId): RelayDigest | undefined {
        const sighting = this.sightings.get(host);
        const isRecent = sighting !== undefined
            && this.options.clock.getNow() - sighting.seenAt <= this.options.sightingMs;
        return isRecent ? sighting.digest : undefined;
    }
}
