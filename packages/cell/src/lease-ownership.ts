/**
 * Decides which host owns the cell: the one that holds `ownerKey` under a lease of the store.
 *
 * Each acquisition raises the epoch in the same transaction; the epoch is the fencing token of all orders, so executors
 * refuse a deposed owner as soon as they have heard from the new one. While nobody can reach the store nobody can take
 * over, and the owner goes on. An owner whose lease ran out acquires it again; if the epoch is still its own, nobody else
 * has owned the cell in between and it keeps its tables.
 */
import type { Clock, Failure, RandomSource, Result } from "@waxwingroute/core";
import { Err, Ok } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import { match } from "ts-pattern";
import type { OwnerRecord, StoredEpoch } from "./store-keys.js";
import { decodeEpoch, decodeOwner, encodeOwner, epochKey, ownerKey, ownershipPrefix } from "./store-keys.js";
import type { LeaseStore, StoreItem } from "./store.js";
import { storeFailures } from "./store.js";

/** The right to order executors. */
export interface OwnershipTerm {
    readonly epoch: number;
    /** Revision of the owner key, the condition of every write of the owner. */
    readonly revision: number;
}

export interface OwnershipListener {
    /** This host owns the cell. `isContinued`: no other host has owned it since this host last did. */
    onAcquired(term: OwnershipTerm, isContinued: boolean): void;
    /** Another host owns the cell, or may. */
    onLost(reason: string): void;
    /** The owner record or the epoch changed; `undefined`: there is no owner. */
    onOwnerSeen(owner: OwnerRecord | undefined, storedEpoch: StoredEpoch): void;
}

export interface OwnershipOptions {
    readonly store: LeaseStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: LogWriter;
    readonly host: string;
    /** `<ip>:<port>` for the other hosts. */
    readonly address: string;
    readonly incarnation: string;
    readonly listener: OwnershipListener;
    /** Returns whether the present owner was heard from recently; its lease may have run out in a store outage. */
    readonly isOwnerAlive: () => boolean;
    /** Life of the lease, ms. Default 1,500: the time of a takeover begins with it. */
    readonly leaseMs?: number;
    /** Time for which this host lets others acquire the cell first, ms. Default 0. */
    readonly acquireDelayMs?: number;
    /** Time between renewals, ms. Default 400, so that three may be lost. */
    readonly renewIntervalMs?: number;
}

/** Life of the lease, ms. */
const defaultLeaseMs = 1_500;
/** Clocks may run this much slower or faster than the store's; figure of the platform's pages. */
const clockRateBound = 0.02;
/** Time that the last owner has to return when it was heard from recently, ms. */
const ownerReturnMs = 700;
/** Time between looks whether the last owner is still heard from, ms: an owner that resigns ends its streams. */
const ownerPollMs = 20;
/** Time over which hosts spread their acquisitions, ms. */
const maxAcquireJitterMs = 20;
/** Longest wait of one watch, ms; a silent connection is noticed after it. */
const watchMs = 4_000;
/** Pause after a failed call, ms. */
const retryMs = 150;
/**
 * Bound of a renewal, ms: after it another way to the store is tried while the lease lasts. A renewal that arrives counts
 * even if its answer comes too late.
 */
const renewTimeoutMs = 350;
/** Bound of one call about the lease, ms. */
const callTimeoutMs = 800;

interface OwnershipView {
    readonly owner: OwnerRecord | undefined;
    readonly ownerRevision: number;
    readonly storedEpoch: StoredEpoch;
    readonly storeRevision: number;
}

export class LeaseOwnership {
    private term: OwnershipTerm | undefined;
    private lease = 0;
    private lastEpoch = 0;
    private isStopped = false;
    private isFenced = false;
    private isAcquiring = false;
    /** When the last renewal or grant that was answered was sent. */
    private renewedAt = -Infinity;

    constructor(private readonly options: OwnershipOptions) {}

    get current(): OwnershipTerm | undefined {
        return this.term;
    }

    /** Whether the lease cannot have run out yet, so that no other host can own the cell. */
    get isLeaseValid(): boolean {
        const validMs = (this.options.leaseMs ?? defaultLeaseMs) * (1 - clockRateBound);
        return this.term !== undefined && this.options.clock.getNow() - this.renewedAt < validMs;
    }

