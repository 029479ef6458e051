/**
 * Tells the owner of the cell what this host has stored, until the owner confirms it. The owner also finds it by reading
 * the store, but an owner under load may be late in that by many seconds, in which it would start cancelled jobs.
 */
import type { Clock } from "@waxwingroute/core";
import type { Supervisor } from "@waxwingroute/telemetry";
import type { StoreItem } from "./store.js";

/** The connection to the owner. */
export interface AnnouncerOptions {
    readonly clock: Clock;
    readonly supervisor: Supervisor;
    /** Sends items to the present owner. Returns whether it has applied them. */
    readonly send: (items: readonly StoreItem[], timeoutMs: number) => Promise<boolean>;
}

/** Most calls in flight. While there are as many, further items wait and are sent together. */
const maxInFlight = 3;
/** Most items of one call, so that its message stays small. */
const maxItemsPerCall = 200;
/** Most items that wait; beyond it, the oldest are left for the owner to read. */
const maxWaitingItems = 5_000;
/** Timeout of a call, ms; doubled after each failure in a row, three times at most, for an owner that answers slowly. */
const callTimeoutMs = 500;
const maxTimeoutDoublings = 3;
/** Pause after a failed call, ms. */
const retryMs = 200;

/** Sends announcements in batches and repeats those that were not confirmed. */
export class Announcer {
    private waiting: StoreItem[] = [];
    /** Keys of the items that no owner has confirmed, with the callers that wait for it. */
    private readonly unconfirmed = new Map<string, ((isConfirmed: boolean) => void)[]>();
    private inFlight = 0;
    private failures = 0;
    private isPaused = false;
    private isClosed = false;
    private isReleased = false;

    constructor(private readonly options: AnnouncerOptions) {}

    /** Number of items that no owner has confirmed. */
    get backlog(): number {
        return this.unconfirmed.size;
    }

    /** Announces items that were stored. */
    add(items: readonly StoreItem[]): void {
        items.forEach(item => this.unconfirmed.set(item.key, this.unconfirmed.get(item.key) ?? []));
        this.waiting.push(...items);
        const dropped = this.waiting.splice(0, Math.max(0, this.waiting.length - maxWaitingItems));
        dropped.forEach(item => this.unconfirmed.delete(item.key));
        this.flush();
    }

    /**
     * Waits until the item of the key is confirmed, at most for `maxMs`; not at all for one that was not added. Returns
     * whether nothing is left to confirm.
     */
    waitUntilConfirmed(key: string, maxMs: number): Promise<boolean> {
        const waiting = this.unconfirmed.get(key);
        if (waiting === undefined || this.isReleased) {
            return Promise.resolve(waiting === undefined);
        }
        return new Promise(resolve => {
            const timer = this.options.clock.schedule(maxMs, () => resolve(false));
            waiting.push(isConfirmed => {
                timer.cancel();
                resolve(isConfirmed);
            });
        });
    }

    /** Ends the waits for confirmations, present and later ones; the items are still announced. */
    releaseWaiting(): void {
        this.isReleased = true;
        this.unconfirmed.forEach(waiting => waiting.splice(0).forEach(resolve => resolve(false)));
    }

    /** Ends the announcements; what is not confirmed is left for the owner to read. */
    close(): void {
        this.isClosed = true;
    }

    private flush(): void {
        while (!this.isClosed && !this.isPaused && this.waiting.length > 0 && this.inFlight < maxInFlight) {
            const items = this.waiting.splice(0, maxItemsPerCall);
            this.inFlight += 1;
            this.options.supervisor.start("announcement", { items: items.length }, () => this.send(items));
        }
    }

    private async send(items: readonly StoreItem[]): Promise<void> {
        const timeoutMs = callTimeoutMs * 2 ** Math.min(this.failures, maxTimeoutDoublings);
        let isConfirmed = false;
        try {
            isConfirmed = await this.options.send(items, timeoutMs);
        }
        finally {
            this.inFlight -= 1;
            this.failures = isConfirmed ? 0 : this.failures + 1;
            if (isConfirmed) {
                items.forEach(item => this.recordConfirmed(item.key));
            }
            else {
                this.waiting.unshift(...items);
                this.pause();
            }
        }
        this.flush();
    }

    private recordConfirmed(key: string): void {
        const waiting = this.unconfirmed.get(key) ?? [];
        this.unconfirmed.delete(key);
        waiting.forEach(resolve => resolve(true));
    }

    private pause(): void {
        if (!this.isPaused) {
            this.isPaused = true;
            this.options.clock.schedule(retryMs, () => {
                this.isPaused = false;
                this.flush();
            });
        }
    }
}
