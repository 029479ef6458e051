/**
 * Ownership: a host acquires the right to place in a shard, and loses it while the store is down and no successor
 * answers.
 */
import { createFailure, Err, ManualClock, toId } from "@waxwingroute/core";
import type { HostId, IncarnationId, ShardId } from "@waxwingroute/core";
import { OwnershipDriver, OwnershipPeers } from "@waxwingroute/ownership";
import { FakeStore } from "@waxwingroute/stand-ins";

const unreachable = createFailure("peer-unreachable", "the other host does not answer", "notRun");

/** Peers that never answer. An embedder implements these calls on its own transport. */
class SilentPeers extends OwnershipPeers {
    sendHeartbeat = async () => Err(unreachable);
    arm = async () => Err(unreachable);
    disarm = async () => Err(unreachable);
    release = async () => Err(unreachable);
    identify = async () => Err(unreachable);
}

const clock = new ManualClock();
const store = new FakeStore({ clock });
const driver: OwnershipDriver = new OwnershipDriver({
    shard: toId<ShardId>("glasgow/0"),
    self: toId<HostId>("glasgow-1"),
    // A process generates its incarnation ID after it has bound its configured address.
    incarnation: toId<IncarnationId>("f2d1"),
    hosts: [toId<HostId>("glasgow-1"), toId<HostId>("glasgow-2")],
    store,
    clock,
    peers: new SilentPeers(),
    listener: {
        onRightGained: ({ generation, epoch, basis, waitMs }) => {
            console.log(`right gained: epoch ${epoch}, basis ${basis}`);
            // Before it may place, an owner waits and lists what workers and executors run; this example only waits.
            clock.schedule(waitMs, () => driver.completeRecovery(generation));
        },
        onRightLost: () => console.log("right lost"),
    },
});
driver.start();
await clock.advance(15_000);
console.log(`may place: ${driver.canPlace()}`);

store.faults.setDown(true);
await clock.advance(15_000);
console.log(`may place while the store is down and no successor answers: ${driver.canPlace()}`);
driver.stop();
