/**
 * Tracks the operators' configuration in the store. A version is never replaced by an older one.
 *
 * A change usually arrives by a watch, or after a heartbeat of the owner of the cell that names a newer version. Neither
 * shows that the present version is still the newest: a watch can hear nothing, and the owner can be behind. Only a read
 * shows that, so reads are sent at a fixed interval, whatever the watch does and whether or not earlier reads were
 * answered.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { configurationConfirmationMs } from "./call-times.js";
import type { CellConfiguration } from "./configuration.js";
import { ConfigurationIndex } from "./configuration.js";
import type { PlatformCodec } from "./platform-codec.js";
import type { LeaseStore, StoreItem } from "./store.js";

/** Dependencies and limits of `ConfigurationTracker`. */
export interface ConfigurationTrackerOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    /** Called for each newer version. */
    readonly onChange: (configuration: CellConfiguration) => void;
    /** Returns the version that the owner named recently; `undefined` without a recent heartbeat. Default: none. */
    readonly getOwnerVersion?: () => number | undefined;
    /** Age from which the configuration counts as unconfirmed, ms. Default 2,000. */
    readonly maxAgeMs?: number;
}

/** Longest wait of one watch, ms. */
const watchMs = 5_000;
/** Interval of reads, ms: two fit into the default of `maxAgeMs`. */
const readIntervalMs = 1_000;
/** Pause after a failed read that a watch needs, ms. */
const retryMs = 150;
/** Timeout of one read of a small configuration on one route, ms; doubled after a failed read, twice at most. */
const readTimeoutMs = 700;
const maxTimeoutDoublings = 2;
/** Rate at which even the host with the slowest link receives a configuration, and the part of it for reads, bytes/ms. */
const receivedBytesPerMs = 300;
const readBytesPerMs = 50;
/** Most reads without an answer. */
const maxReadsInFlight = 4;
/** Longest time for which a new owner waits for the same, ms: as long as a takeover waits for the earlier lease. */
const ownerConfirmTimeoutMs = 1_000;

/** Reads and watches the configuration key, and keeps the newest version that can be decoded. */
export class ConfigurationTracker {
    private index: ConfigurationIndex | undefined;
    private isStopped = false;
    private readsInFlight = 0;
    /** Reads that failed since the last answered one: the configuration may have grown too large for the timeout. */
    private failedReads = 0;
    /** Size of the configuration as last read, bytes. */
    private sizeBytes = 0;
    /** Send time of the last answered read that found the present version. */
    private confirmedAt = -Infinity;
    /** Revision of the store after which changes are not known yet; `undefined` before the first read. */
    private knownRevision: number | undefined;
    private unreadableRevision: number | undefined;
    private confirmation: Promise<void> | undefined;
    /** Called after the next read that confirms the configuration. */
    private readonly confirmationListeners: (() => void)[] = [];
    /** Whether the last attempt to confirm an aged configuration failed. */
    private isUnconfirmed = false;

    constructor(private readonly options: ConfigurationTrackerOptions) {}

    /** The newest configuration; `undefined` before the first one is read. */
    get current(): ConfigurationIndex | undefined {
        return this.index;
    }

    /** Time since the last read that found the present version was sent, ms; infinite before the first. */
    get ageMs(): number {
        return this.options.clock.getNow() - this.confirmedAt;
    }

    /** Whether the present version was the newest within the last `maxAgeMs`. */
    get isConfirmed(): boolean {
        return this.ageMs <= Math.max(this.options.maxAgeMs ?? 2_000, 2 * this.readInterval);
    }

    /** Interval of reads, ms: longer for a large configuration, whose reads would fill the link of a small host. */
    private get readInterval(): number {
        return Math.max(readIntervalMs, this.sizeBytes / readBytesPerMs);
    }

    /** Follows the configuration until `stop`. */
    start(): void {
        const { supervisor } = this.options;
        const isStopped = () => this.isStopped;
        supervisor.startLoop({ operation: "configuration reads", isStopped, run: () => this.readPeriodically() });
        supervisor.startLoop({ operation: "configuration watch", isStopped, run: () => this.watch() });
    }

    /** Reads the configuration if the owner named a newer version than the present one. */
    async refresh(): Promise<void> {
        const ownerVersion = this.options.getOwnerVersion?.();
        if (ownerVersion !== undefined && ownerVersion > (this.index?.configuration.version ?? -1)) {
            await this.read();
        }
    }

    /**
     * Reads the configuration if it is not confirmed, for example because this process was paused, and waits for the
     * answer for a short time. While the store is away, only the first caller waits.
     */
    async confirm(): Promise<void> {
        if (this.isConfirmed || this.isUnconfirmed) {
            return;
        }
        this.confirmation ??= this.readWithin(configurationConfirmationMs).then(() => {
            this.confirmation = undefined;
            this.isUnconfirmed = !this.isConfirmed;
            if (this.isUnconfirmed) {
                this.options.logger.write("warn", "configuration not confirmed", {
                    version: this.index?.configuration.version,
                    ageMs: Number.isFinite(this.ageMs) ? Math.round(this.ageMs) : undefined,
                });
            }
        });
        await this.confirmation;
    }

