import { expect } from "earl";
import { describe, it } from "node:test";
import { DescriptorBudget } from "./descriptor-budget.js";

function sumShares(budget: DescriptorBudget): number {
    return Object.values<number>({ ...budget.shares }).reduce((sum, share) => sum + share, 0);
}

describe("DescriptorBudget", () => {
    describe("shares", () => {
        // Guards against shares that together exceed the limit, so that one user can take the descriptors of another.
        it("sum up to at most the number of sockets that both limits allow", () => {
            for (const maxDescriptors of [300, 1_024, 4_100, 4_200, 8_192, 1_000_000]) {
                for (const processMaxDescriptors of [undefined, 256, 1_024, 20_000]) {
                    const budget = new DescriptorBudget({ maxDescriptors, processMaxDescriptors });
                    const allowed = Math.min(maxDescriptors - 200, (processMaxDescriptors ?? Infinity) - 32);
                    expect(budget.maxSockets).toEqual(allowed);
                    expect(sumShares(budget) <= allowed).toEqual(true);
                }
            }
        });

        // Guards against a host that serves nobody because its limit is unusually low.
        it("leave callers a few connections whatever the limits are", () => {
            expect(new DescriptorBudget({ maxDescriptors: 1 }).shares.callers).toEqual(8);
        });
    });

    describe("computeConnectionsPerExecutor", () => {
        // Guards against a large fleet that uses up the descriptors, and against a small one that is slowed down.
        it("gives each executor what it wants while the share allows it", () => {
            const budget = new DescriptorBudget({ maxDescriptors: 4_200 });
            expect(budget.computeConnectionsPerExecutor(48, 8)).toEqual(8);
            expect(budget.computeConnectionsPerExecutor(378, 8)).toEqual(5);
            expect(budget.computeConnectionsPerExecutor(100_000, 8)).toEqual(2);
        });
    });
});
