/**
 * Delivers to the owner the jobs and cancellations that hosts store: those that are announced at once, the others by a
 * watch of the store.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { JobEvent, JobEventPath } from "./owner-recovery.js";
import { decodeJobItem, readStoredCell } from "./owner-recovery.js";
import { jobPrefix } from "./store-keys.js";
import type { LeaseStore, StoreItem } from "./store.js";

/** Dependencies of `JobFeed`. */
export interface JobFeedOptions {
    readonly store: LeaseStore;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    /** Called for each event; the same event can be delivered more than once. */
    readonly onEvent: (event: JobEvent, path: JobEventPath) => void;
    /** Called with the events of each read of all jobs, after `onEvent` for each of them. */
    readonly onFullRead: (events: readonly JobEvent[]) => void;
}

/** Longest wait of a watch, ms. */
const watchMs = 1_000;
/** Pause between watches, ms. Hosts announce what they store, so the watch only has to find what was not announced. */
const watchPauseMs = 250;
/** Shortest time between reads of all jobs while no watch fails, ms: while none reports changes, and while they do. */
const rereadIntervalMs = 3_000;
const busyRereadIntervalMs = 10_000;
/** Pause after a failed watch, ms. */
const retryMs = 150;

/** Follows the stored jobs of the cell for its owner. */
export class JobFeed {
    private isOpen = false;
    private isClosed = false;

    constructor(private readonly options: JobFeedOptions) {}

    /** Follows the store from this revision until `close`. */
    async run(storeRevision: number): Promise<void> {
        const { clock, store } = this.options;
        this.isOpen = true;
        let afterRevision = storeRevision;
        let readAt = clock.getNow();
        while (!this.isClosed) {
            const watched = await store.call({ kind: "watch", prefix: jobPrefix, afterRevision, waitMs: watchMs });
            if (this.isClosed) {
                return;
            }
            if (watched.ok) {
                const { changes } = watched.val;
                const hasChanges = changes.length > 0;
                this.applyItems(changes.flatMap(({ item }) => item === undefined ? [] : [item]), "watch");
                afterRevision = watched.val.storeRevision;
                if (hasChanges) {
                    await clock.wait(watchPauseMs);
                }
                if (clock.getNow() - readAt < (hasChanges ? busyRereadIntervalMs : rereadIntervalMs)) {
                    continue;
                }
            }
            else {
                await clock.wait(retryMs);
            }
            const revision = await this.readAll();
            if (revision !== undefined) {
                afterRevision = revision;
                readAt = clock.getNow();
            }
        }
    }

    /** Delivers what a host has just stored. Returns `false` before `run` and after `close`, when it is ignored. */
    acceptAnnounced(items: readonly StoreItem[]): boolean {
        const isAccepted = this.isOpen && !this.isClosed;
        if (isAccepted) {
            this.applyItems(items, "announced");
        }
        return isAccepted;
    }

    /** Ends the delivery of events. */
    close(): void {
        this.isClosed = true;
    }

    /** Reads all jobs again. A watch may have missed some, because the store drops its history. */
    private async readAll(): Promise<number | undefined> {
        const stored = await readStoredCell(this.options.store, this.options.logger);
        if (!stored.ok || this.isClosed) {
            return undefined;
        }
        stored.val.jobs.forEach(event => this.report(event, "fullRead"));
        this.options.onFullRead(stored.val.jobs);
        return stored.val.storeRevision;
    }

    private applyItems(items: readonly StoreItem[], path: JobEventPath): void {
        for (const item of items) {
            const event = decodeJobItem(item, this.options.logger);
            if (event !== undefined) {
                this.report(event, path);
            }
        }
    }

    private report(event: JobEvent, path: JobEventPath): void {
        const { onEvent, supervisor } = this.options;
        supervisor.run("stored job", { job: event.job }, () => onEvent(event, path));
    }
}
