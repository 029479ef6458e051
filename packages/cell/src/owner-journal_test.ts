import { ManualClock, toId } from "@waxwingroute/core";
import type { NetworkAddress } from "@waxwingroute/core";
import { Supervisor } from "@waxwingroute/telemetry";
import { expect } from "earl";
import { describe, it } from "node:test";
import { OwnerJournal } from "./owner-journal.js";
import { ownerKey, rosterKey } from "./store-keys.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly data = new MemoryStoreData(this.clock);
    conflicts = 0;

    constructor() {
        this.replaceOwner();
    }

    /** Stores an owner record, as an acquisition of the cell does. */
    replaceOwner(): void {
        const transaction = { conditions: [], writes: [{ key: ownerKey, value: "{}" }], removals: [] };
        this.data.execute({ kind: "commit", transaction });
    }

    /** Opens a journal for the present owner record. */
    openJournal(store = new MemoryLeaseStore(this.data)): OwnerJournal {
        const { clock, data } = this;
        const logger = { write: () => undefined };
        return new OwnerJournal({
            store,
            clock,
            logger,
            supervisor: new Supervisor({ clock, logger }),
            term: {
                epoch: 1,
                revision: data.revision,
                lease: 1,
                predecessors: [],
                self: { epoch: 1, address: toId<NetworkAddress>("10.0.0.1:1"), maxOutageMs: 10_000 },
            },
            retentionMs: 60_000,
            onConflict: () => {
                this.conflicts += 1;
            },
            onExpired: () => undefined,
        });
    }
}

describe("OwnerJournal", () => {
    describe("after unexpected errors of callbacks", () => {
        it("stores further records", async () => {
            // Guards against an owner that stores no end any more after a few errors, each of which was caught.
            const fixture = new Fixture();
            const { clock } = fixture;
            const journal = fixture.openJournal();
            for (let count = 0; count < 3; count++) {
                journal.recordWrite({ key: "waxwing/test/a", value: String(count) }, () => {
                    throw new Error("unexpected");
                });
                await clock.advance(500);
            }
            let isStored = false;
            journal.recordWrite({ key: "waxwing/test/b", value: "1" }, () => {
                isStored = true;
            });
            await clock.advance(5_000);
            expect(isStored).toEqual(true);
            journal.close();
        });
    });

    describe("of an owner that has been replaced", () => {
        it("stores nothing, neither at once nor when the store carries out a write late", async () => {
            // Guards against a roster that lists executors again which a later owner has taken out.
            const fixture = new Fixture();
            const { clock, data } = fixture;
            const store = new MemoryLeaseStore(data);
            store.commitFault = "late";
            store.chooseLateMs = () => 2_000;
            const journal = fixture.openJournal(store);
            journal.recordWrite({ key: rosterKey, value: "late" }, () => undefined);
            await clock.advance(500);
            fixture.replaceOwner();
            store.commitFault = "none";
            journal.recordWrite({ key: rosterKey, value: "old" }, () => undefined);
            await clock.advance(10_000);
            expect(data.items.get(rosterKey)).toEqual(undefined);
            expect(fixture.conflicts > 0).toEqual(true);
            journal.close();
        });
    });
});
