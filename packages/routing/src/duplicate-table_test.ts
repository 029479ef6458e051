import { Ok, toId } from "@waxwingroute/core";
import type { ExecutorId, RequestKey, TeamId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { DuplicateTable } from "./duplicate-table.js";

describe("DuplicateTable", () => {
    const team = toId<TeamId>("quotes");
    const toKey = (sequence: number) => toId<RequestKey>(`key-${sequence}`);

    function complete(table: DuplicateTable<string>, sequence: number, bytes: number, now: number): void {
        const key = toKey(sequence);
        table.start({ key, sequence, team, fingerprint: "", work: "work" });
        const answer = {
            requestKey: key,
            executor: toId<ExecutorId>("e"),
            status: 200,
            contentType: "",
            body: Buffer.alloc(bytes),
        };
        table.complete(key, Ok(answer), now);
    }

    // Guards against a key that is evicted together with its answer, so that its request could run again.
    it("keeps a key as used when its answer is evicted", () => {
        const table = new DuplicateTable<string>({ retentionMs: 1000, maxBytes: 3000 });
        complete(table, 1, 1000, 0);
        complete(table, 2, 1000, 0);
        expect(table.find(toKey(1))?.result?.ok).toEqual(false);
        expect(table.find(toKey(2))?.result?.ok).toEqual(true);
        expect(table.lowWaterMark).toEqual(0);
    });

    // Guards against unlimited memory, and against an evicted key that seems unused.
    it("stays within its limit on bytes and raises the low-water mark above each evicted key", () => {
        const table = new DuplicateTable<string>({ retentionMs: 1000, maxBytes: 10_000 });
        for (let sequence = 1; sequence <= 1000; sequence++) {
            complete(table, sequence, sequence % 700, 0);
            expect(table.bytes <= 10_000).toEqual(true);
        }
        for (let sequence = 1; sequence <= 1000; sequence++) {
            expect(table.find(toKey(sequence)) !== undefined || sequence < table.lowWaterMark).toEqual(true);
        }
    });

    // Guards against answers that are evicted before the retention time has passed, or kept long after it.
    it("evicts answers after the retention time, but never work in progress", () => {
        const table = new DuplicateTable<string>({ retentionMs: 1000, maxBytes: 10_000 });
        table.start({ key: toKey(1), sequence: 1, team, fingerprint: "", work: "work" });
        complete(table, 2, 10, 0);
        table.evict(999);
        expect(table.size).toEqual(2);
        table.evict(1000);
        expect(table.find(toKey(1))?.work).toEqual("work");
        expect(table.size).toEqual(1);
        expect(table.lowWaterMark).toEqual(3);
    });
});
