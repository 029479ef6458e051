/**
 * Decides which host owns the cell: the one whose record is stored in `ownerKey`, under a lease of the store.
 *
 * Each acquisition raises the epoch in the same transaction. The epoch is the fencing token of all orders, so an executor
 * refuses a replaced owner once it has heard from the new one. While no host can reach the store, none can take over, and
 * the owner continues for a bounded time, after which it sends no orders. An owner whose lease has expired acquires the
 * cell again; if the epoch is still its own, no other host has owned the cell in between, and it keeps its state in
 * memory.
 *
 * Answers of the store can be late and overtake each other, so they are ordered by its revision: one that is older than
 * what is known changes nothing. A term that does not continue the last one of this process has an epoch of its own, so
 * that within an epoch at most one set of tables decides; `beginTerm` is the only place where a term begins.
 *
 * Independent of the package `ownership`, which the scheduler and cluster packages use.
 */
import type { Clock, Failure, NetworkAddress, RandomSource, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { quorumAnswerMs } from "./executor-quorum.js";
import { LeaseClock } from "./lease-clock.js";
import type { OwnershipView } from "./ownership-view.js";
import { decodeView, updateView } from "./ownership-view.js";
import type { OwnerRecord, PossibleOwner, StoredEpoch } from "./store-keys.js";
import {
    encodeOwner,
    encodePossibleOwners,
    epochKey,
    ownerKey,
    ownershipPrefix,
    possibleOwnersKey,
} from "./store-keys.js";
import type { LeaseStore, StoreReplies } from "./store.js";
import { storeFailures } from "./store.js";

/** One acquisition of the cell, which gives the right to send orders to executors. */
export interface OwnershipTerm {
    /** Fencing token of the orders. */
    readonly epoch: number;
    /** Revision of the owner key; every write of the owner is conditional on it. */
    readonly revision: number;
    /** The lease of the store that the owner key has. */
    readonly lease: number;
    /** Earlier owners that may still have sent orders at the acquisition, this process left out. */
    readonly predecessors: readonly PossibleOwner[];
    /** What the next owners are told of this one. */
    readonly self: PossibleOwner;
}

/** Receives the changes of the ownership. */
export interface LeaseOwnershipListener {
    /** This host owns the cell. `isContinued`: no other host has owned it since this host last did. */
    onAcquired(term: OwnershipTerm, isContinued: boolean): void;
    /** Another host owns the cell or may own it. */
    onLost(reason: string): void;
    /** The owner record or the epoch changed. `owner` is `undefined` while there is none. */
    onOwnerSeen(owner: OwnerRecord | undefined, storedEpoch: StoredEpoch): void;
}

/** The store, identity and times of the host that takes part in the ownership. */
export interface OwnershipOptions {
    readonly store: LeaseStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    /** Name of this host. */
    readonly host: string;
    /** At which the other hosts reach this one. */
    readonly address: NetworkAddress;
    /** Random id of this process. */
    readonly incarnation: string;
    readonly listener: LeaseOwnershipListener;
    /** Returns whether the owner was heard from recently; its lease may still have expired in a store outage. */
    readonly isOwnerAlive: () => boolean;
    /** Time to live of the lease, ms. Default 1,500. A takeover from a failed owner first waits for its expiry. */
    readonly leaseMs?: number;
    /** Delay of this host's acquisitions, ms, so that other hosts can acquire the cell first. Default 0. */
    readonly acquireDelayMs?: number;
    /**
     * How long the owner sends orders after its lease may have expired, ms, because the store may be away for all hosts.
     * A successor that reaches neither the owner nor an executor waits as long. Default 10,000.
     */
    readonly maxOutageMs?: number;
}

/** Time to live of the lease, ms. */
const defaultLeaseMs = 1_500;
/** Renewals in the lifetime of a lease; two of them in a row may be lost. */
const renewalsPerLease = 4;
/** Default of `maxOutageMs`. */
const defaultMaxOutageMs = 10_000;
/** Most owners in the list of those that may still send orders; older ones are combined into one of unknown address. */
const maxPossibleOwners = 8;
/** Longest time for which hosts leave the cell to its last owner while that owner is still heard from, ms. */
const ownerReturnMs = 700;
/** Interval of checks whether the last owner is still heard from, ms. An owner that resigns ends its streams. */
const ownerPollMs = 20;
/** Longest random delay of an acquisition, ms, which keeps hosts from trying at the same time. */
const maxAcquireJitterMs = 20;
/** Longest wait of one watch, ms. `refresh` ends it earlier when the owner is no longer heard from. */
const watchMs = 12_000;
/** Pause after a failed call, ms. */
const retryMs = 150;
/**
 * Timeout of a renewal, ms. It leaves time to try another path to the store before the lease expires. A renewal that
 * reaches the store extends the lease even if its answer comes too late.
 */
const renewTimeoutMs = 350;
/**
 * Most renewals without an answer. Several, so that an owner that processes answers late, or whose store answers
 * slowly, still renews in time.
 */
const maxRenewalsInFlight = 4;
/** Timeout of other calls about the ownership, ms. */
const callTimeoutMs = 800;

/** Acquires, renews and releases the ownership of the cell for one host, and reports other owners. */
export class LeaseOwnership {
    private readonly leaseMs: number;
    private readonly maxOutageMs: number;
    private term: OwnershipTerm | undefined;
    private lastEpoch = 0;
    /** The newest revision of the store at which the ownership is known. */
    private knownRevision = 0;
    private isStopped = false;
    /** Whether this host acquires the cell no more. It still follows other owners. */
    private isResigned = false;
    private isAborted = false;
    /** Whether this host gave the cell up as fenced. Its record may stay until the lease expires and gives no new term. */
    private isFenced = false;
    private isAcquiring = false;
    private readonly leaseClock: LeaseClock;
    private renewalsInFlight = 0;
    private endWatch: (() => void) | undefined;

    constructor(private readonly options: OwnershipOptions) {
        const { clock, leaseMs = defaultLeaseMs, maxOutageMs = defaultMaxOutageMs } = options;
        this.leaseMs = leaseMs;
        this.maxOutageMs = maxOutageMs;
        this.leaseClock = new LeaseClock({ clock, leaseMs, maxOutageMs });
    }

    /** The term of this host; `undefined` while it does not own the cell. */
    get current(): OwnershipTerm | undefined {
        return this.term;
    }

    /** Time since the last answered renewal of the lease was sent, ms; 0 while this host does not own the cell. */
    get renewalAgeMs(): number {
        return this.term === undefined ? 0 : this.leaseClock.renewalAgeMs;
    }

    /** Whether the lease cannot have expired yet, so that no other host can own the cell. */
    get isLeaseValid(): boolean {
        return this.term !== undefined && this.leaseClock.isLeaseValid;
    }

    /** Whether this host may send orders. A successor that may exist by then counts on it. */
    get canOrder(): boolean {
        return this.term !== undefined && this.leaseClock.canOrder;
    }

    /** Whether the lease may end soon, because its renewals have no answers. */
    get isRenewalOverdue(): boolean {
        return this.term !== undefined && this.leaseClock.isRenewalOverdue;
    }

    /** Takes part in the ownership until `stop`. */
    start(): void {
        const isStopped = () => this.isStopped;
        this.options.supervisor.startLoop({ operation: "cell ownership", isStopped, run: () => this.run() });
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            if (this.term === undefined) {
                await this.follow();
            }
            else {
                await this.renew();
            }
        }
    }

    /**
     * Releases the cell, so that another host can take over at once, and acquires it no more. Other owners are still
     * reported until `stop`, because open calls of this host need them.
     */
    async resign(): Promise<void> {
        this.isResigned = true;
        if (this.term !== undefined) {
            const { lease } = this.term;
            this.recordLoss("stopping");
            await this.release(lease);
        }
    }

    /** Releases the cell and ends the loop. */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.endWatch?.();
        await this.resign();
    }

    private async release(lease: number): Promise<void> {
        const ended = await this.options.store.call({ kind: "endLease", lease }, callTimeoutMs);
        this.options.logger.write("info", "cell ownership released", { ended: ended.ok });
    }

    /** Ends the loop without releasing the lease, as a crash of the process would. */
    abort(): void {
        this.isStopped = true;
        this.isResigned = true;
        this.isAborted = true;
        this.term = undefined;
    }

    /** Gives the cell up because an executor or a machine has seen a later fencing token. */
    recordFenced(reason: string): void {
        if (this.term !== undefined) {
            this.isFenced = true;
            this.recordLoss(reason);
        }
    }

    /** Gives the cell up if another host has acquired it in this epoch, which it says itself. */
    recordSuccessor(epoch: number): void {
        if (this.term !== undefined && this.term.epoch < epoch) {
            this.recordLoss("another host acquired the cell");
        }
    }

    /** Reads the owner record again if it is being watched, because the owner is no longer heard from. */
    refresh(): void {
        this.endWatch?.();
    }

    /** Checks the owner record after a sign that it is not that of the term; the lease may have expired. */
    async verify(): Promise<void> {
        const view = await this.readOwnership();
        if (view.ok) {
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
        // A commit whose answer was late may begin a term meanwhile.
        while (!this.isStopped && this.term === undefined) {
            this.options.listener.onOwnerSeen(view.owner, view.storedEpoch);
            if (view.owner === undefined && !this.isResigned) {
                await this.tryAcquire(view);
                return;
            }
            if (view.owner?.incarnation === this.options.incarnation && !this.isFenced && !this.isResigned) {
                await this.resumeOwnership(view, view.owner);
                return;
            }
            const next = await this.watchOwnership(view);
            if (next === undefined) {
                return;
            }
            view = next;
        }
    }

    /** Owns the cell by its own record, which is stored although this host has no term. */
    private async resumeOwnership(view: OwnershipView, owner: OwnerRecord): Promise<void> {
        if (owner.epoch > this.lastEpoch) {
            // The answer to an earlier acquisition was lost.
            this.beginTerm(this.toTerm(owner, view.ownerRevision, view), false);
        }
        else if (!await this.acquire(view, false)) {
            await this.options.clock.wait(retryMs);
        }
    }

    private async watchOwnership(view: OwnershipView): Promise<OwnershipView | undefined> {
        const watched = await this.watchUntilRefresh(view.storeRevision);
        if (watched === undefined || !watched.ok || watched.val.changes.length === 0) {
            // A watch can end without a change that the store has dropped from its history, so the keys are read again.
            return undefined;
        }
        return this.acceptRevision(watched.val.storeRevision)
            ? updateView(view, watched.val, this.options.logger)
            : undefined;
    }

    private async watchUntilRefresh(
        afterRevision: number,
    ): Promise<Result<StoreReplies["watch"], Failure> | undefined> {
        const interrupted = new Promise<undefined>(resolve => {
            this.endWatch = () => resolve(undefined);
        });
        const watched = this.options.store.call({
            kind: "watch",
            prefix: ownershipPrefix,
            afterRevision,
            waitMs: watchMs,
        });
        const result = await Promise.race([watched, interrupted]);
        this.endWatch = undefined;
        return result;
    }

    private async tryAcquire(view: OwnershipView): Promise<void> {
        // The last owner acquires without a delay: hosts that still hear from it leave the cell to it in `waitForOthers`.
        const wasLastOwner = this.lastEpoch !== 0 && view.storedEpoch.epoch === this.lastEpoch;
        if (!wasLastOwner) {
            await this.waitForOthers();
            const read = await this.readOwnership();
            if (!read.ok || read.val.owner !== undefined || this.isResigned) {
                return;
            }
            await this.acquire(read.val, false);
        }
        else if (!this.isResigned) {
            await this.acquire(view, true);
        }
    }

    /** Waits while the last owner may return, and lets hosts with a shorter `acquireDelayMs` acquire the cell first. */
    private async waitForOthers(): Promise<void> {
        const { acquireDelayMs = 0, clock, isOwnerAlive, random } = this.options;
        await clock.wait(acquireDelayMs + random.getInteger(maxAcquireJitterMs));
        for (let waitedMs = 0; isOwnerAlive() && waitedMs < ownerReturnMs; waitedMs += ownerPollMs) {
            await clock.wait(ownerPollMs);
        }
    }

    private async acquire(view: OwnershipView, isContinued: boolean): Promise<boolean> {
        const sentAt = this.leaseClock.read();
        const granted = await this.options.store.call(
            { kind: "grantLease", ttlMs: this.leaseMs },
            callTimeoutMs,
        );
        if (!granted.ok || this.isResigned) {
            await this.options.clock.wait(retryMs);
            return false;
        }
        const epoch = view.storedEpoch.epoch + 1;
        const { host, address, incarnation } = this.options;
        // A record of another host, or one that cannot be read, is never replaced.
        const replacedRevision = view.owner?.incarnation === incarnation ? view.ownerRevision : 0;
        const possibleOwners = [...this.listPredecessors(view), this.describeSelf(epoch)];
        const { lease } = granted.val;
        this.isFenced = false;
        const committed = await this.options.store.call({
            kind: "commit",
            transaction: {
                conditions: [
                    { key: ownerKey, revision: replacedRevision },
                    { key: epochKey, revision: view.storedEpoch.revision },
                ],
                writes: [
                    { key: ownerKey, value: encodeOwner({ incarnation, host, address, epoch, lease }), lease },
                    { key: epochKey, value: String(epoch) },
                    { key: possibleOwnersKey, value: encodePossibleOwners(possibleOwners) },
                ],
                removals: [],
            },
        }, callTimeoutMs);
        if (this.isResigned) {
            // The host has resigned while the commit was on its way. Without an answer, it may have been carried out.
            if (!this.isAborted) {
                await this.release(lease);
            }
            return false;
        }
        if (!committed.ok || committed.val.kind === "conflict") {
            this.options.logger.write("info", "cell ownership not acquired", {
                epoch,
                reason: committed.ok ? "conflict" : committed.val.code,
            });
            return false;
        }
        this.acceptRevision(committed.val.revision);
        this.leaseClock.recordRenewal(sentAt);
        this.beginTerm(this.toTerm({ epoch, lease }, committed.val.revision, view), isContinued);
        return true;
    }

    private toTerm(
        { epoch, lease }: Pick<OwnerRecord, "epoch" | "lease">,
        revision: number,
        view: OwnershipView,
    ): OwnershipTerm {
        const predecessors = this.listPredecessors(view).filter(owner => owner.epoch < epoch);
        return { epoch, revision, lease, predecessors, self: this.describeSelf(epoch) };
    }

    private describeSelf(epoch: number): PossibleOwner {
        return { epoch, address: this.options.address, maxOutageMs: this.maxOutageMs, quorumMs: quorumAnswerMs };
    }

    /**
     * Returns the owners that may still send orders, other than this process and earlier ones at its address, which are
     * gone. Without a record that includes the last epoch, the last owner is one of unknown address.
     */
    private listPredecessors({ possibleOwners, storedEpoch: { epoch } }: OwnershipView): PossibleOwner[] {
        const { address } = this.options;
        const isComplete = epoch === 0 || possibleOwners.at(-1)?.epoch === epoch;
        const known = isComplete ? possibleOwners : [...possibleOwners, { epoch, maxOutageMs: this.maxOutageMs }];
        const others = known.filter(owner => owner.address !== address);
        if (others.length < maxPossibleOwners) {
            return others;
        }
        const older = others.slice(0, 1 - maxPossibleOwners);
        const combined = {
            epoch: older.at(-1)!.epoch,
            maxOutageMs: Math.max(...older.map(owner => owner.maxOutageMs)),
        };
        return [combined, ...others.slice(1 - maxPossibleOwners)];
    }

    /**
     * Begins a term, unless it has begun before: its record can be read before the answer to its commit arrives, or again
     * after the term has ended.
     */
    private beginTerm(term: OwnershipTerm, isContinued: boolean): void {
        if (term.epoch <= this.lastEpoch) {
            this.options.logger.write("info", "acquisition already known", { epoch: term.epoch });
            return;
        }
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

    /** Sends a renewal after the interval, whether or not the earlier ones have been answered. */
    private async renew(): Promise<void> {
        await this.options.clock.wait(this.leaseMs / renewalsPerLease);
        if (this.term !== undefined && !this.isResigned && this.renewalsInFlight < maxRenewalsInFlight) {
            const { lease } = this.term;
            this.renewalsInFlight += 1;
            this.options.supervisor.start("ownership renewal", {}, () =>
                this.sendRenewal(lease).finally(() => {
                    this.renewalsInFlight -= 1;
                }));
        }
    }

    private async sendRenewal(lease: number): Promise<void> {
        const sentAt = this.leaseClock.read();
        const renewed = await this.options.store.call({ kind: "renewLease", lease }, renewTimeoutMs);
        if (lease !== this.term?.lease || this.isResigned) {
            return;
        }
        if (renewed.ok) {
            this.leaseClock.recordRenewal(sentAt);
        }
        else if (renewed.val.code === storeFailures.leaseEnded) {
            const view = await this.readOwnership();
            if (view.ok) {
                await this.reconcileTerm(view.val);
            }
        }
    }

    /** Acquires the cell again after the lease expired, or gives it up if another host has owned it. */
    private async reconcileTerm(view: OwnershipView): Promise<void> {
        const term = this.term;
        if (term === undefined || view.ownerRevision === term.revision) {
            return;
        }
        if (view.owner?.incarnation === this.options.incarnation) {
            // The answer to an earlier acquisition was lost.
            this.beginTerm(this.toTerm(view.owner, view.ownerRevision, view), true);
            return;
        }
        if (view.storedEpoch.epoch !== term.epoch) {
            this.recordLoss("another host acquired the cell");
            return;
        }
        // A renewal and a write can notice the expiry at the same time. Of two acquisitions, one would leave its lease
        // without renewal.
        if (!this.isAcquiring) {
            this.isAcquiring = true;
            await this.acquire(view, true).finally(() => {
                this.isAcquiring = false;
            });
        }
    }

    private async readOwnership(): Promise<Result<OwnershipView, Failure>> {
        const listed = await this.options.store.call({ kind: "list", prefix: ownershipPrefix }, callTimeoutMs);
        if (!listed.ok) {
            return Err(listed.val);
        }
        const view = decodeView(listed.val, this.options.logger);
        return this.acceptRevision(view.storeRevision)
            ? Ok(view)
            : Err(createFailure("ownership-read-overtaken", "a newer answer of the store has arrived before", "ran"));
    }

    /** Records that the ownership is known at a revision. Returns `false` if it is known at a later one. */
    private acceptRevision(revision: number): boolean {
        const isNewest = revision >= this.knownRevision;
        this.knownRevision = Math.max(this.knownRevision, revision);
        return isNewest;
    }
}
