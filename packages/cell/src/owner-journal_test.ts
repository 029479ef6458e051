import { ManualClock, toId } from "@waxwingroute/core";
import type { NetworkAddress } from "@waxwingroute/core";
import { Supervisor } from "@waxwingroute/telemetry";
import { expect } from "earl";
import { describe, it } from "node:test";
import { OwnerJournal } from "./owner-journal.js";
import { ownerKey } from "./store-keys.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";

describe("OwnerJournal", () => {
    describe("after unexpected errors of callbacks", () => {
        it("stores further records", async () => {
            // Guards against an owner that stores no end any more after a few errors, each of which was caught.
            const clock = new ManualClock();
            const data = new MemoryStoreData(clock);
            const transaction = { conditions: [], writes: [{ key: ownerKey, value: "{}" }], removals: [] };
            data.execute({ kind: "commit", transaction });
            const logger = { write: () => undefined };
            const journal = new OwnerJournal({
                store: new MemoryLeaseStore(data),
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
                onConflict: () => undefined,
                onExpired: () => undefined,
            });
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
});
