import { expect } from "earl";
import { describe, it } from "node:test";
import { Err, Ok } from "./results.js";

describe("results", () => {
    // Guards against the CommonJS import of ts-results, which type-checks as a named import but fails at run time.
    it("creates both kinds of result at run time", () => {
        expect(Ok(1).val).toEqual(1);
        expect(Err("failed").ok).toEqual(false);
    });
});
