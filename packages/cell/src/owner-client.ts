/** RPC client of a host for the owner of the cell: follows its updates and announces stored items to it. */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import { RpcClient } from "@waxwingroute/transport";
import type { RpcStream } from "@waxwingroute/transport";
import type { CellUpdate } from "./cell-service.js";
import { cellService } from "./cell-service.js";
import type { StoreItem } from "./store.js";

/** Dependencies and identity of `OwnerClient`. */
export interface OwnerClientOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Name of this host. */
    readonly host: string;
    /** `<ip>:<port>` at which the other hosts reach this one. */
    readonly address: string;
    readonly onUpdate: (update: CellUpdate) => void;
}

/** Silence after which the stream is reopened, ms. The owner sends several messages a second. */
const maxSilenceMs = 1_500;
/** Timeout of an announcement, ms. */
const announceTimeoutMs = 500;
/** Interval of checks whether the stream must be reopened, ms. */
const checkIntervalMs = 200;

/** Keeps a stream of updates open to the owner of the cell. */
export class OwnerClient {
    private ownerAddress: string | undefined;
    private client: RpcClient | undefined;
    private stream: RpcStream | undefined;
    private heardAt = -Infinity;
    private openedAt = -Infinity;
    private isClosed = false;

    constructor(private readonly options: OwnerClientOptions) {}

    /** Whether the owner was heard from within the last second. */
    get isOwnerAlive(): boolean {
        return this.options.clock.getNow() - this.heardAt < 1_000;
    }

    /** Follows the owner at this address; `undefined` if there is none or it is this host. */
    setOwner(address: string | undefined): void {
        if (address !== this.ownerAddress) {
            this.ownerAddress = address;
            this.disconnect();
            this.connect();
        }
    }

    /** Sends the owner what this host has just stored. If that fails, the owner reads it from the store later. */
    announce(items: readonly StoreItem[]): void {
        void this.client?.call(cellService.announce, { items: [...items] }, announceTimeoutMs);
    }

    /** Reopens the stream when it has ended or is silent, until `close`. */
    async run(): Promise<void> {
        while (!this.isClosed) {
            await this.options.clock.wait(checkIntervalMs);
            const now = this.options.clock.getNow();
            const isSilent = now - Math.max(this.heardAt, this.openedAt) > maxSilenceMs;
            if (this.ownerAddress !== undefined && (this.stream === undefined || isSilent)) {
                this.disconnect();
                this.connect();
            }
        }
    }

    /** Ends the stream and the connection. */
    close(): void {
        this.isClosed = true;
        this.disconnect();
    }

    private connect(): void {
        if (this.ownerAddress === undefined || this.isClosed) {
            return;
        }
        const { clock, host, address, logger, onUpdate } = this.options;
        this.openedAt = clock.getNow();
        const client = new RpcClient({ address: this.ownerAddress });
        this.client = client;
        this.stream = client.openStream(cellService.subscribe, { host, address }, {
            onMessage: update => {
                this.heardAt = clock.getNow();
                onUpdate(update);
            },
            onEnd: failure => {
                if (this.client === client) {
                    // An owner that resigns ends its streams, so a successor need not wait for its return.
                    this.heardAt = -Infinity;
                    logger.write("info", "stream of the owner ended", { reason: failure?.message });
                    this.disconnect();
                }
            },
        });
    }

    private disconnect(): void {
        const { client, stream } = this;
        this.client = undefined;
        this.stream = undefined;
        stream?.cancel();
        client?.close();
    }
}
