/**
 * A store in memory for tests, with lost answers, outages and cuts of single clients.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Clock, Failure, Result, WriterToken } from "@waxwingroute/core";
import { Store } from "@waxwingroute/platform";
import type { StoreChange, StoreEntry, StoreRange, StoreWatchResult, StoreWrite } from "@waxwingroute/platform";

interface Row extends StoreEntry {
    readonly token: WriterToken;
}

/** The data behind any number of clients. */
export class MemoryStoreData {
    readonly rows = new Map<string, Row>();
    readonly changes: StoreChange[] = [];
    readonly watchListeners = new Set<() => void>();
    revision = 0;
    /** Watches from below this revision fail with `store-compacted`. */
    compactedRevision = 0;
    isDown = false;

    recordChange(key: string, value: string | undefined): number {
        this.revision++;
        this.changes.push({ key, value, revision: this.revision });
        this.watchListeners.forEach(wake => wake());
        this.watchListeners.clear();
        return this.revision;
    }
}

/** One client of a `MemoryStoreData`. */
export class MemoryStore extends Store {
    /** Cuts this client off; the data stays reachable for others. */
    isPartitioned = false;
    /** The number of next writes that take effect but lose their answer. */
    responsesToLose = 0;
    /** The number of next writes that are lost before they take effect, with verdict `mayHaveRun`. */
    writesToLose = 0;
    callCount = 0;

    constructor(private readonly clock: Clock, readonly data = new MemoryStoreData()) {
        super();
    }

    async read(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
        return this.checkReachable() ?? Ok(this.data.rows.get(key));
    }

    async readRange(prefix: string): Promise<Result<StoreRange, Failure>> {
        const keys = [...this.data.rows.keys()].filter(key => key.startsWith(prefix)).sort();
        const entries = keys.flatMap(key => this.data.rows.get(key) ?? []);
        return this.checkReachable() ?? Ok({ entries, revision: this.data.revision });
    }

    async write(write: StoreWrite): Promise<Result<number, Failure>> {
        return this.checkReachable() ?? this.performWrite(() => {
            const row = this.data.rows.get(write.key);
            if ((write.expected.kind === "absent" ? undefined : write.expected.revision) !== row?.revision) {
                return undefined;
            }
            const revision = this.data.recordChange(write.key, write.value);
            this.data.rows.set(write.key, { key: write.key, value: write.value, revision, token: write.token });
            return revision;
        });
    }

    async delete(key: string, revision: number): Promise<Result<number, Failure>> {
        return this.checkReachable() ?? this.performWrite(() => {
            if (this.data.rows.get(key)?.revision !== revision) {
                return undefined;
            }
            this.data.rows.delete(key);
            return this.data.recordChange(key, undefined);
        });
    }

    async watch(prefix: string, revision: number, waitMs: number): Promise<Result<StoreWatchResult, Failure>> {
        const findChanges = (): StoreChange[] =>
            this.data.changes.filter(change => change.revision > revision && change.key.startsWith(prefix));
        if (this.checkReachable() === undefined && findChanges().length === 0) {
            await this.waitForChange(waitMs);
        }
        if (revision < this.data.compactedRevision) {
            return Err(createFailure("store-compacted", `revision ${revision} is no longer kept`, "notRun"));
        }
        return this.checkReachable() ?? Ok({ changes: findChanges(), revision: this.data.revision });
    }

    async readToken(key: string): Promise<Result<Row | undefined, Failure>> {
        return (await this.read(key)) as Result<Row | undefined, Failure>;
    }

    private checkReachable(): Err<Failure> | undefined {
        this.callCount++;
        const isReachable = !this.isPartitioned && !this.data.isDown;
        return isReachable
            ? undefined
            : Err(createFailure("store-unavailable", "the store cannot be reached", "notRun"));
    }

    private async waitForChange(waitMs: number): Promise<void> {
        await new Promise<void>(resolve => {
            this.data.watchListeners.add(resolve);
            this.clock.schedule(waitMs, resolve);
        });
    }

    private performWrite(attempt: () => number | undefined): Result<number, Failure> {
        const isWriteLost = this.writesToLose-- > 0;
        const revision = isWriteLost ? undefined : attempt();
        const isAnswerLost = !isWriteLost && this.responsesToLose-- > 0;
        if (isWriteLost || isAnswerLost) {
            return Err(createFailure("store-timeout", "the store did not answer", "mayHaveRun"));
        }
        return revision === undefined
            ? Err(createFailure("store-conflict", "the key changed", "notRun"))
            : Ok(revision);
    }
}
