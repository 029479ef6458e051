/**
 * Creates the configuration replica of a process and keeps it current.
 */
import { toId } from "@waxwingroute/core";
import type { Clock, HostId, ZoneId } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { ConfigurationReplica, RelayDriver } from "@waxwingroute/relay";
import { listHosts, listZoneHosts } from "@waxwingroute/settings";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import { RpcRelayPeers } from "./rpc-relay-peers.js";
import type { SchedulerCaller } from "./scheduler-clients.js";

export interface RelayOptions {
    readonly settings: Settings;
    readonly location: HostLocation;
    readonly clients: SchedulerCaller;
    /** Given to schedulers, which may watch the store; entry and operator processes pull from schedulers. */
    readonly store?: Store;
    /** Default: the clock of the machine. */
    readonly clock?: Clock;
    /** Called with problems for the log. */
    readonly onProblem?: (code: string, message: string) => void;
}

/** A replica and the driver that keeps it current. */
export interface Relay {
    readonly replica: ConfigurationReplica;
    readonly driver: RelayDriver;
}

/** Creates a relay; the caller starts its driver. */
export function createRelay({ settings, location, clients, store, clock, onProblem }: RelayOptions): Relay {
    const replica = new ConfigurationReplica({ clock });
    const otherZones = new Map<ZoneId, HostId[]>();
    for (const { host, zone } of listHosts(settings)) {
        if (zone !== location.zone) {
            otherZones.set(zone, [...otherZones.get(zone) ?? [], host]);
        }
    }
    const driver = new RelayDriver({
        // A process that only pulls is none of the zone's relays; it must not count itself as the one on its host.
        host: store === undefined ? toId<HostId>(`${location.host}-client`) : location.host,
        zone: location.zone,
        zoneHosts: listZoneHosts(settings, location.zone).map(other => other.host),
        otherZones,
        store,
        peers: new RpcRelayPeers(clients),
        replica,
        clock,
        onProblem: problem => onProblem?.(problem.code, problem.message),
    });
    return { replica, driver };
}
