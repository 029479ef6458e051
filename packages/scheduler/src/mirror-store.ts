/**
 * A store that keeps a copy of some prefixes and answers reads of them from the copy while the store does not answer.
 *
 * A successor that takes over during a store outage needs the shard's jobs and grants. The copy can lack the last writes
 * before the outage, so that its user must treat it as a lower bound of what happened.
 */
import { Err, Ok } from "@waxwingroute/core";
import type { Clock, Failure, Result, WriterToken } from "@waxwingroute/core";
import { Store } from "@waxwingroute/platform";
import type { StoreEntry, StoreRange, StoreWatchResult, StoreWrite } from "@waxwingroute/platform";

export interface MirrorStoreOptions {
    readonly store: Store;
    readonly clock: Clock;
    /** Prefixes that are copied. */
    readonly prefixes: readonly string[];
    /** Returns whether the copies are wanted now; while it returns `false`, no calls are made. */
    readonly isEnabled: () => boolean;
    /** Shortest time between two calls for one prefix, in milliseconds; default 500. */
    readonly pollIntervalMs?: number;
    /** Longest wait of a watch, in milliseconds; default 10,000. */
    readonly watchWaitMs?: number;
}

interface Mirror {
    readonly prefix: string;
    entries: Map<string, StoreEntry> | undefined;
    revision: number;
}

export class MirrorStore extends Store {
    private readonly mirrors: readonly Mirror[];
    private isStopped = false;

    constructor(private readonly options: MirrorStoreOptions) {
        super();
        this.mirrors = options.prefixes.map(prefix => ({ prefix, entries: undefined, revision: 0 }));
    }

    start(): void {
        this.mirrors.forEach(mirror => void this.track(mirror));
    }

    stop(): void {
        this.isStopped = true;
    }

    async read(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
        const result = await this.options.store.read(key);
        const entries = this.mirrors.find(mirror => key.startsWith(mirror.prefix))?.entries;
        return result.ok || entries === undefined ? result : Ok(entries.get(key));
    }

    async readRange(prefix: string): Promise<Result<StoreRange, Failure>> {
        const result = await this.options.store.readRange(prefix);
        return result.ok ? result : this.readCopy(prefix) ?? result;
    }

    /** Reads a range from the copy; `undefined` if it is not loaded. */
    readCopy(prefix: string): Result<StoreRange, Failure> | undefined {
        const mirror = this.mirrors.find(other => prefix.startsWith(other.prefix));
        if (mirror?.entries === undefined) {
            return undefined;
        }
        const entries = [...mirror.entries.values()]
            .filter(entry => entry.key.startsWith(prefix))
            .sort((first, second) => first.key < second.key ? -1 : 1);
        return Ok({ entries, revision: mirror.revision });
    }

    write(write: StoreWrite): Promise<Result<number, Failure>> {
        return this.options.store.write(write);
    }

    delete(key: string, revision: number): Promise<Result<number, Failure>> {
        return this.options.store.delete(key, revision);
    }

    watch(prefix: string, revision: number, waitMs: number): Promise<Result<StoreWatchResult, Failure>> {
        return this.options.store.watch(prefix, revision, waitMs);
    }

    readToken(
        key: string,
    ): Promise<Result<{ readonly token: WriterToken; readonly revision: number; } | undefined, Failure>> {
        return this.options.store.readToken(key);
    }

    private async track(mirror: Mirror): Promise<void> {
        const { clock, isEnabled, pollIntervalMs = 500 } = this.options;
        while (!this.isStopped) {
            if (isEnabled()) {
                const updated = mirror.entries === undefined ? await this.load(mirror) : await this.update(mirror);
                if (updated.err && updated.val.code === "store-compacted") {
                    await this.load(mirror);
                }
            }
            await clock.wait(pollIntervalMs);
        }
    }

    private async load(mirror: Mirror): Promise<Result<void, Failure>> {
        const range = await this.options.store.readRange(mirror.prefix);
        if (range.err) {
            return Err(range.val);
        }
        mirror.entries = new Map(range.val.entries.map(entry => [entry.key, entry]));
        mirror.revision = range.val.revision;
        return Ok(undefined);
    }

    private async update(mirror: Mirror): Promise<Result<void, Failure>> {
        const watched = await this.options.store.watch(
            mirror.prefix,
            mirror.revision,
            this.options.watchWaitMs ?? 10_000,
        );
        if (watched.err) {
            return Err(watched.val);
        }
        for (const { key, value, revision } of watched.val.changes) {
            if (value === undefined) {
                mirror.entries?.delete(key);
            }
            else {
                mirror.entries?.set(key, { key, value, revision });
            }
        }
        mirror.revision = Math.max(mirror.revision, watched.val.revision);
        return Ok(undefined);
    }
}
