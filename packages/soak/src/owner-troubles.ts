/** Troubles around the change of the owner: planned stops in turn, pauses at the end of its lease, paths that fall silent. */
import type { HostProcess } from "./host-process.js";
import { replaceOwner } from "./owner-changes.js";
import type { StoreFaults } from "./store-front.js";
import { ownerRecordKey } from "./store-write-troubles.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Planned stops that overlap: the owner, then the next owner, and so on. Each host starts again at the same address. */
export class StopsInTurn extends Trouble {
    readonly name = "stops-in-turn";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const times = 2 + random.getInteger(4);
        const stopping = new Set<HostProcess>();
        const stops: Promise<void>[] = [];
        for (let time = 0; time < times; time++) {
            const owner = site.findOwner();
            const rest = site.hosts.filter(host => !stopping.has(host));
            const host = owner !== undefined && rest.includes(owner) ? owner : random.pickOne(rest)!;
            // One host goes on.
            if (rest.length > 1) {
                stopping.add(host);
                const awayMs = this.pickMs(random, 0, 1_000);
                stops.push(this.restart(context, host, awayMs).then(() => void stopping.delete(host)));
            }
            await wait(this.pickMs(random, 400, 2_000));
        }
        await Promise.all(stops);
    }

    private async restart(context: TroubleContext, host: HostProcess, awayMs: number): Promise<void> {
        await host.takeTurn(async () => {
            const end = this.begin(context, [host.name], { awayMs });
            await host.stop();
            await context.wait(awayMs);
            host.start();
            await context.wait(1_500);
            end();
        });
    }
}

/** Keeps the owner from renewing its lease, pauses it just before the lease ends and wakes it around that moment. */
export class PausedAtLeaseEnd extends Trouble {
    readonly name = "paused-at-lease-end";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const host = site.findOwner() ?? site.hosts[0]!;
        const faults = random.pickOne<StoreFaults>([{ mode: "silent" }, { lossShare: 1 }])!;
        const beforeMs = this.pickMs(random, 5, 400);
        const afterMs = this.pickMs(random, -50, 800);
        const storeMs = this.pickMs(random, 0, 1_500);
        await host.takeTurn(async () => {
            const end = this.begin(context, [host.name], { beforeMs, afterMs, storeMs, ...faults });
            const stores = site.listStores([host.name]);
            const leaseEndsAt = stores[0]?.getLeaseEnd(ownerRecordKey) ?? performance.now();
            const restores = stores.map(store => store.addFaults(faults));
            await wait(Math.max(0, leaseEndsAt - beforeMs - performance.now()));
            host.sendSignal("SIGSTOP");
            await wait(Math.max(0, leaseEndsAt + afterMs - performance.now()));
            host.sendSignal("SIGCONT");
            await wait(storeMs);
            restores.forEach(restore => restore());
            end();
        });
    }
}

/** Connections of a host that fall silent for good, without an end, while new ones work. */
export class SilentConnections extends Trouble {
    readonly name = "silent-connections";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const host = site.chooseHost(random, 0.7);
        const target = random.pickOne(["hosts", "store", "executors", "all"] as const)!;
        const change = random.pickOne(["none", "none", "pause", "stop"] as const)!;
        const end = this.begin(context, [host.name], { target, change });
        if (target === "hosts" || target === "all") {
            site.links.filter(link => link.from === host.name || link.to === host.name).forEach(link =>
                link.dropTraffic()
            );
        }
        if (target === "store" || target === "all") {
            site.listStores([host.name]).forEach(store => store.dropTraffic());
        }
        if (target === "executors" || target === "all") {
            site.executors.forEach(front => front.dropTraffic(host.name));
        }
        await wait(this.pickMs(random, 100, 2_000));
        await replaceOwner(context, host, change);
        await wait(this.pickMs(random, 1_000, 4_000));
        end();
    }
}
