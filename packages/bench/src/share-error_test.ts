import { expect } from "earl";
import { describe, it } from "node:test";
import { computeTargets } from "./share-error.js";

describe("computeTargets", () => {
    // Guards against a wrong target, which would make every share error meaningless: the known example of 9 processors
    // and 18 GB gives both users two thirds.
    it("divides one host by dominant shares", () => {
        const capacity = { cpuMillis: 9000, memoryMb: 18_000, accelerators: 0 };
        const first = { weight: 1, size: { cpuMillis: 1000, memoryMb: 4000, accelerators: 0 } };
        const second = { weight: 1, size: { cpuMillis: 3000, memoryMb: 1000, accelerators: 0 } };
        const rounded = computeTargets([first, second], capacity).map(share => Math.round(share * 1000) / 1000);
        expect(rounded).toEqual([0.667, 0.667]);
    });

    it("lets a team that needs no full resource grow beyond the others", () => {
        const capacity = { cpuMillis: 10_000, memoryMb: 10_000, accelerators: 10 };
        const plain = { weight: 1, size: { cpuMillis: 1000, memoryMb: 0, accelerators: 0 } };
        const other = { weight: 1, size: { cpuMillis: 0, memoryMb: 1000, accelerators: 0 } };
        const rounded = computeTargets([plain, plain, other], capacity).map(share => Math.round(share * 100) / 100);
        expect(rounded).toEqual([0.5, 0.5, 1]);
    });
});
