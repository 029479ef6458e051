import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { ConnectionTable } from "./connection-table.js";

describe("ConnectionTable", () => {
    let clock: ManualClock;
    let closed: string[];
    let table: ConnectionTable<string>;

    beforeEach(() => {
        clock = new ManualClock();
        closed = [];
        table = new ConnectionTable({ maxConnections: 2, clock, close: connection => closed.push(connection) });
        table.add("a");
        table.add("b");
    });

    describe("add", () => {
        // Guards against closing a connection whose caller is just sending.
        it("refuses a connection while all others were used within the last second", async () => {
            await clock.advance(999);
            expect([table.isExhausted, table.add("c"), table.refused]).toEqual([true, false, 1]);
            expect(closed).toEqual([]);
        });

        // Guards against idle connections that keep callers out.
        it("closes the connection that has been idle for the longest", async () => {
            await clock.advance(500);
            table.recordRequest("a");
            table.recordReply("a");
            await clock.advance(1_000);
            expect([table.isExhausted, table.add("c"), table.add("d"), table.evicted]).toEqual([false, true, true, 2]);
            expect(closed).toEqual(["b", "a"]);
            expect(table.size).toEqual(2);
        });

        // Guards against a reply that is lost because its connection is closed for another.
        it("never closes a connection with a request in progress", async () => {
            table.recordRequest("a");
            table.recordRequest("b");
            table.recordRequest("b");
            table.recordReply("b");
            await clock.advance(60_000);
            expect([table.isExhausted, table.add("c")]).toEqual([true, false]);
            table.recordReply("b");
            await clock.advance(1_000);
            expect(table.add("c")).toEqual(true);
            expect(closed).toEqual(["b"]);
        });
    });

    describe("remove", () => {
        // Guards against connections that are counted after they have closed.
        it("makes room, and ignores what happens to the connection later", () => {
            table.remove("a");
            table.recordRequest("a");
            table.recordReply("a");
            expect([table.add("c"), table.size]).toEqual([true, 2]);
        });
    });
});
