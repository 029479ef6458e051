/**
 * Tracks the operators' configuration in the store. A version is never replaced by an older one.
 *
 * A change arrives by a watch, or by the heartbeats of the owner of the cell, which name its version. A host that hears
 * the owner name its own version can therefore leave out most reads.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { CellConfiguration } from "./configuration.js";
import { ConfigurationIndex } from "./configuration.js";
import type { PlatformCodec } from "./platform-codec.js";
import type { LeaseStore, StoreItem } from "./store.js";

/** Dependencies of `ConfigurationTracker`. */
export interface ConfigurationTrackerOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Called for each newer version. */
    readonly onChange: (configuration: CellConfiguration) => void;
    /** Returns the version that the owner named recently; `undefined` without a recent heartbeat. Default: none. */
    readonly getOwnerVersion?: () => number | undefined;
}

/** Longest wait of one watch, ms. An empty watch is followed by a read, so this bounds how long a change is missed. */
const watchMs = 1_500;
/** Used instead of `watchMs` while the owner of the cell confirms the version, ms. */
const confirmedWatchMs = 5_000;
/** Timeout of one read, ms. */
const readTimeoutMs = 700;
/** Pause after a failed read, ms. */
const retryMs = 150;

/** Reads and watches the configuration key, and keeps the newest version that can be decoded. */
export class ConfigurationTracker {
    private index: ConfigurationIndex | undefined;
    private isStopped = false;
    private isRefreshing = false;
    /** Send time of the last answered read that found the present version. */
    private confirmedAt = -Infinity;

    constructor(private readonly options: ConfigurationTrackerOptions) {}

    /** The newest configuration; `undefined` before the first one is read. */
    get current(): ConfigurationIndex | undefined {
        return this.index;
    }

    /** Time since the last read that found the present version was sent, ms; infinite before the first. */
    get ageMs(): number {
        return this.options.clock.getNow() - this.confirmedAt;
    }

    /** Follows the configuration until `stop`. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            const revision = await this.read();
            if (revision === undefined) {
                await this.options.clock.wait(retryMs);
            }
            else {
                await this.watch(revision);
            }
        }
    }

    /** Reads the configuration if the owner named a newer version than the present one. */
    async refresh(): Promise<void> {
        const ownerVersion = this.options.getOwnerVersion?.();
        const version = this.index?.configuration.version ?? -1;
        if (ownerVersion !== undefined && ownerVersion > version && !this.isRefreshing) {
            this.isRefreshing = true;
            await this.read();
            this.isRefreshing = false;
        }
    }

    /** Ends `run` after the present call to the store. */
    stop(): void {
        this.isStopped = true;
    }

    /** Returns the revision of the store at the read, or `undefined` if the read failed. */
    private async read(): Promise<number | undefined> {
        const { clock, codec, store } = this.options;
        const sentAt = clock.getNow();
        const read = await store.call({ kind: "read", key: codec.configurationKey }, readTimeoutMs);
        if (!read.ok) {
            return undefined;
        }
        if (read.val.item !== undefined && this.accept(read.val.item, "read")) {
            this.confirmedAt = Math.max(this.confirmedAt, sentAt);
        }
        return read.val.storeRevision;
    }

    /** Whether the owner of the cell named the present version recently. */
    private get isConfirmed(): boolean {
        return this.index !== undefined && this.options.getOwnerVersion?.() === this.index.configuration.version;
    }

    /** Watches until a watch fails, or ends without a change while the version is not confirmed. */
    private async watch(revision: number): Promise<void> {
        const { store, codec } = this.options;
        let afterRevision = revision;
        while (!this.isStopped) {
            const watched = await store.call({
                kind: "watch",
                prefix: codec.configurationKey,
                afterRevision,
                waitMs: this.isConfirmed ? confirmedWatchMs : watchMs,
            });
            if (!watched.ok || watched.val.changes.length === 0 && !this.isConfirmed) {
                return;
            }
            watched.val.changes.forEach(change => {
                if (change.item !== undefined && change.key === codec.configurationKey) {
                    this.accept(change.item, "watch");
                }
            });
            afterRevision = watched.val.storeRevision;
        }
    }

    /** Adopts the stored version if it is newer. Returns whether the present version is the stored one. */
    private accept(item: StoreItem, source: "read" | "watch"): boolean {
        const decoded = this.options.codec.decodeConfiguration(item.value);
        if (!decoded.ok) {
            const { message } = decoded.val;
            this.options.logger.write("error", "configuration cannot be read", { revision: item.revision, message });
            return false;
        }
        const configuration = decoded.val;
        const previous = this.index?.configuration.version ?? -1;
        if (configuration.version > previous) {
            this.index = new ConfigurationIndex(configuration);
            this.options.logger.write("info", "configuration applied", {
                version: configuration.version,
                previous,
                source,
                ageMs: Number.isFinite(this.ageMs) ? Math.round(this.ageMs) : undefined,
                revision: item.revision,
                queues: configuration.queues.length,
                teams: configuration.teams.length,
            });
            this.options.onChange(configuration);
        }
        return configuration.version >= previous;
    }
}
