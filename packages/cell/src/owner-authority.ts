/**
 * What the owner of a cell may order at the moment: it depends on its own lease in the store, and on the earlier owners
 * that may still order too.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { OrderAuthority } from "./executor-session.js";
import type { OwnershipTerm } from "./lease-ownership.js";
import type { OwnerJournal } from "./owner-journal.js";
import { Predecessors } from "./predecessors.js";
import type { PossibleOwner } from "./store-keys.js";
import { encodePossibleOwners, possibleOwnersKey } from "./store-keys.js";

/** The ownership of this host, and the ways to the earlier owners and to the store. */
export interface OwnerAuthorityOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    readonly journal: OwnerJournal;
    /** Whether this host may send orders, and whether no other host can own the cell now; see `LeaseOwnership`. */
    readonly ownership: { readonly canOrder: boolean; readonly isLeaseValid: boolean; };
    /** Asks the process of an earlier owner to stop. Returns whether it has, or is gone. */
    readonly askToStop: (owner: PossibleOwner) => Promise<boolean>;
}

/** The authority of one owner over all of its terms. */
export class OwnerAuthority implements OrderAuthority {
    private predecessors: Predecessors;
    private wasAllowed = true;
    private isClosed = false;

    constructor(private readonly options: OwnerAuthorityOptions, private term: OwnershipTerm) {
        this.predecessors = this.createPredecessors();
    }

    get canOrder(): boolean {
        return this.options.ownership.canOrder;
    }

    get isLeaseValid(): boolean {
        return this.options.ownership.isLeaseValid;
    }

    get earlierOrdersEndAt(): number {
        return this.predecessors.ordersEndAt;
    }

    /** Begins to stop the earlier owners. */
    start(): void {
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
        this.start();
    }

    /** Returns whether this host may send orders now, and logs each change. */
    check(): boolean {
        const { canOrder } = this;
        if (canOrder !== this.wasAllowed) {
            this.wasAllowed = canOrder;
            this.options.logger.write(canOrder ? "info" : "warn", canOrder ? "orders resumed" : "orders suspended", {
                epoch: this.term.epoch,
                reason: canOrder ? "the lease was renewed" : "the store has been away for too long",
            });
        }
        return canOrder;
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
