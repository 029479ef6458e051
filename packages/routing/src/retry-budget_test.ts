import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryBudget } from "./retry-budget.js";

describe("RetryBudget", () => {
    function countRetries(budget: RetryBudget, now: number): number {
        let count = 0;
        while (count < 1000 && budget.tryRetry(now)) {
            count++;
        }
        return count;
    }

    // Guards against a team with few requests that cannot retry at all, and against retries that double a team's load.
    it("allows 3 retries a second, or a tenth of the requests of the last 10 s if that is more", () => {
        const budget = new RetryBudget();
        expect(countRetries(budget, 0)).toEqual(3);
        expect(countRetries(budget, 1000)).toEqual(3);
        for (let request = 0; request < 200; request++) {
            budget.recordRequest(2000);
        }
        expect(countRetries(budget, 2000)).toEqual(14);
        expect(countRetries(budget, 3000)).toEqual(3);
        expect(countRetries(budget, 60_000)).toEqual(3);
    });
});
