/** Planned stops of hosts while callers use open connections to them. */
import { CallsAtStop } from "./calls-at-stop.js";
import type { HostProcess } from "./host-process.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Which hosts are stopped. */
export interface StoppedHostsOptions {
    /** The host that owns the cell, or others, in the order of their stops. Default: drawn for each series. */
    readonly order?: readonly ("owner" | "other")[];
    /** Time between two stops, ms. Default: drawn. */
    readonly gapMs?: number;
}

/** Orders that are drawn. */
const orders = [["owner"], ["other", "owner"], ["owner", "other"], ["other", "owner", "other"]] as const;

/** Tells hosts to stop one after the other, so that their stops overlap, and starts them again. */
export class StoppedHosts extends Trouble {
    readonly name = "stopped-hosts";
    protected override readonly isPlanned = true;

    constructor(private readonly options: StoppedHostsOptions = {}) {
        super();
    }

    async run(context: TroubleContext): Promise<void> {
        const { site, random } = context;
        const { order = random.pickOne(orders)!, gapMs = this.pickMs(random, 200, 1_500) } = this.options;
        const owner = site.findOwner() ?? site.hosts[0]!;
        const others = site.hosts.filter(host => host !== owner);
        const first = random.getInteger(others.length);
        const hosts = order.map((which, index) => which === "owner" ? owner : others[(first + index) % others.length]!);
        const calls = await Promise.all(hosts.map(host => CallsAtStop.open(context, host)));
        const stops = hosts.map(async (host, index) => {
            await new Promise(resolve => setTimeout(resolve, index * gapMs));
            await host.takeTurn(() => this.stopHost(context, host, calls[index]!));
        });
        await Promise.all(stops);
    }

    private async stopHost(context: TroubleContext, host: HostProcess, calls: CallsAtStop): Promise<void> {
        const end = this.begin(context, [host.name], {});
        const stopped = host.stop();
        await Promise.all([stopped, calls.run()]);
        host.start();
        await new Promise(resolve => setTimeout(resolve, 1_500));
        end();
    }
}
