/**
 * Several relays on a manual clock, with a network between them that delays, loses, reorders and cuts.
 */
import { createFailure, Err, ManualClock, Ok, SeededRandom, toId } from "@waxwingroute/core";
import type { Failure, HostId, Result, WriterToken, ZoneId } from "@waxwingroute/core";
import { encodeResource } from "@waxwingroute/resources";
import { MemoryStore } from "@waxwingroute/resources/testing";
import { ConfigurationReplica } from "../configuration-replica.js";
import { RelayDriver } from "../relay-driver.js";
import { RelayPeers } from "../types.js";
import type { RelayDigest, RelayPull } from "../types.js";

/** One relay of the cluster. */
export interface RelayNode {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly store: MemoryStore;
    replica: ConfigurationReplica;
    driver: RelayDriver;
    isCrashed: boolean;
}

/** Options of a `RelayCluster`. */
export interface RelayClusterOptions {
    readonly seed?: number;
    /** Default 3. */
    readonly zoneCount?: number;
    /** Default 3. */
    readonly hostsPerZone?: number;
    readonly logLength?: number;
}

/** A cluster of relays and the store behind them. */
export class RelayCluster {
    readonly clock = new ManualClock();
    readonly random: SeededRandom;
    readonly store = new MemoryStore(this.clock);
    readonly nodes: RelayNode[] = [];
    /** Each accepted write: time in milliseconds, revision, weight written. */
    readonly acceptedWrites: { readonly at: number; readonly revision: number; readonly weight: number; }[] = [];
    readonly problems: Failure[] = [];
    /** Pairs of zones that are cut off from each other, as `a/b`. */
    readonly partitions = new Set<string>();
    lossRate = 0;
    /** Longest one-way delay, in milliseconds. */
    delayMs = 2;
    private readonly zones = new Map<ZoneId, HostId[]>();

    constructor(private readonly options: RelayClusterOptions = {}) {
        this.random = new SeededRandom(options.seed ?? 1);
        for (let zone = 0; zone < (options.zoneCount ?? 3); zone++) {
            const count = options.hostsPerZone ?? 3;
            const hosts = Array.from({ length: count }, (_, index) => toId<HostId>(`z${zone}-h${index}`));
            this.zones.set(toId<ZoneId>(`z${zone}`), hosts);
        }
        for (const [zone, hosts] of this.zones) {
            this.nodes.push(...hosts.map(host => this.createNode(host, zone)));
        }
    }

    getNode(host: string): RelayNode {
        const node = this.nodes.find(other => other.host === host);
        if (node === undefined) {
            throw new Error(`the cluster has no host "${host}"`);
        }
        return node;
    }

    listZoneNodes(zone: string): readonly RelayNode[] {
        return this.nodes.filter(node => node.zone === zone);
    }

    /** Writes a weight to the team `quotes`; returns its revision, or `undefined` if the store refused. */
    async write(weight: number): Promise<number | undefined> {
        const key = "config/team/quotes";
        const current = this.store.data.rows.get(key);
        const written = await this.store.write({
            key,
            value: encodeResource({
                kind: "Team",
                name: "quotes",
                version: 0,
                spec: {
                    weight,
                    limit: { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 1 },
                    overLimit: "complete",
                },
            }),
            expected: current === undefined ? { kind: "absent" } : { kind: "revision", revision: current.revision },
            token: toId<WriterToken>(this.random.getHex(16)),
        });
        if (!written.ok) {
            return undefined;
        }
        this.acceptedWrites.push({ at: this.clock.getNow(), revision: written.val, weight });
        return written.val;
    }

    /** Adds a process that only pulls, such as an entry process, and starts it. */
    addPullOnlyNode(host: string, zone: string): RelayNode {
        const node = this.createNode(toId<HostId>(host), toId<ZoneId>(zone), true);
        this.nodes.push(node);
        node.driver.start();
        return node;
    }

    /** Starts a process anew on the host of a node, with nothing loaded. */
    restart(node: RelayNode): void {
        node.driver.stop();
        Object.assign(node, this.createNode(node.host, node.zone), { store: node.store });
        node.driver.start();
    }

    /** Advances until each live node is at `revision` or above; returns the milliseconds that it took, at most `limitMs`. */
    async awaitRevision(revision: number, limitMs: number): Promise<number> {
        const start = this.clock.getNow();
        const isReached = (): boolean =>
            this.nodes.every(node => node.isCrashed || (node.replica.revision ?? -1) >= revision);
        while (!isReached() && this.clock.getNow() - start < limitMs) {
            await this.clock.advance(50);
        }
        return isReached() ? this.clock.getNow() - start : Infinity;
    }

    private createNode(host: HostId, zone: ZoneId, isPullOnly = false): RelayNode {
        const { clock } = this;
        const onProblem = (problem: Failure): number => this.problems.push(problem);
        const replica = new ConfigurationReplica({ clock, logLength: this.options.logLength, onProblem });
        const existing = this.nodes.find(node => node.host === host);
        const store = existing?.store ?? new MemoryStore(clock, this.store.data);
        const otherZones = new Map([...this.zones].filter(([other]) => other !== zone));
        const zoneHosts = this.zones.get(zone) ?? [];
        const peers = new ClusterPeers(this, host);
        const driver = new RelayDriver({
            host,
            zone,
            zoneHosts,
            otherZones,
            store: isPullOnly ? undefined : store,
            peers,
            replica,
            clock,
            onProblem,
        });
        return { host, zone, store, replica, driver, isCrashed: false };
    }
}

class ClusterPeers extends RelayPeers {
    constructor(private readonly cluster: RelayCluster, private readonly host: HostId) {
        super();
    }

    digest(host: HostId, own: RelayDigest): Promise<Result<RelayDigest, Failure>> {
        return this.send(host, node => node.driver.handleDigest(own));
    }

    pull(host: HostId, revision: number | undefined): Promise<Result<RelayPull, Failure>> {
        return this.send(host, node => node.driver.handlePull(revision));
    }

    private async send<T>(host: HostId, handle: (node: RelayNode) => T): Promise<Result<T, Failure>> {
        const sender = this.cluster.getNode(this.host);
        const receiver = this.cluster.getNode(host);
        await this.wait();
        if (this.isMessageLost(sender, receiver)) {
            return this.failAfterTimeouts();
        }
        const answer = handle(receiver);
        await this.wait();
        return this.isMessageLost(sender, receiver) ? this.failAfterTimeouts() : Ok(answer);
    }

    private wait(): Promise<void> {
        return this.cluster.clock.wait(1 + this.cluster.random.getInteger(this.cluster.delayMs));
    }

    private isMessageLost(sender: RelayNode, receiver: RelayNode): boolean {
        const { partitions, lossRate, random } = this.cluster;
        const isCut = partitions.has(`${sender.zone}/${receiver.zone}`)
            || partitions.has(`${receiver.zone}/${sender.zone}`);
        return isCut || sender.isCrashed || receiver.isCrashed || random.getFloat() < lossRate;
    }

    /** Fails long after every timeout, as a lost message does. */
    private async failAfterTimeouts(): Promise<Result<never, Failure>> {
        await this.cluster.clock.wait(60_000);
        return Err(createFailure("peer-lost", "the peer did not answer", "mayHaveRun"));
    }
}
