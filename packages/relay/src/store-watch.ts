/**
 * The loop that keeps a replica current from the store while this host is the watcher of its zone.
 */
import { createFailure } from "@waxwingroute/core";
import type { Clock, Failure } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { configurationPrefix } from "@waxwingroute/resources";
import { awaitWithTimeout } from "./await-with-timeout.js";
import type { ConfigurationReplica } from "./configuration-replica.js";
import type { RelayUpdate } from "./types.js";

/** Options of a `StoreWatch`. */
export interface StoreWatchOptions {
    readonly store: Store;
    readonly replica: ConfigurationReplica;
    readonly clock: Clock;
    /** Longest wait of one watch call, in milliseconds. */
    readonly watchWaitMs: number;
    /** Time beyond `watchWaitMs` after which a call counts as failed, in milliseconds. */
    readonly storeTimeoutMs: number;
    /** Wait after a failed call, in milliseconds. */
    readonly retryMs: number;
    readonly onProblem: (problem: Failure) => void;
}

/** Watches the store between `start` and `stop`. */
export class StoreWatch {
    private isEnabled = false;
    private isRunning = false;
    private needsRangeRead = false;
    private confirmedAt = -Infinity;
    private calls = 0;

    constructor(private readonly options: StoreWatchOptions) {}

    /** Whether the last call succeeded recently and the loop goes on. */
    get isConfirmed(): boolean {
        // A pending call is sent when the one before returns, so a confirmation is up to two waits old.
        const maxAgeMs = 2 * (this.options.watchWaitMs + this.options.storeTimeoutMs);
        return this.isEnabled && this.options.clock.getNow() - this.confirmedAt <= maxAgeMs;
    }

    get callCount(): number {
        return this.calls;
    }

    /** Starts the loop, or lets a running one go on. */
    start(): void {
        this.isEnabled = true;
        if (!this.isRunning) {
            this.isRunning = true;
            void this.runLoop();
        }
    }

    /** Ends the loop after the pending call. */
    stop(): void {
        this.isEnabled = false;
    }

    private async runLoop(): Promise<void> {
        while (this.isEnabled) {
            const sentAt = this.options.clock.getNow();
            const hasSucceeded = this.needsRangeRead || this.options.replica.revision === undefined
                ? await this.readRange(sentAt)
                : await this.watchChanges(this.options.replica.revision, sentAt);
            if (!hasSucceeded && this.isEnabled) {
                this.confirmedAt = -Infinity;
                await this.options.clock.wait(this.options.retryMs);
            }
        }
        this.isRunning = false;
    }

    private async readRange(sentAt: number): Promise<boolean> {
        const { clock, replica, store, storeTimeoutMs } = this.options;
        const previousRevision = replica.revision ?? 0;
        this.calls++;
        const range = await awaitWithTimeout(clock, storeTimeoutMs, store.readRange(configurationPrefix));
        if (!range.ok) {
            return false;
        }
        const { entries, revision } = range.val;
        return this.applyAnswer({ previousRevision, revision, sentAt }, { kind: "snapshot", revision, entries });
    }

    private async watchChanges(from: number, sentAt: number): Promise<boolean> {
        const { clock, store, storeTimeoutMs, watchWaitMs } = this.options;
        this.calls++;
        const result = await awaitWithTimeout(
            clock,
            watchWaitMs + storeTimeoutMs,
            store.watch(configurationPrefix, from, watchWaitMs),
        );
        if (!result.ok) {
            this.needsRangeRead = result.val.code === "store-compacted";
            return this.needsRangeRead;
        }
        const { changes, revision } = result.val;
        return this.applyAnswer({ previousRevision: from, revision, sentAt }, {
            kind: "delta",
            from,
            revision,
            changes,
        });
    }

    private applyAnswer(call: StoreAnswer, update: RelayUpdate): boolean {
        const { replica, onProblem } = this.options;
        const { previousRevision, revision, sentAt } = call;
        if (revision < previousRevision) {
            const message =
                `the store answered with revision ${revision}, below ${previousRevision}, which is in force: it has lost `
                + "writes; the configuration stays as it is until the store passes that revision";
            onProblem(createFailure("store-reverted", message, "notRun"));
            return false;
        }
        const applied = replica.applyUpdate(update);
        if (!applied.ok) {
            onProblem(applied.val);
            this.needsRangeRead = true;
            return false;
        }
        this.needsRangeRead = false;
        replica.confirm(revision, sentAt);
        this.confirmedAt = sentAt;
        return true;
    }
}

interface StoreAnswer {
    /** Revision in force when the call was sent. */
    readonly previousRevision: number;
    readonly revision: number;
    readonly sentAt: number;
}
