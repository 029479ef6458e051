/** The content of the platform's store: items, leases, history and watches. */
import type { CommitRequest, StoreChange, StoredItem, StoreReply, StoreRequest, WatchRequest } from "./types.js";

/** Most items of one page. */
const pageItems = 500;

interface Lease {
    readonly ttlMs: number;
    readonly keys: Set<string>;
    endsAt: number;
    timer: NodeJS.Timeout | undefined;
}

interface Watcher {
    answer(isLast: boolean): void;
}

/** Carries out the calls of the store. */
export class StoreState {
    private readonly items = new Map<string, StoredItem>();
    private readonly leases = new Map<number, Lease>();
    private readonly history: StoreChange[] = [];
    private readonly watchers = new Set<Watcher>();
    private revision = 1;
    private nextLease = 1;

    /** Writes a key as the operator or an executor does. */
    put(key: string, text: string): void {
        this.revision += 1;
        this.set(key, Buffer.from(text).toString("base64"), 0);
        this.notifyWatchers();
    }

    /** Removes a key as the platform does. */
    remove(key: string): void {
        this.revision += 1;
        this.drop(key);
        this.notifyWatchers();
    }

    /** Returns the text of a key. */
    read(key: string): string | undefined {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
    }

    /** Returns when the lease of a key ends, on the monotonic clock; `undefined` if it has none. */
    getLeaseEnd(key: string): number | undefined {
        return this.leases.get(this.items.get(key)?.lease ?? 0)?.endsAt;
    }

    /** Carries out a call other than a watch. */
    execute(request: Exclude<StoreRequest, WatchRequest>): StoreReply {
        switch (request.kind) {
            case "read":
                return { kind: "item", item: this.items.get(request.key), revision: this.revision };
            case "list":
                return this.list(request.prefix, request.afterKey);
            case "commit":
                return this.commit(request);
            case "grantLease":
                return this.grant(request.ttlMs);
            case "renewLease":
                return this.renew(request.lease);
            case "endLease":
                this.endLease(request.lease);
                return { kind: "done" };
            case "unknown":
                return { kind: "invalid" };
        }
    }

    /** Answers once there is a change, or after the wait. Returns a function that ends the watch without an answer. */
    watch({ prefix, afterRevision, waitMs }: WatchRequest, onAnswer: (reply: StoreReply) => void): () => void {
        const end = () => {
            clearTimeout(timer);
            this.watchers.delete(watcher);
        };
        const watcher: Watcher = {
            answer: isLast => {
                const changes = this.listChanges(prefix, afterRevision);
                if (changes.length > 0 || isLast) {
                    end();
                    onAnswer({ kind: "changes", changes, revision: this.revision });
                }
            },
        };
        const timer = setTimeout(() => watcher.answer(true), waitMs);
        this.watchers.add(watcher);
        watcher.answer(false);
        return end;
    }

    close(): void {
        this.leases.forEach(({ timer }) => clearTimeout(timer));
        this.leases.clear();
    }

    private listChanges(prefix: string, afterRevision: number): StoreChange[] {
        // The history is in the order of revisions, so the search stops at the first old change from the end.
        const changes: StoreChange[] = [];
        for (
            let index = this.history.length - 1;
            index >= 0 && this.history[index]!.revision > afterRevision;
            index--
        ) {
            if (this.history[index]!.key.startsWith(prefix)) {
                changes.push(this.history[index]!);
            }
        }
        return changes.reverse();
    }

    private list(prefix: string, afterKey: string): StoreReply {
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > afterKey).sort();
        return {
            kind: "items",
            items: keys.slice(0, pageItems).map(key => this.items.get(key)!),
            hasMore: keys.length > pageItems,
            revision: this.revision,
        };
    }

    private commit({ conditions, writes, removals }: CommitRequest): StoreReply {
        if (conditions.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            return {
                kind: "conflict",
                items: conditions.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }),
            };
        }
        if (writes.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) {
            return { kind: "leaseEnded" };
        }
        this.revision += 1;
        writes.forEach(({ key, value, lease }) => this.set(key, value, lease));
        removals.forEach(key => this.drop(key));
        const { revision } = this;
        this.notifyWatchers();
        return { kind: "committed", revision };
    }

    private grant(ttlMs: number): StoreReply {
        const lease = this.nextLease;
        this.nextLease += 1;
        this.leases.set(lease, { ttlMs, keys: new Set(), endsAt: 0, timer: undefined });
        this.renew(lease);
        return { kind: "lease", lease, ttlMs };
    }

    private renew(id: number): StoreReply {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return { kind: "leaseEnded" };
        }
        clearTimeout(lease.timer);
        lease.endsAt = performance.now() + lease.ttlMs;
        lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
        return { kind: "lease", lease: id, ttlMs: lease.ttlMs };
    }

    private endLease(id: number): void {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return;
        }
        clearTimeout(lease.timer);
        this.leases.delete(id);
        this.revision += 1;
        lease.keys.forEach(key => {
            if (this.items.get(key)?.lease === id) {
                this.drop(key);
            }
        });
        this.notifyWatchers();
    }

    private set(key: string, value: string, lease: number): void {
        const { revision } = this;
        const item = { key, value, revision, createdRevision: this.items.get(key)?.createdRevision ?? revision, lease };
        this.items.set(key, item);
        this.leases.get(lease)?.keys.add(key);
        this.history.push({ key, revision, item });
    }

    private drop(key: string): void {
        if (this.items.delete(key)) {
            this.history.push({ key, revision: this.revision });
        }
    }

    private notifyWatchers(): void {
        [...this.watchers].forEach(watcher => watcher.answer(false));
    }
}
