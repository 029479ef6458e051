import { expect } from "earl";
import { describe, it } from "node:test";
import { BodyBuffer } from "./body-buffer.js";
import { ByteBudget } from "./byte-budget.js";

describe("BodyBuffer", () => {
    // Guards against reserved bytes that are never released, which would end in refusing every body.
    it("reserves what it holds, and nothing after the release", () => {
        const budget = new ByteBudget(100);
        const buffer = new BodyBuffer({ budget, maxBytes: 60 });
        expect([buffer.append(Buffer.alloc(20)), buffer.append(Buffer.alloc(10))]).toEqual([undefined, undefined]);
        expect(buffer.finish().length).toEqual(30);
        expect(budget.usedBytes).toEqual(30);
        budget.release(30);
        const other = new BodyBuffer({ budget, maxBytes: 60 });
        other.append(Buffer.alloc(50));
        expect(other.append(Buffer.alloc(11))).toEqual("tooLarge");
        other.release();
        expect(budget.usedBytes).toEqual(0);
    });

    // Guards against a caller that states a long body, sends nothing and keeps others out.
    it("reserves only bytes that have arrived, and refuses those beyond the budget", () => {
        const budget = new ByteBudget(100);
        const first = new BodyBuffer({ budget, maxBytes: 90, statedBytes: 90 });
        first.append(Buffer.alloc(1));
        expect(budget.usedBytes).toEqual(1);
        expect(new BodyBuffer({ budget, maxBytes: 100 }).append(Buffer.alloc(100))).toEqual("noMemory");
    });
});
