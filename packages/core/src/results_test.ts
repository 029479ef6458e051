import { expect } from "earl";
import { describe, it } from "node:test";
import tsResults from "ts-results";
import { Err, Ok } from "./results.js";
import type { Result } from "./results.js";

describe("Ok and Err", () => {
    // Guards against the CommonJS import of ts-results, which type-checks as a named import but fails at run time.
    it("creates Ok and Err at run time", () => {
        expect(Ok(1).val).toEqual(1);
        expect(Err("failed").ok).toEqual(false);
    });

    // Guards against a library version with other fields: `Err` sets them itself to avoid the cost of a stack.
    it("creates an Err that works like the library's, but has no stack", () => {
        const result: Result<number, string> = Err("failed");
        expect(result instanceof tsResults.Err).toEqual(true);
        expect(Object.keys(result)).toEqual(Object.keys(new tsResults.Err("failed")));
        expect([result.err, result.val, result.unwrapOr(2)]).toEqual([true, "failed", 2]);
        expect(() => result.unwrap()).toThrow("failed");
        expect(result.mapErr(text => text.length).val).toEqual(6);
    });
});