    /** Runs until `stop`. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            if (this.term === undefined) {
                await this.follow();
            }
            else {
                await this.renew();
            }
        }
    }

    /** Gives the cell up, so that another host takes over at once. */
    async stop(): Promise<void> {
        this.isStopped = true;
        if (this.term !== undefined) {
            this.recordLoss("stopping");
            const ended = await this.options.store.call({ kind: "endLease", lease: this.lease }, callTimeoutMs);
            this.options.logger.write("info", "cell ownership released", { ended: ended.ok });
        }
    }

    /** Ends the loop without giving the lease back, as the end of the process would. */
    abort(): void {
        this.isStopped = true;
        this.term = undefined;
    }

    /** Reports that an executor or the store has seen a later owner. */
    recordFenced(reason: string): void {
        if (this.term !== undefined) {
            this.isFenced = true;
            this.recordLoss(reason);
        }
    }

    /** Reports that a write of the owner met another owner record: the lease may have run out. */
    async verify(): Promise<void> {
        const view = await this.readOwnership();
        if (view.ok && this.term !== undefined && view.val.ownerRevision !== this.term.revision) {
            await this.reconcileTerm(view.val);
        }
    }

    private async follow(): Promise<void> {
        const read = await this.readOwnership();
        if (!read.ok) {
            await this.options.clock.wait(retryMs);
            return;
        }
        let view = read.val;
        while (!this.isStopped) {
            this.options.listener.onOwnerSeen(view.owner, view.storedEpoch);
            if (view.owner === undefined) {
                await this.tryAcquire(view);
                return;
            }
            if (view.owner.incarnation === this.options.incarnation && !this.isFenced) {
                // The answer to an earlier acquisition was lost.
                this.beginTerm({ epoch: view.owner.epoch, revision: view.ownerRevision }, false);
                return;
            }
            const next = await this.watchOwnership(view);
            if (next === undefined) {
                return;
            }
            view = next;
        }
    }

    private async watchOwnership(view: OwnershipView): Promise<OwnershipView | undefined> {
        const watched = await this.options.store.call({
            kind: "watch",
            prefix: ownershipPrefix,
            afterRevision: view.storeRevision,
            waitMs: watchMs,
        });
        if (!watched.ok || watched.val.changes.length === 0) {
            // An empty answer can hide a change while the store drops its history, so the keys are read again.
            return undefined;
        }
        const items = new Map(watched.val.changes.map(change => [change.key, change.item]));
        const owner = items.has(ownerKey) ? items.get(ownerKey) : "unchanged";
        const epoch = items.get(epochKey);
        const parsed = owner === "unchanged" ? view.owner : this.parseOwner(owner);
        return {
            owner: parsed,
            ownerRevision: owner === "unchanged" ? view.ownerRevision : owner?.revision ?? 0,
            storedEpoch: epoch === undefined ? view.storedEpoch : decodeEpoch(epoch),
            storeRevision: watched.val.storeRevision,
        };
    }

    private async tryAcquire(view: OwnershipView): Promise<void> {
        const wasOwner = this.lastEpoch !== 0 && view.storedEpoch.epoch === this.lastEpoch;
        if (!wasOwner) {
            await this.waitForOthers();
            const read = await this.readOwnership();
            if (!read.ok || read.val.owner !== undefined || this.isStopped) {
                return;
            }
            await this.acquire(read.val, false);
        }
        else if (!this.isStopped) {
            await this.acquire(view, true);
        }
    }

    /** Waits while the last owner may return, and lets hosts that suit better go first. */
    private async waitForOthers(): Promise<void> {
        const { acquireDelayMs = 0, clock, isOwnerAlive, random } = this.options;
        await clock.wait(acquireDelayMs + random.getInteger(maxAcquireJitterMs));
        for (let waitedMs = 0; isOwnerAlive() && waitedMs < ownerReturnMs; waitedMs += ownerPollMs) {
            await clock.wait(ownerPollMs);
        }
    }

