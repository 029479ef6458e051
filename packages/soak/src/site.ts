/** The parts of a run that troubles act on. */
import type { RandomSource } from "@waxwingroute/core";
import type { AdviceFront } from "./advice-front.js";
import type { ExecutorFront } from "./executor-front.js";
import type { HostProcess } from "./host-process.js";
import type { PeerLink } from "./peer-link.js";
import type { RunRecord } from "./run-record.js";
import type { StoreFront } from "./store-front.js";

/** DNS name of the queues, and the key of their team. */
export const siteHostName = "mats.example";
export const siteKey = "key-quotes-1";
/** Headers of each request of a caller. */
export const callerHeaders = { "host": siteHostName, "api-key": siteKey };

/** The hosts, executors, store and links of a run. */
export class Site {
    constructor(
        readonly record: RunRecord,
        readonly hosts: readonly HostProcess[],
        readonly stores: readonly StoreFront[],
        readonly advisors: readonly AdviceFront[],
        readonly executors: readonly ExecutorFront[],
        readonly links: readonly PeerLink[],
        /** Zones that are cut off at present, whose executors cannot register themselves. */
        readonly cutZones: Set<string>,
    ) {}

    /** Returns the host that sent the last order, which is the owner of the cell as the executors see it. */
    findOwner(): HostProcess | undefined {
        const sender = this.record.runs.at(-1)?.sender;
        return this.hosts.find(host => host.name === sender);
    }

    /** Returns the owner in `ownerShare` of the draws, otherwise any host. */
    chooseHost(random: RandomSource, ownerShare: number): HostProcess {
        const owner = random.getFloat() < ownerShare ? this.findOwner() : undefined;
        return owner ?? random.pickOne(this.hosts)!;
    }

    /** Returns the store's addresses for the named hosts. */
    listStores(hosts: readonly string[]): StoreFront[] {
        return this.stores.filter(store => hosts.includes(store.host));
    }

    /** Returns the advice service's addresses for the named hosts. */
    listAdvisors(hosts: readonly string[]): AdviceFront[] {
        return this.advisors.filter(advisor => hosts.includes(advisor.host));
    }

    get hostNames(): string[] {
        return this.hosts.map(host => host.name);
    }

    get zones(): string[] {
        return [...new Set(this.hosts.map(host => host.zone))];
    }
}
