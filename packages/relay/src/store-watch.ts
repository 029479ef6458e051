/**
 * The loop that reads and watches the store to keep a replica current, while this host is the watcher of its zone.
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
    /** Time for which the store may hold one watch call open, in milliseconds. */
    readonly watchWaitMs: number;
    /** Timeout of a store call in milliseconds; for a watch it begins after `watchWaitMs`. */
    readonly storeTimeoutMs: number;
    /** Delay after a failed call, in milliseconds. */
    readonly retryMs: number;
    readonly onProblem: (problem: Failure) => void;
}

/** Watches the store between `start` and `stop`. */
export class StoreWatch {
    /** Whether the loop should go on after the pending call. */
    private isEnabled = false;
    private isRunning = false;
    /** Whether the next call must read the whole range, because a watch from the replica's revision cannot continue. */
    private needsRangeRead = false;
    /** Monotonic time at which the last finished call was sent; `-Infinity` if that call failed. */
    private confirmedAt = -Infinity;
    private calls = 0;

    constructor(private readonly options: StoreWatchOptions) {}

    /** Whether the loop is started and its last finished call was a recent success. */
    get isConfirmed(): boolean {
        // A success is dated by the time at which its call was sent. The next call, sent when that one returns, may still be
        // pending, so the last success can be two full waits old.
        const maxAgeMs = 2 * (this.options.watchWaitMs + this.options.storeTimeoutMs);
        return this.isEnabled && this.options.clock.getNow() - this.confirmedAt <= maxAgeMs;
    }

    /** Number of store calls made. */
    get callCount(): number {
        return this.calls;
    }

    /** Starts the loop. A loop that was stopped but still waits for its call goes on. */
    start(): void {
        this.isEnabled = true;
        if (!this.isRunning) {
            this.isRunning = true;
            void this.runLoop();
        }
    }

    /** Stops the loop after the pending call. */
    stop(): void {
        this.isEnabled = false;
    }

    private async runLoop(): Promise<void> {
        while (this.isEnabled) {
            const sentAt = this.options.clock.getNow();
            const canContinue = this.needsRangeRead || this.options.replica.revision === undefined
                ? await this.readRange(sentAt)
                : await this.watchChanges(this.options.replica.revision, sentAt);
            if (!canContinue && this.isEnabled) {
                this.confirmedAt = -Infinity;
                await this.options.clock.wait(this.options.retryMs);
            }
        }
        this.isRunning = false;
    }

    /** Reads the whole configuration; returns whether the loop may go on without a delay. */
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

    /** Waits for changes above `from`; returns whether the loop may go on without a delay. */
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

    /** Applies an answer of the store; returns whether it was accepted. */
    private applyAnswer(answer: StoreAnswer, update: RelayUpdate): boolean {
        const { replica, onProblem } = this.options;
        const { previousRevision, revision, sentAt } = answer;
        if (revision < previousRevision) {
            const message =
                `the store answered with revision ${revision}, below the applied revision ${previousRevision}: it has lost `
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

/** The revisions and the time by which an answer of the store is checked and confirmed. */
interface StoreAnswer {
    /** Revision that the replica had applied when the call was sent. */
    readonly previousRevision: number;
    /** Revision of the store in its answer. */
    readonly revision: number;
    /** Monotonic time at which the call was sent. */
    readonly sentAt: number;
}
