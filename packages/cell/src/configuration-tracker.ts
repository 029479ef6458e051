/** Keeps the newest configuration of the operators. A version is never followed by an older one. */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { CellConfiguration } from "./configuration.js";
import { ConfigurationIndex } from "./configuration.js";
import type { PlatformCodec } from "./platform-codec.js";
import type { LeaseStore, StoreItem } from "./store.js";

export interface ConfigurationTrackerOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly onChange: (configuration: CellConfiguration) => void;
}

/** Longest wait of one watch, ms. The key is read after each empty watch, so this bounds how long a change can be missed. */
const watchMs = 1_500;
/** Bound of one read, ms. */
const readTimeoutMs = 700;
/** Pause after a failed read, ms. */
const retryMs = 150;

export class ConfigurationTracker {
    private index: ConfigurationIndex | undefined;
    private isStopped = false;

    constructor(private readonly options: ConfigurationTrackerOptions) {}

    /** The newest configuration; `undefined` until the first one was read. */
    get current(): ConfigurationIndex | undefined {
        return this.index;
    }

    /** Runs until `stop`. */
    async run(): Promise<void> {
        const { store, codec, clock } = this.options;
        while (!this.isStopped) {
            const read = await store.call({ kind: "read", key: codec.configurationKey }, readTimeoutMs);
            if (!read.ok) {
                await clock.wait(retryMs);
                continue;
            }
            if (read.val.item !== undefined) {
                this.accept(read.val.item);
            }
            await this.watch(read.val.storeRevision);
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    private async watch(revision: number): Promise<void> {
        const { store, codec } = this.options;
        let afterRevision = revision;
        while (!this.isStopped) {
            const watched = await store.call({
                kind: "watch",
                prefix: codec.configurationKey,
                afterRevision,
                waitMs: watchMs,
            });
            if (!watched.ok || watched.val.changes.length === 0) {
                return;
            }
            watched.val.changes.forEach(change => {
                if (change.item !== undefined && change.key === codec.configurationKey) {
                    this.accept(change.item);
                }
            });
            afterRevision = watched.val.storeRevision;
        }
    }

    private accept(item: StoreItem): void {
        const decoded = this.options.codec.decodeConfiguration(item.value);
        if (!decoded.ok) {
            const { message } = decoded.val;
            this.options.logger.write("error", "configuration cannot be read", { revision: item.revision, message });
            return;
        }
        const configuration = decoded.val;
        const current = this.index?.configuration.version ?? -1;
        if (configuration.version > current) {
            this.index = new ConfigurationIndex(configuration);
            this.options.logger.write("info", "configuration applied", {
                version: configuration.version,
                previous: current,
                revision: item.revision,
                queues: configuration.queues.length,
                teams: configuration.teams.length,
            });
            this.options.onChange(configuration);
        }
    }
}