    private async acquire(view: OwnershipView, isContinued: boolean): Promise<boolean> {
        const sentAt = this.options.clock.getNow();
        const granted = await this.options.store.call(
            { kind: "grantLease", ttlMs: this.options.leaseMs ?? defaultLeaseMs },
            callTimeoutMs,
        );
        if (!granted.ok || this.isStopped) {
            await this.options.clock.wait(retryMs);
            return false;
        }
        const epoch = view.storedEpoch.epoch + 1;
        const { host, address, incarnation } = this.options;
        this.isFenced = false;
        this.lease = granted.val.lease;
        const committed = await this.options.store.call({
            kind: "commit",
            transaction: {
                conditions: [{ key: ownerKey, revision: 0 }, { key: epochKey, revision: view.storedEpoch.revision }],
                writes: [
                    { key: ownerKey, value: encodeOwner({ incarnation, host, address, epoch }), lease: this.lease },
                    { key: epochKey, value: String(epoch) },
                ],
                removals: [],
            },
        }, callTimeoutMs);
        if (!committed.ok || committed.val.kind === "conflict") {
            this.options.logger.write("info", "cell ownership not acquired", {
                epoch,
                reason: committed.ok ? "conflict" : committed.val.code,
            });
            return false;
        }
        this.renewedAt = sentAt;
        this.beginTerm({ epoch, revision: committed.val.revision }, isContinued);
        return true;
    }

    private beginTerm(term: OwnershipTerm, isContinued: boolean): void {
        this.term = term;
        this.lastEpoch = term.epoch;
        this.options.logger.write("info", "cell ownership acquired", { epoch: term.epoch, isContinued });
        this.options.listener.onAcquired(term, isContinued);
    }

    private recordLoss(reason: string): void {
        this.options.logger.write("warn", "cell ownership lost", { epoch: this.term?.epoch, reason });
        this.term = undefined;
        this.options.listener.onLost(reason);
    }

    private async renew(): Promise<void> {
        await this.options.clock.wait(this.options.renewIntervalMs ?? 400);
        if (this.term === undefined || this.isStopped) {
            return;
        }
        const sentAt = this.options.clock.getNow();
        const renewed = await this.options.store.call({ kind: "renewLease", lease: this.lease }, renewTimeoutMs);
        if (renewed.ok) {
            this.renewedAt = sentAt;
        }
        else if (renewed.val.code === storeFailures.leaseEnded) {
            const view = await this.readOwnership();
            if (view.ok) {
                await this.reconcileTerm(view.val);
            }
        }
    }

    /** Acquires the cell again after the lease ran out, or gives up when another host has owned it. */
    private async reconcileTerm(view: OwnershipView): Promise<void> {
        const term = this.term;
        if (term === undefined || view.ownerRevision === term.revision) {
            return;
        }
        if (view.owner?.incarnation === this.options.incarnation) {
            // The answer to an earlier acquisition was lost.
            this.beginTerm({ epoch: view.owner.epoch, revision: view.ownerRevision }, true);
            return;
        }
        if (view.storedEpoch.epoch !== term.epoch) {
            this.recordLoss("another host acquired the cell");
            return;
        }
        // A renewal and a write can find out at the same time; two acquisitions would leave the lease of one unrenewed.
        if (!this.isAcquiring) {
            this.isAcquiring = true;
            await this.acquire(view, true);
            this.isAcquiring = false;
        }
    }

    private async readOwnership(): Promise<Result<OwnershipView, Failure>> {
        const listed = await this.options.store.call({ kind: "list", prefix: ownershipPrefix }, callTimeoutMs);
        if (!listed.ok) {
            return Err(listed.val);
        }
        const owner = listed.val.items.find(item => item.key === ownerKey);
        const epoch = listed.val.items.find(item => item.key === epochKey);
        return Ok({
            owner: this.parseOwner(owner),
            ownerRevision: owner?.revision ?? 0,
            storedEpoch: decodeEpoch(epoch),
            storeRevision: listed.val.storeRevision,
        });
    }

    private parseOwner(item: StoreItem | undefined): OwnerRecord | undefined {
        if (item === undefined) {
            return undefined;
        }
        const decoded = decodeOwner(item.value);
        return match(decoded.ok)
            .with(true, () => decoded.val as OwnerRecord)
            .with(false, () => {
                this.options.logger.write("error", "owner record cannot be read", { revision: item.revision });
                return undefined;
            })
            .exhaustive();
    }
}
