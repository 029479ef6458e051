/**
 * Relay: one host watches the store, and another only pulls from that host. Both receive each accepted change.
 */
import { createFailure, Err, ManualClock, Ok, toId } from "@waxwingroute/core";
import type { HostId, ZoneId } from "@waxwingroute/core";
import { ConfigurationReplica, RelayDriver, RelayPeers } from "@waxwingroute/relay";
import type { RelayDigest } from "@waxwingroute/relay";
import { ResourceRepository } from "@waxwingroute/resources";
import { FakeStore } from "@waxwingroute/stand-ins";

const clock = new ManualClock();
const store = new FakeStore({ clock });
const zone = toId<ZoneId>("glasgow");
const watcher = toId<HostId>("glasgow-1");
const drivers = new Map<HostId, RelayDriver>();
const unknownHost = createFailure("unknown-host", "no such host", "notRun");

/** Peers that are called directly. An embedder implements these calls on its own transport. */
class DirectPeers extends RelayPeers {
    async digest(host: HostId, peerDigest: RelayDigest) {
        const driver = drivers.get(host);
        return driver === undefined ? Err(unknownHost) : Ok(driver.handleDigest(peerDigest));
    }

    async pull(host: HostId, revision: number | undefined) {
        const driver = drivers.get(host);
        return driver === undefined ? Err(unknownHost) : Ok(driver.handlePull(revision));
    }
}

function startRelay(host: HostId, watchedStore: FakeStore | undefined): ConfigurationReplica {
    const replica = new ConfigurationReplica({ clock });
    const peers = new DirectPeers();
    const otherZones = new Map();
    const driver = new RelayDriver({
        host,
        zone,
        zoneHosts: [watcher],
        otherZones,
        store: watchedStore,
        peers,
        replica,
        clock,
    });
    drivers.set(host, driver);
    driver.start();
    return replica;
}

const watcherReplica = startRelay(watcher, store);
const pullerReplica = startRelay(toId<HostId>("entry-of-glasgow-1"), undefined);
const repository = new ResourceRepository({ store });
const limit = { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 0, slots: 4 };
const spec = { weight: 1, limit, overLimit: "complete" as const };
const created = await repository.create({ kind: "Team", name: "quotes", version: 0, spec });
console.log(`accepted at revision ${created.unwrap().version}`);
await clock.advance(5_000);
console.log(`in effect: watcher ${watcherReplica.revision}, puller ${pullerReplica.revision}`);
console.log(`confirmed within 10 s: ${pullerReplica.isFresh(10_000)}`);
drivers.forEach(driver => driver.stop());
