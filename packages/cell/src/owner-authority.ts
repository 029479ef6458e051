/**
 * What the owner of a cell may order at the moment: it depends on its own lease in the store, and on the earlier owners
 * that may still order too.
 */
import type { Clock, ExecutorId } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { ExecutorQuorum } from "./executor-quorum.js";
import type { RosterAuthority } from "./executor-registry.js";
import type { ExecutorAnswer } from "./executor-session.js";
import { FencedExecutors } from "./fenced-executors.js";
import type { OwnershipTerm } from "./lease-ownership.js";
import type { OwnerJournal } from "./owner-journal.js";
import { Predecessors } from "./predecessors.js";
import type { PossibleOwner, RosterEntry } from "./store-keys.js";
import { encodePossibleOwners, possibleOwnersKey } from "./store-keys.js";

/** The ownership of this host, and the ways to the earlier owners and to the store. */
export interface OwnerAuthorityOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    readonly journal: OwnerJournal;
    /** See `LeaseOwnership`. */
    readonly ownership: HeldOwnership;
    /** Asks the process of an earlier owner to stop. Returns whether it has, or is gone. */
    readonly askToStop: (owner: PossibleOwner) => Promise<boolean>;
    /** Asks each executor for an answer, so that it is known whether most of them obey this owner. */
    readonly confirmExecutors: () => void;
}

/** What the lease of this host in the store allows. */
export interface HeldOwnership {
    readonly canOrder: boolean;
    readonly isLeaseValid: boolean;
    readonly isRenewalOverdue: boolean;
}

/** Interval at which answers of the executors are asked for while the lease is not renewed, ms. */
const confirmIntervalMs = 250;

/** The authority of one owner over all of its terms. */
export class OwnerAuthority implements RosterAuthority {
    private readonly quorum: ExecutorQuorum;
    private readonly fenced: FencedExecutors;
    private predecessors: Predecessors;
    private wasAllowed = true;
    private isClosed = false;

    constructor(private readonly options: OwnerAuthorityOptions, private term: OwnershipTerm) {
        this.quorum = new ExecutorQuorum(options.clock);
        this.fenced = new FencedExecutors(options.clock);
        this.predecessors = this.createPredecessors();
    }

    /** Whether orders may be sent: with a valid lease, or for a bounded time while most executors obey this owner. */
    get canOrder(): boolean {
        const { ownership } = this.options;
        return ownership.canOrder && (ownership.isLeaseValid || this.quorum.isHeld);
    }

    get isLeaseValid(): boolean {
        return this.options.ownership.isLeaseValid;
    }

    get earlierOrdersEndAt(): number {
        return this.predecessors.ordersEndAt;
    }

    get hasEarlierOwners(): boolean {
        return this.predecessors.remaining.length > 0;
    }

    /** Epochs of the earlier owners that may still send orders. */
    get earlierEpochs(): readonly number[] {
        return this.predecessors.remaining.map(({ epoch }) => epoch);
    }

    adoptRoster(roster: readonly RosterEntry[]): void {
        this.fenced.adoptRoster(roster);
    }

    setStoredRosters(rosters: readonly (readonly ExecutorId[])[]): void {
        this.quorum.setStoredRosters(rosters);
    }

    recordAnswer(executor: ExecutorId, { sentAt, isFromKnownLife }: ExecutorAnswer): void {
        this.fenced.record(executor);
        if (isFromKnownLife) {
            this.quorum.recordAnswer(executor, sentAt);
        }
    }

    recordLifeOver(executor: ExecutorId): void {
        this.fenced.record(executor);
    }

    /** Begins to stop the earlier owners, and to watch whether executors obey this one. */
    start(): void {
        this.stopPredecessors();
        this.options.supervisor.startLoop({
            operation: "confirmation of executors",
            isStopped: () => this.isClosed,
            run: () => this.confirmExecutors(),
        });
    }

    private async confirmExecutors(): Promise<void> {
        const { clock, confirmExecutors, ownership } = this.options;
        while (!this.isClosed) {
            await clock.wait(confirmIntervalMs);
            if (ownership.isRenewalOverdue) {
                confirmExecutors();
            }
        }
    }

    private stopPredecessors(): void {
        const { predecessors } = this;
        this.options.supervisor.startLoop({
            operation: "stop of earlier owners",
            isStopped: () => this.isClosed || predecessors !== this.predecessors,
            run: () => predecessors.run(),
        });
    }

    /** Continues in a new term of this host. */
    setTerm(term: OwnershipTerm): void {
        this.term = term;
        this.predecessors.close();
        this.predecessors = this.createPredecessors();
        this.stopPredecessors();
    }

    /** Returns whether this host may send orders now, and logs each change. */
    check(): boolean {
        const { canOrder } = this;
        if (canOrder !== this.wasAllowed) {
            this.wasAllowed = canOrder;
            this.options.logger.write(canOrder ? "info" : "warn", canOrder ? "orders resumed" : "orders suspended", {
                epoch: this.term.epoch,
                reason: this.describeChange(canOrder),
            });
        }
        return canOrder;
    }

    private describeChange(canOrder: boolean): string {
        if (canOrder) {
            return this.isLeaseValid ? "the lease was renewed" : "most executors have answered";
        }
        return this.options.ownership.canOrder
            ? "the lease has ended and most executors have not answered"
            : "the store has been away for too long";
    }

    close(): void {
        this.isClosed = true;
        this.predecessors.close();
    }

    private createPredecessors(): Predecessors {
        const { askToStop, clock, logger } = this.options;
        const { predecessors, revision, self } = this.term;
        return new Predecessors({
            clock,
            logger,
            owners: predecessors,
            askToStop,
            findMajorityTime: epoch => this.fenced.findMajorityTime(epoch),
            onAllStopped: () => this.storePossibleOwners(revision, self),
        });
    }

    /** Stores that this owner is the only one that may send orders, so that its successor asks no others. */
    private storePossibleOwners(revision: number, self: PossibleOwner): void {
        this.options.journal.setRevision(possibleOwnersKey, revision);
        this.options.journal.recordWrite(
            { key: possibleOwnersKey, value: encodePossibleOwners([self]) },
            () => undefined,
        );
    }
}
