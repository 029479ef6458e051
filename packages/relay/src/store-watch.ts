/**
 * The loop that keeps a replica current from the store while this host is the watcher of its zone.
 */
import { createFailure } from "@waxwingroute/core";
import type { Clock, Failure } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { configurationPrefix } from "@waxwingroute/resources";
import { awaitWithin } from "./await-within.js";
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
    private isWanted = false;
    private isRunning = false;
    private needsRange = false;
    private confirmedAt = -Infinity;
    private calls = 0;

    constructor(private readonly options: StoreWatchOptions) {}

    /** Whether the last call succeeded recently and the loop goes on. */
    get isConfirmed(): boolean {
        // A pending call is sent when the one before returns, so a confirmation is up to two waits old.
        const longest = 2 * (this.options.watchWaitMs + this.options.storeTimeoutMs);
        return this.isWanted && this.options.clock.getNow() - this.confirmedAt <= longest;
    }

    get callCount(): number {
        return this.calls;
    }

    /** Starts the loop, or lets a running one go on. */
    start(): void {
        this.isWanted = true;
        if (!this.isRunning) {
            this.isRunning = true;
            void this.run();
        }
    }

    /** Ends the loop after the pending call. */
    stop(): void {
        this.isWanted = false;
    }

    private async run(): Promise<void> {
        while (this.isWanted) {
            const sentAt = this.options.clock.getNow();
            const isDone = this.needsRange || this.options.replica.revision === undefined
                ? await this.readRange(sentAt)
                : await this.watch(this.options.replica.revision, sentAt);
            if (!isDone && this.isWanted) {
                this.confirmedAt = -Infinity;
                await this.options.clock.wait(this.options.retryMs);
            }
        }
        this.isRunning = false;
    }

    private async readRange(sentAt: number): Promise<boolean> {
        const { clock, replica, store, storeTimeoutMs } = this.options;
        const before = replica.revision ?? 0;
        this.calls++;
        const range = await awaitWithin(clock, storeTimeoutMs, store.readRange(configurationPrefix));
        if (!range.ok) {
            return false;
        }
        const { entries, revision } = range.val;
        return this.accept({ before, revision, sentAt }, { kind: "snapshot", revision, entries });
    }

    private async watch(from: number, sentAt: number): Promise<boolean> {
        const { clock, store, storeTimeoutMs, watchWaitMs } = this.options;
        this.calls++;
        const result = await awaitWithin(
            clock,
            watchWaitMs + storeTimeoutMs,
            store.watch(configurationPrefix, from, watchWaitMs),
        );
        if (!result.ok) {
            this.needsRange = result.val.code === "store-compacted";
            return this.needsRange;
        }
        const { changes, revision } = result.val;
        return this.accept({ before: from, revision, sentAt }, { kind: "delta", from, revision, changes });
    }

    private accept(call: StoreCall, update: RelayUpdate): boolean {
        const { replica, onProblem } = this.options;
        const { before, revision, sentAt } = call;
        if (revision < before) {
            const message =
                `the store answered with revision ${revision}, below ${before}, which is in force: it has lost `
                + "writes; the configuration stays as it is until the store passes that revision";
            onProblem(createFailure("store-reverted", message, "notRun"));
            return false;
        }
        const applied = replica.applyUpdate(update);
        if (!applied.ok) {
            onProblem(applied.val);
            this.needsRange = true;
            return false;
        }
        this.needsRange = false;
        replica.confirm(revision, sentAt);
        this.confirmedAt = sentAt;
        return true;
    }
}

interface StoreCall {
    /** Revision in force when the call was sent. */
    readonly before: number;
    readonly revision: number;
    readonly sentAt: number;
}
