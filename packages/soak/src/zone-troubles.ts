/** Troubles of whole zones. */
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Share of the cuts that hit the zone of the owner, if it is known. */
const ownerZoneShare = 0.7;

/** Cuts a zone off from the other zone's hosts and executors, and in most cases from the store. */
export class CutZone extends Trouble {
    readonly name = "cut-zone";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const owner = site.findOwner();
        // One zone at a time, so that the other goes on.
        const zone = [...site.cutZones][0]
            ?? (owner !== undefined && random.getFloat() < ownerZoneShare ? owner.zone : random.pickOne(site.zones)!);
        const isCutFromStore = random.getFloat() < 0.8;
        const ms = this.pickMs(random, 3_000, 20_000);
        const inside = site.hosts.filter(host => host.zone === zone).map(host => host.name);
        const outside = site.hosts.filter(host => host.zone !== zone).map(host => host.name);
        const end = this.begin(context, site.hostNames, { zone, isCutFromStore, ms });
        const restores = [
            ...site.executors.map(front =>
                front.addFaults({ cutHosts: front.executor.zone === zone ? outside : inside })
            ),
            ...site.links.filter(link => inside.includes(link.from) !== inside.includes(link.to)).map(link =>
                link.pause()
            ),
        ];
        site.cutZones.add(zone);
        if (isCutFromStore) {
            restores.push(...site.listStores(inside).map(store => store.addFaults({ mode: "silent" })));
        }
        await wait(ms);
        restores.forEach(restore => restore());
        site.cutZones.delete(zone);
        end();
    }
}
