/**
 * An in-memory store for tests, with the faults of the platform's store: no answers, refusals, commits whose answers
 * are lost or that are carried out late, leases that expire (in an outage only once calls are answered again), and
 * compaction of the history.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { match } from "ts-pattern";
import type { StoreChange, StoreItem, StoreReplies, StoreReply, StoreRequest, StoreTransaction } from "../store.js";
import { LeaseStore, storeFailures } from "../store.js";

/** `silent`: calls are neither carried out nor answered. `refusing`: calls are refused without effect. */
export type StoreMode = "up" | "silent" | "refusing";

interface Lease {
    readonly ttlMs: number;
    endsAt: number;
}

type AnyReply = StoreReplies[keyof StoreReplies];

/** The contents of the store, shared by the `MemoryLeaseStore` of each host. */
export class MemoryStoreData {
    readonly items = new Map<string, StoreItem & { readonly lease: number; }>();
    readonly leases = new Map<number, Lease>();
    readonly events: StoreChange[] = [];
    revision = 1;
    compactedBelow = 0;
    mode: StoreMode = "up";
    /** Most items in a page of a list. */
    pageSize = 500;
    private nextLease = 1;
    private readonly changeListeners = new Set<() => void>();

    constructor(readonly clock: Clock) {}

    execute(request: StoreRequest): Result<AnyReply, Failure> {
        this.expireLeases();
        return match(request)
            .returnType<Result<AnyReply, Failure>>()
            .with({ kind: "read" }, ({ key }) => Ok({ item: this.items.get(key), storeRevision: this.revision }))
            .with({ kind: "list" }, ({ prefix, after }) => this.list(prefix, after))
            .with({ kind: "watch" }, ({ prefix, afterRevision }) => this.collectChanges(prefix, afterRevision))
            .with({ kind: "commit" }, ({ transaction }) => this.commit(transaction))
            .with({ kind: "grantLease" }, ({ ttlMs }) => {
                const lease = this.nextLease++;
                this.leases.set(lease, { ttlMs, endsAt: this.clock.getNow() + ttlMs });
                return Ok({ lease, ttlMs });
            })
            .with({ kind: "renewLease" }, ({ lease }) => {
                const row = this.leases.get(lease);
                if (row === undefined) {
                    return Err(
                        createFailure(storeFailures.leaseEnded, "the lease does not exist or has expired", "notRun"),
                    );
                }
                row.endsAt = this.clock.getNow() + row.ttlMs;
                return Ok({ ttlMs: row.ttlMs });
            })
            .with({ kind: "endLease" }, ({ lease }) => {
                this.endLease(lease);
                return Ok({});
            })
            .exhaustive();
    }

    /** Removes expired leases and their keys. */
    expireLeases(): void {
        for (const [id, lease] of this.leases) {
            if (lease.endsAt <= this.clock.getNow()) {
                this.endLease(id);
            }
        }
    }

    /** Lets all leases expire, as an outage of the store can do. */
    expireAllLeases(): void {
        this.leases.forEach(lease => {
            lease.endsAt = -Infinity;
        });
        this.expireLeases();
    }

    /** Drops the history, so that watches from an earlier revision fail. */
    compact(): void {
        this.compactedBelow = this.revision;
        this.events.length = 0;
    }

    /** Calls back after each change. Returns a function that ends this. */
    onChange(callback: () => void): () => void {
        this.changeListeners.add(callback);
        return () => this.changeListeners.delete(callback);
    }

    private endLease(id: number): void {
        this.leases.delete(id);
        const keys = [...this.items.values()].filter(item => item.lease === id).map(item => item.key);
        if (keys.length > 0) {
            this.apply({ conditions: [], writes: [], removals: keys });
        }
    }

    private list(prefix: string, after: string | undefined): Result<AnyReply, Failure> {
        const keys = [...this.items.keys()].filter(key =>
            key.startsWith(prefix) && (after === undefined || key > after)
        )
            .sort();
        const page = keys.slice(0, this.pageSize).map(key => this.items.get(key)!);
        return Ok({ items: page, hasMore: keys.length > page.length, storeRevision: this.revision });
    }

    private collectChanges(prefix: string, afterRevision: number): Result<AnyReply, Failure> {
        if (afterRevision < this.compactedBelow) {
            return Err(createFailure(storeFailures.compacted, "the history after this revision was compacted", "ran"));
        }
        const changes = this.events.filter(event => event.revision > afterRevision && event.key.startsWith(prefix));
        return Ok({ changes, storeRevision: this.revision });
    }