    /**
     * As `confirm`, before decisions for the whole cell: waits longer, whether or not earlier attempts have failed, and
     * repeats a read that fails. The answer to an earlier read counts too.
     */
    async confirmForOwner(): Promise<void> {
        if (!this.isConfirmed) {
            const answered = new Promise<void>(resolve => this.confirmationListeners.push(resolve));
            await Promise.race([answered, this.options.clock.wait(ownerConfirmTimeoutMs), this.readUntilConfirmed()]);
        }
    }

    private async readUntilConfirmed(): Promise<void> {
        const { clock } = this.options;
        const endAt = clock.getNow() + ownerConfirmTimeoutMs;
        while (!this.isConfirmed && !this.isStopped && clock.getNow() < endAt) {
            // Earlier reads may all wait on connections that are silent.
            await this.read(maxReadsInFlight + 1);
            if (!this.isConfirmed) {
                await clock.wait(retryMs);
            }
        }
    }

    private readWithin(timeoutMs: number): Promise<void> {
        return Promise.race([this.read(), this.options.clock.wait(timeoutMs)]);
    }

    /** Ends `run` after the present calls to the store. */
    stop(): void {
        this.isStopped = true;
    }

    private async readPeriodically(): Promise<void> {
        while (!this.isStopped) {
            if (this.failedReads === 0 || this.readsInFlight === 0) {
                this.options.supervisor.start("configuration read", {}, () => this.read());
            }
            await this.options.clock.wait(this.readInterval);
        }
    }

    private async read(maxInFlight = maxReadsInFlight): Promise<void> {
        const { clock, codec, store, supervisor } = this.options;
        if (this.readsInFlight >= maxInFlight) {
            return;
        }
        this.readsInFlight += 1;
        const sentAt = clock.getNow();
        const timeoutMs = (readTimeoutMs + this.sizeBytes / receivedBytesPerMs)
            * 2 ** Math.min(this.failedReads, maxTimeoutDoublings);
        const read = await supervisor.call(
            "configuration read",
            {},
            () => store.call({ kind: "read", key: codec.configurationKey }, timeoutMs),
        );
        this.readsInFlight -= 1;
        if (!read.ok) {
            this.failedReads += 1;
            return;
        }
        this.failedReads = 0;
        this.sizeBytes = read.val.item?.value.length ?? 0;
        this.recordRevision(read.val.storeRevision);
        if (read.val.item !== undefined && this.accept(read.val.item, "read")) {
            this.confirmedAt = Math.max(this.confirmedAt, sentAt);
            this.isUnconfirmed = false;
            if (this.isConfirmed) {
                this.confirmationListeners.splice(0).forEach(listener => listener());
            }
        }
    }

    private async watch(): Promise<void> {
        const { clock, codec, store } = this.options;
        while (!this.isStopped) {
            if (this.knownRevision === undefined) {
                await this.read();
            }
            if (this.knownRevision === undefined) {
                await clock.wait(retryMs);
                continue;
            }
            const watched = await store.call({
                kind: "watch",
                prefix: codec.configurationKey,
                afterRevision: this.knownRevision,
                waitMs: watchMs,
            });
            if (!watched.ok) {
                // The revision may be older than the history of the store.
                this.knownRevision = undefined;
                continue;
            }
            this.recordRevision(watched.val.storeRevision);
            watched.val.changes.forEach(change => {
                if (change.item !== undefined && change.key === codec.configurationKey) {
                    this.accept(change.item, "watch");
                }
            });
        }
    }

    private recordRevision(revision: number): void {
        this.knownRevision = Math.max(this.knownRevision ?? 0, revision);
    }

    /** Adopts the stored version if it is newer. Returns whether the present version is the stored one. */
    private accept(item: StoreItem, source: "read" | "watch"): boolean {
        const { codec, logger, onChange } = this.options;
        const decoded = codec.decodeConfiguration(item.value);
        if (!decoded.ok) {
            if (item.revision !== this.unreadableRevision) {
                this.unreadableRevision = item.revision;
                const { message } = decoded.val;
                logger.write("error", "configuration cannot be read", { revision: item.revision, message });
            }
            return false;
        }
        const configuration = decoded.val;
        const previous = this.index?.configuration.version ?? -1;
        if (configuration.version > previous) {
            this.index = new ConfigurationIndex(configuration);
            logger.write("info", "configuration applied", {
                version: configuration.version,
                previous,
                source,
                ageMs: Number.isFinite(this.ageMs) ? Math.round(this.ageMs) : undefined,
                revision: item.revision,
                queues: configuration.queues.length,
                teams: configuration.teams.length,
            });
            onChange(configuration);
        }
        return configuration.version >= previous;
    }
}
