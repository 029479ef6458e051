/** Troubles of the processes of hosts. */
import type { HostProcess } from "./host-process.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Share of the troubles that hit the owner. */
const ownerShare = 0.6;

/** Pauses one or four hosts, as a machine that is suspended does. */
export class PausedHosts extends Trouble {
    readonly name = "paused-hosts";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const count = random.getFloat() < 0.3 ? Math.min(4, site.hosts.length - 1) : 1;
        const first = site.chooseHost(random, ownerShare);
        const others = site.hosts.filter(host => host !== first);
        const hosts = [first, ...others.slice(0, count - 1)];
        const ms = this.pickMs(random, 500, 12_000);
        const end = this.begin(context, hosts.map(host => host.name), { ms });
        hosts.forEach(host => host.sendSignal("SIGSTOP"));
        await wait(ms);
        hosts.forEach(host => host.sendSignal("SIGCONT"));
        end();
    }
}

/** Kills a host and starts it again at the same address, up to three times in a row. */
export class KilledHost extends Trouble {
    readonly name = "killed-host";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const host = site.chooseHost(random, ownerShare);
        const times = 1 + random.getInteger(3);
        const pauses = Array.from({ length: times }, () => this.pickMs(random, 0, 3_000));
        await host.takeTurn(async () => {
            const end = this.begin(context, [host.name], { times });
            for (const ms of pauses) {
                await host.kill();
                await wait(ms);
                host.start();
                await wait(1_500);
            }
            end();
        });
    }
}

/** Kills most or all hosts at the same moment and starts them again. */
export class KilledHosts extends Trouble {
    readonly name = "killed-hosts";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const first = site.chooseHost(random, ownerShare);
        const others = site.hosts.filter(host => host !== first);
        const count = Math.ceil(site.hosts.length * [0.5, 0.7, 1][random.getInteger(3)]!);
        const hosts = [first, ...others.slice(0, count - 1)];
        const ms = this.pickMs(random, 500, 2_500);
        const end = this.begin(context, hosts.map(host => host.name), { ms });
        await Promise.all(hosts.map(host =>
            host.takeTurn(async () => {
                await host.kill();
                await wait(ms);
                host.start();
            })
        ));
        await wait(1_500);
        end();
    }
}

/** Tells a host to stop and starts it again once it has. */
export class TerminatedHost extends Trouble {
    readonly name = "terminated-host";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const host = site.chooseHost(random, ownerShare);
        const ms = this.pickMs(random, 0, 2_000);
        await host.takeTurn(async () => {
            const end = this.begin(context, [host.name], { ms });
            await host.stop();
            await wait(ms);
            host.start();
            await wait(1_500);
            end();
        });
    }
}

/** Tells a host a few times that its settings have changed. */
export class HungUpHost extends Trouble {
    readonly name = "hung-up-host";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const host = site.chooseHost(random, ownerShare);
        const times = 1 + random.getInteger(3);
        for (let time = 0; time < times; time++) {
            await this.sendHangUp(host);
            await wait(300);
        }
    }

    /** Leaves out hosts that have not served a request yet: a signal during the start is a test of its own. */
    private async sendHangUp(host: HostProcess): Promise<void> {
        if (await host.isReady()) {
            host.sendSignal("SIGHUP");
        }
    }
}

/**
 * Holds back writes of the owner and kills, pauses or stops it while they are on their way. A host that was killed starts
 * again at the same address, so that the writes of its earlier process arrive in the time of the new one.
 */
export class OwnerLostWithWrites extends Trouble {
    readonly name = "owner-lost-with-writes";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const host = site.findOwner() ?? site.hosts[0]!;
        const holdMs = this.pickMs(random, 300, 2_500);
        const action = random.pickOne(["kill", "kill", "pause", "terminate"] as const)!;
        const awayMs = this.pickMs(random, 0, 5_000);
        const lateShare = [0.3, 0.7, 1][random.getInteger(3)]!;
        const maxLateMs = this.pickMs(random, 2_000, 15_000);
        await host.takeTurn(async () => {
            const end = this.begin(context, [host.name], { action, holdMs, awayMs, lateShare, maxLateMs });
            const restores = site.listStores([host.name]).map(store => store.addFaults({ lateShare, maxLateMs }));
            await wait(holdMs);
            if (action === "pause") {
                host.sendSignal("SIGSTOP");
                await wait(awayMs);
                host.sendSignal("SIGCONT");
            }
            else {
                await (action === "kill" ? host.kill() : host.stop());
                await wait(awayMs);
                host.start();
            }
            restores.forEach(restore => restore());
            await wait(1_500);
            end();
        });
    }
}

/** Pauses one owner after the other for longer than its lease, so that the cell changes hands several times in a row. */
export class PausedOwners extends Trouble {
    readonly name = "paused-owners";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const times = 1 + random.getInteger(3);
        for (let time = 0; time < times; time++) {
            const host = site.findOwner() ?? site.hosts[0]!;
            const ms = this.pickMs(random, 3_500, 7_500);
            const end = this.begin(context, [host.name], { ms });
            host.sendSignal("SIGSTOP");
            await wait(ms);
            host.sendSignal("SIGCONT");
            end();
            await wait(this.pickMs(random, 500, 2_500));
        }
    }
}
