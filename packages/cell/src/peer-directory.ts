/** The other hosts of the cell that this host can call; a connection is opened at the first call. */
import type { NetworkAddress } from "@waxwingroute/core";
import { RpcClient } from "@waxwingroute/transport";
import { PeerStore } from "./cell-service.js";
import type { LeaseStore } from "./store.js";

interface Peer {
    readonly client: RpcClient;
    readonly store: PeerStore;
}

/** Time-out for opening a connection, ms: several round trips across a region. */
const connectTimeoutMs = 300;

/** Connections to other hosts by address. */
export class PeerDirectory {
    private readonly peers = new Map<NetworkAddress, Peer>();

    constructor(private readonly ownAddress: NetworkAddress) {}

    /** Returns a route to the store through each of the other hosts. */
    listStores(): LeaseStore[] {
        return [...this.peers.values()].map(peer => peer.store);
    }

    /** Returns the client of a host, created if necessary; `undefined` for this host itself. */
    add(address: NetworkAddress): RpcClient | undefined {
        if (address === this.ownAddress) {
            return undefined;
        }
        const existing = this.peers.get(address);
        if (existing !== undefined) {
            return existing.client;
        }
        const client = new RpcClient({ address, connectTimeoutMs });
        this.peers.set(address, { client, store: new PeerStore(client) });
        return client;
    }

    /** Keeps connections to these hosts only. */
    replace(addresses: readonly NetworkAddress[]): void {
        addresses.forEach(address => this.add(address));
        const kept = new Set(addresses);
        for (const [address, peer] of this.peers) {
            if (!kept.has(address)) {
                this.peers.delete(address);
                peer.client.close();
            }
        }
    }

    close(): void {
        this.peers.forEach(peer => peer.client.close());
    }
}
