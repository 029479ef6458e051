/**
 * The entry hosts of a process world: their ports, the relays between them, and the settings file that each host sees.
 */
import type { StandInAddresses } from "@waxwingroute/stand-ins";
import { findFreePorts } from "./find-free-ports.js";
import { LinkRelay } from "./link-relay.js";

/** An entry host to start programs on. */
export interface EntryHost {
    readonly name: string;
    readonly zone: string;
    /** Default `region`. */
    readonly region?: string;
}

/** Names of the ports of an entry host, as the settings have them. */
const portNames = ["scheduler", "entry", "operator", "schedulerHealth", "entryHealth", "operatorHealth"] as const;

export type HostPorts = Readonly<Record<typeof portNames[number], number>>;

interface Link {
    readonly from: string;
    readonly to: string;
    readonly relay: LinkRelay;
}

/**
 * All processes of a world listen on this address. Each test process has a loopback address of its own, because ports that
 * were free when they were chosen could be taken by a world of another test process before the programs start.
 */
export const address = `127.${64 + (process.pid >>> 14 & 63)}.${1 + (process.pid >>> 7 & 127)}.${
    1 + (process.pid & 127)
}`;
/** Bytes carried between the programs of host `from` and the scheduler of host `to`. */
export interface LinkBytes {
    readonly from: string;
    readonly to: string;
    readonly bytes: number;
}

/** Ports and relays of the entry hosts. Every connection between schedulers of two hosts runs through a relay. */
export class ClusterPlan {
    private readonly ports = new Map<string, HostPorts>();
    private readonly links: Link[] = [];

    constructor(readonly hosts: readonly EntryHost[]) {}

    /** Chooses ports and opens the relays. */
    async open(): Promise<void> {
        const free = [...await findFreePorts(address, this.hosts.length * portNames.length)];
        for (const host of this.hosts) {
            const entries = portNames.map(name => [name, free.pop() ?? 0] as const);
            this.ports.set(host.name, Object.fromEntries(entries) as HostPorts);
        }
        for (const from of this.hosts) {
            for (const to of this.hosts.filter(other => other !== from)) {
                const targetPort = this.getPorts(to.name).scheduler;
                const relay = new LinkRelay({ address, targetAddress: address, targetPort });
                await relay.listen();
                this.links.push({ from: from.name, to: to.name, relay });
            }
        }
    }

    async close(): Promise<void> {
        await Promise.all(this.links.map(({ relay }) => relay.close()));
    }

    /** Returns the ports of a host; valid after `open`. */
    getPorts(host: string): HostPorts {
        const ports = this.ports.get(host);
        if (ports === undefined) {
            throw new Error(`the world has no host "${host}"`);
        }
        return ports;
    }

    /** Returns the names of the hosts that a host or zone name stands for; empty for an unknown name. */
    findHosts(name: string): readonly string[] {
        return this.hosts.filter(host => host.name === name || host.zone === name).map(host => host.name);
    }

    /** Opens or cuts the relays between two sets of hosts, in both directions. Returns the number of relays. */
    setLinks(first: readonly string[], second: readonly string[], isOpen: boolean): number {
        const links = this.links.filter(({ from, to }) =>
            first.includes(from) && second.includes(to) || first.includes(to) && second.includes(from)
        );
        for (const { relay } of links) {
            relay.setOpen(isOpen);
        }
        return links.length;
    }

    /** Returns the bytes that each link between two hosts has carried, in both directions. */
    listLinkBytes(): readonly LinkBytes[] {
        return this.links.map(({ from, to, relay }) => ({ from, to, bytes: relay.byteCount }));
    }

    /** Creates the settings that the programs of a host get: other hosts' schedulers are behind the relays. */
    createSettings(
        viewer: string,
        standIn: StandInAddresses,
        overrides: Readonly<Record<string, unknown>>,
        shards: number,
    ): Readonly<Record<string, unknown>> {
        const regions = [...new Set(this.hosts.map(getRegion))].map(region => ({
            name: region,
            zones: [...new Set(this.hosts.filter(host => getRegion(host) === region).map(host => host.zone))].map(
                zone => ({
                    name: zone,
                    shards,
                    hosts: this.hosts.filter(host => host.zone === zone).map(host =>
                        this.createHost(viewer, host.name)
                    ),
                }),
            ),
        }));
        return {
            cluster: "scenario",
            store: { url: standIn.store },
            hostList: { url: standIn.hostList, pollMs: 500 },
            ...overrides,
            regions,
        };
    }

    private createHost(viewer: string, name: string): Readonly<Record<string, unknown>> {
        const link = this.links.find(({ from, to }) => from === viewer && to === name);
        const ports = this.getPorts(name);
        return { name, address, ports: { ...ports, scheduler: link?.relay.port ?? ports.scheduler } };
    }
}

const getRegion = (host: EntryHost) => host.region ?? "region";
