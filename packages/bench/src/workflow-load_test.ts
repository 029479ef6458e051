import { expect } from "earl";
import { describe, it } from "node:test";
import { createOrderServiceLoad } from "./workflow-cost.js";
import type { KindResult, WorkflowLoadResult } from "./workflow-load.js";
import { orderServiceKinds, WorkflowLoad } from "./workflow-load.js";

const fleet = { executors: 95, hosts: 24, durationMs: 20_000 };

function run(factor: number): WorkflowLoadResult {
    const bursts = orderServiceKinds.map(({ name }) => ({ kind: name, fromMs: 4_000, toMs: 12_000, factor }));
    return new WorkflowLoad(createOrderServiceLoad(fleet, bursts, 1)).run();
}

function findKind(result: WorkflowLoadResult, name: string): KindResult {
    return result.kinds.find(kind => kind.name === name)!;
}

describe("the workflow scheduler under the load of an order service", () => {
    describe("with arrivals of 3.2 times the usual", () => {
        const result = run(3.2);

        // Guards against urgent jobs that wait behind long ones. A mean worth of 0.67 is asked for on heavy days.
        it("serves urgent jobs in time and earns the worth that is asked for", () => {
            const urgent = findKind(result, "order-confirm");
            expect(urgent.inTime / urgent.jobs >= 0.9).toEqual(true);
            expect(result.worthShare >= 0.67).toEqual(true);
        });

        // Guards against an owner that has no time left for its executors: each call costs it an exchange with a host.
        // On a fleet with room, a step needs one call; retries for room on a full fleet may double that.
        it("asks the advisor no more than twice for each step", () => {
            const steps = result.kinds.reduce(
                (total, kind) => total + kind.jobs * orderServiceKinds.find(({ name }) => name === kind.name)!.steps,
                0,
            );
            expect(result.adviceCalls <= 2 * steps).toEqual(true);
        });
    });
});
