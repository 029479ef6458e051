/**
 * Stores the roster of the executors that may hold runs of the cell, and tells which rosters may be the stored one.
 *
 * The stored roster is also the list of those whose answers decide between an owner without a lease and its successor,
 * so both must know the same one: an owner counts the last confirmed roster and the one whose write has no answer yet,
 * and an entry of an earlier owner's roster stays until that owner can send no more orders.
 */
import type { ExecutorId } from "@waxwingroute/core";
import { encodeRoster, rosterKey } from "./store-keys.js";
import type { RosterEntry } from "./store-keys.js";
import type { StoreWrite } from "./store.js";

/** The ways to the store and to the owner's authority. */
export interface RosterWriterOptions {
    /** Writes the roster to the store and calls `onStored` once the write is committed. */
    readonly storeRoster: (write: StoreWrite, onStored: () => void) => void;
    /** Returns the present epoch of this owner. */
    readonly getEpoch: () => number;
    /** Returns whether an earlier owner may still send orders. */
    readonly hasEarlierOwners: () => boolean;
    /** Called with the rosters of which any one can be the stored one. */
    readonly onStoredRosters: (rosters: readonly (readonly ExecutorId[])[]) => void;
}

/** Writes one roster at a time. */
export class RosterWriter {
    /** The entries of the roster that this owner has found. */
    private earlier: ReadonlyMap<ExecutorId, RosterEntry> = new Map();
    private readonly addedIn = new Map<ExecutorId, number>();
    private confirmed: readonly ExecutorId[] = [];
    private keptCount = 0;

    constructor(private readonly options: RosterWriterOptions) {}

    /** Whether the last roster has entries that are only kept because an earlier owner depended on them. */
    get hasOutdatedEntries(): boolean {
        return this.keptCount > 0 && !this.options.hasEarlierOwners();
    }

    /** Begins with the roster that earlier owners have stored. */
    adopt(roster: readonly RosterEntry[]): void {
        this.earlier = new Map(roster.map(entry => [entry.executor, entry]));
        roster.forEach(({ executor, addedIn }) => this.addedIn.set(executor, addedIn ?? 0));
        this.confirmed = [...this.earlier.keys()];
        this.options.onStoredRosters([this.confirmed]);
    }

    /** Stores the entries and those that an earlier owner depends on. */
    store(entries: readonly RosterEntry[], onStored: () => void): void {
        const { getEpoch, hasEarlierOwners, onStoredRosters, storeRoster } = this.options;
        const present = new Set(entries.map(({ executor }) => executor));
        const kept = hasEarlierOwners()
            ? [...this.earlier.values()].filter(({ executor }) => !present.has(executor))
            : [];
        this.keptCount = kept.length;
        const epoch = getEpoch();
        const roster = [...entries, ...kept.map(entry => ({ ...entry, tasks: [] }))].map(entry => {
            const addedIn = this.addedIn.get(entry.executor) ?? epoch;
            this.addedIn.set(entry.executor, addedIn);
            return { ...entry, addedIn };
        });
        const written = roster.map(({ executor }) => executor);
        onStoredRosters([this.confirmed, written]);
        storeRoster({ key: rosterKey, value: encodeRoster(roster) }, () => {
            this.confirmed = written;
            onStoredRosters([written]);
            onStored();
        });
    }
}
