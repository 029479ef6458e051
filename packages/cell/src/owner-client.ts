/** Follows the owner of the cell from another host. */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import { RpcClient } from "@waxwingroute/transport";
import type { RpcStream } from "@waxwingroute/transport";
import type { CellUpdate } from "./cell-service.js";
import { cellService } from "./cell-service.js";
import type { StoreItem } from "./store.js";

export interface OwnerClientOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly host: string;
    /** `<ip>:<port>` of this host for the others. */
    readonly address: string;
    readonly onUpdate: (update: CellUpdate) => void;
}

/** Silence after which the stream is opened again, ms. The owner sends several times a second. */
const maxSilenceMs = 1_500;
/** Bound of an announcement, ms. */
const announceTimeoutMs = 500;
/** Pause before the stream is opened again, ms. */
const reopenMs = 200;

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

    /** Follows the owner at this address; `undefined`: nobody, or this host itself. */
    setOwner(address: string | undefined): void {
        if (address !== this.ownerAddress) {
            this.ownerAddress = address;
            this.disconnect();
            this.connect();
        }
    }

    /** Tells the owner what this host has just stored. If that fails, the owner learns it from the store. */
    announce(items: readonly StoreItem[]): void {
        void this.client?.call(cellService.announce, { items: [...items] }, announceTimeoutMs);
    }

    /** Opens the stream again when it is silent, until `close`. */
    async run(): Promise<void> {
        while (!this.isClosed) {
            await this.options.clock.wait(reopenMs);
            const now = this.options.clock.getNow();
            const isSilent = now - Math.max(this.heardAt, this.openedAt) > maxSilenceMs;
            if (this.ownerAddress !== undefined && (this.stream === undefined || isSilent)) {
                this.disconnect();
                this.connect();
            }
        }
    }

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
                    // An owner that resigns ends its streams; whoever takes over need not wait for it.
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