    private commit(transaction: StoreTransaction): Result<AnyReply, Failure> {
        const keys = transaction.conditions.map(condition => condition.key);
        const holds = transaction.conditions.every(({ key, revision }) =>
            (this.items.get(key)?.revision ?? 0) === revision
        );
        if (!holds) {
            const items = keys.map(key => this.items.get(key)).filter(item => item !== undefined);
            return Ok({ kind: "conflict" as const, items });
        }
        if (transaction.writes.some(({ lease }) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) {
            return Err(createFailure(storeFailures.leaseEnded, "the lease does not exist or has expired", "notRun"));
        }
        this.apply(transaction);
        return Ok({ kind: "committed" as const, revision: this.revision });
    }

    private apply(transaction: StoreTransaction): void {
        this.revision += 1;
        const revision = this.revision;
        for (const { key, value, lease } of transaction.writes) {
            const createdRevision = this.items.get(key)?.createdRevision ?? revision;
            const item = { key, value, revision, createdRevision, lease: lease ?? 0 };
            this.items.set(key, item);
            this.events.push({ key, revision, item });
        }
        for (const key of transaction.removals) {
            if (this.items.delete(key)) {
                this.events.push({ key, revision, item: undefined });
            }
        }
        [...this.changeListeners].forEach(callback => callback());
    }
}

/**
 * `answerLost`: writes are carried out but not answered. `late`: writes are carried out after a delay and not
 * answered. Writes are commits, and grants, renewals and ends of leases.
 */
export type CommitFault = "none" | "answerLost" | "late";

/** The store as one host reaches it. */
export class MemoryLeaseStore extends LeaseStore {
    mode: StoreMode = "up";
    commitFault: CommitFault = "none";
    /** Latency of a call, ms. */
    latencyMs = 4;
    /** Returns the latency of the next call, ms. Default: `latencyMs`. */
    chooseLatencyMs = (): number => this.latencyMs;
    /** Delay of writes with the fault `late`, ms. */
    lateMs = 2_000;
    /** Returns the delay of the next write with the fault `late`, ms. Default: `lateMs`. */
    chooseLateMs = (): number => this.lateMs;
    /** Returns the delay of the answer to a call that has been carried out, ms, so that answers can overtake each other. */
    chooseAnswerDelayMs = (_request: StoreRequest): number => 0;
    /** Returns the fault of the next write. Default: `commitFault`. */
    chooseFault = (): CommitFault => this.commitFault;

    constructor(readonly data: MemoryStoreData) {
        super();
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs = 1_000,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const { clock } = this.data;
        await clock.wait(this.chooseLatencyMs());
        const mode = this.data.mode === "up" ? this.mode : this.data.mode;
        if (mode === "refusing") {
            return Err(createFailure(storeFailures.unavailable, "the store refuses the calls of this host", "notRun"));
        }
        if (mode === "silent") {
            return this.dropAnswer(timeoutMs);
        }
        const fault = isWrite(request) ? this.chooseFault() : "none";
        if (fault !== "none") {
            if (fault === "late") {
                clock.schedule(this.chooseLateMs(), () => void this.data.execute(request));
            }
            else {
                this.data.execute(request);
            }
            return this.dropAnswer(timeoutMs);
        }
        const result = request.kind === "watch" ? await this.watch(request) : this.data.execute(request);
        const answerDelayMs = this.chooseAnswerDelayMs(request);
        if (answerDelayMs > 0) {
            await clock.wait(answerDelayMs);
        }
        return result as Result<StoreReply<Request>, Failure>;
    }

    private async dropAnswer<T>(timeoutMs: number): Promise<Result<T, Failure>> {
        await this.data.clock.wait(timeoutMs);
        return Err(createFailure(storeFailures.unanswered, "the store has not answered in time", "mayHaveRun"));
    }

    private async watch(request: Extract<StoreRequest, { kind: "watch"; }>): Promise<Result<AnyReply, Failure>> {
        const deadline = this.data.clock.getNow() + request.waitMs;
        for (;;) {
            const result = this.data.execute(request);
            const hasChanges = result.ok && "changes" in result.val && result.val.changes.length > 0;
            const remainingMs = deadline - this.data.clock.getNow();
            if (!result.ok || hasChanges || remainingMs <= 0) {
                return result;
            }
            await this.waitForChange(remainingMs);
        }
    }

    private waitForChange(maxMs: number): Promise<void> {
        return new Promise(resolve => {
            // Leases expire without a call; the check every 50 ms replaces the store's own timer.
            const timer = this.data.clock.schedule(Math.min(maxMs, 50), () => finish());
            const unsubscribe = this.data.onChange(() => finish());
            const finish = () => {
                timer.cancel();
                unsubscribe();
                resolve();
            };
        });
    }
}

function isWrite({ kind }: StoreRequest): boolean {
    return kind === "commit" || kind === "grantLease" || kind === "renewLease" || kind === "endLease";
}
