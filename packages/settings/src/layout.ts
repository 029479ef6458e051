/**
 * Look-ups in the layout of regions, zones and entry hosts.
 */
import { toId, toShardId } from "@waxwingroute/core";
import type { HostId, RegionId, ShardId, ZoneId } from "@waxwingroute/core";
import { createHash } from "node:crypto";
import type { HostSettings, Settings } from "./schema.js";

/** An entry host with its place in the layout. */
export interface HostLocation {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly region: RegionId;
    readonly settings: HostSettings;
}

/** Lists all entry hosts in the order of the settings. */
export function listHosts(settings: Settings): readonly HostLocation[] {
    return settings.regions.flatMap(region =>
        region.zones.flatMap(zone =>
            zone.hosts.map(host => ({
                host: toId<HostId>(host.name),
                zone: toId<ZoneId>(zone.name),
                region: toId<RegionId>(region.name),
                settings: host,
            }))
        )
    );
}

/** Finds an entry host by name. */
export function findHost(settings: Settings, name: string): HostLocation | undefined {
    return listHosts(settings).find(location => location.host === name);
}

/** Lists the entry hosts of a zone in the order of the settings. */
export function listZoneHosts(settings: Settings, zone: ZoneId): readonly HostLocation[] {
    return listHosts(settings).filter(location => location.zone === zone);
}

/** Lists the shards of a zone. */
export function listZoneShards(settings: Settings, zone: ZoneId): readonly ShardId[] {
    const zoneSettings = settings.regions.flatMap(region => region.zones).find(other => other.name === zone);
    return Array.from({ length: zoneSettings?.shards ?? 0 }, (_, number) => toShardId(zone, number));
}

/** Lists all shards of the cluster. */
export function listShards(settings: Settings): readonly ShardId[] {
    return settings.regions
        .flatMap(region => region.zones)
        .flatMap(zone => listZoneShards(settings, toId<ZoneId>(zone.name)));
}

/** Returns the shard that a worker or executor of a zone belongs to; the same on every host. */
export function chooseEndpointShard(settings: Settings, zone: ZoneId, endpoint: string): ShardId {
    const count = Math.max(1, listZoneShards(settings, zone).length);
    const hash = createHash("sha256").update(endpoint).digest().readUInt32BE();
    return toShardId(zone, hash % count);
}

/** Returns `<ip>:<port>` of the scheduler of a host, with brackets around an IPv6 number. */
export function getSchedulerAddress(location: HostLocation): string {
    const { address, ports } = location.settings;
    return address.includes(":") ? `[${address}]:${ports.scheduler}` : `${address}:${ports.scheduler}`;
}
