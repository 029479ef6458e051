import { toId } from "@waxwingroute/core";
import type { ShardId } from "@waxwingroute/core";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { encodeRequestKey, parseRequestKey } from "./request-key.js";

describe("request key format", () => {
    const parts = { shard: toId<ShardId>("glasgow/3"), epoch: 7, sequence: 12, random: "0123456789abcdef" };

    // Guards against a key that names another shard, epoch or sequence number when a caller sends it back.
    it("parses an encoded key back into its parts", () => {
        expect(encodeRequestKey(parts) as string).toEqual("glasgow.3.7.12.0123456789abcdef");
        expect(parseRequestKey(encodeRequestKey(parts))).toEqual(parts);
    });

    // Guards against two texts for one key, which would let a request run twice.
    it("accepts only one text for each key", () => {
        const character = fc.constantFrom(..."glasgow.0123456789abcdef-+ eE/");
        const property = fc.property(fc.string({ unit: character, maxLength: 40 }), text => {
            const parsed = parseRequestKey(text);
            return parsed === undefined || encodeRequestKey(parsed) === text;
        });
        fc.assert(property, { seed: 1, numRuns: 5000 });
        for (const text of ["glasgow.3.07.12.0123456789abcdef", "glasgow.3.7.1e2.0123456789abcdef"]) {
            expect(parseRequestKey(text)).toEqual(undefined);
        }
    });
});
