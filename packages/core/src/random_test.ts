import { expect } from "earl";
import { describe, it } from "node:test";
import { SystemRandom } from "./random.js";

describe("SystemRandom", () => {
    // Guards against bytes of the pool that are used twice, or used after they were cleared.
    it("returns different digits each time, across refills of its pool", () => {
        const random = new SystemRandom();
        const texts = Array.from({ length: 3000 }, () => random.getHex(16));
        expect(new Set(texts).size).toEqual(3000);
        expect(texts.every(text => /^[0-9a-f]{16}$/.test(text))).toEqual(true);
        expect([random.getHex(3).length, random.getHex(10_001).length]).toEqual([3, 10_001]);
        const floats = Array.from({ length: 5000 }, () => random.getFloat());
        expect(floats.every(value => value >= 0 && value < 1)).toEqual(true);
        const mean = floats.reduce((sum, value) => sum + value, 0) / floats.length;
        expect(mean > 0.45 && mean < 0.55).toEqual(true);
    });
});
