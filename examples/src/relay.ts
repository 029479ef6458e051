/**
 * Relay: one host watches the store, another one only pulls from it. Both get each accepted change.
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

/** Direct calls. An embedder sends these messages over its own transport. */
class DirectPeers extends RelayPeers {
    async digest(host: HostId, own: RelayDigest) {
        const driver = drivers.get(host);
        return driver === undefined ? Err(unknownHost) : Ok(driver.handleDigest(own));
    }

    async pull(host: HostId, revision: number | undefined) {
        const driver = drivers.get(host);
        return driver === undefined ? Err(unknownHost) : Ok(driver.handlePull(revision));
    }
}

function startRelay(host: HostId, access: FakeStore | undefined): ConfigurationReplica {
    const replica = new ConfigurationReplica({ clock });
    const peers = new DirectPeers();
    const otherZones = new Map();
    const driver = new RelayDriver({
        host,
        zone,
        zoneHosts: [watcher],
        otherZones,
        store: access,
        peers,
        replica,
        clock,
    });
    drivers.set(host, driver);
    driver.start();
    return replica;
}

const first = startRelay(watcher, store);
const second = startRelay(toId<HostId>("entry-of-glasgow-1"), undefined);
const repository = new ResourceRepository({ store });
const limit = { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 0, slots: 4 };
const spec = { weight: 1, limit, overLimit: "complete" as const };
const created = await repository.create({ kind: "Team", name: "quotes", version: 0, spec });
console.log(`accepted at revision ${created.unwrap().version}`);
await clock.advance(5_000);
console.log(`in effect: watcher ${first.revision}, puller ${second.revision}`);
console.log(`confirmed within 10 s: ${second.isFresh(10_000)}`);
drivers.forEach(driver => driver.stop());
