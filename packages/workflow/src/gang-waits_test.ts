import { expect } from "earl";
import { describe, it } from "node:test";
import { GangWaitSimulation } from "./testing/gang-wait-simulation.js";

const loads = [
    { name: "short urgent tasks on 90 % of the fleet", options: { urgentShare: 0.9 } },
    { name: "short, long and urgent tasks", options: { urgentShare: 0.3, shortShare: 0.3, longShare: 0.3 } },
];

describe("a gang beside steady other work", () => {
    for (const { name, options } of loads) {
        it(`starts while the other work goes on: ${name}`, () => {
            // Guards against room that goes to other tasks as it appears, so that a gang never finds enough at once.
            const { gangs } = new GangWaitSimulation({ seed: 2, ...options }).run();
            expect(gangs.filter(({ hasStarted }) => !hasStarted)).toEqual([]);
        });

        for (const seed of [1, 2, 3, 4]) {
            it(`starts within the stated bound, and urgent tasks hardly wait longer: ${name} (seed ${seed})`, () => {
                // The bound of docs/platform.md, "How long a gang waits for room"; run times vary by a fifth.
                const longestRunMs = 1.2 * ("longShare" in options ? 6_000 : 800);
                const { gangs, others } = new GangWaitSimulation({ seed, ...options }).run();
                expect(gangs[0]!.waitMs <= 2_000 + longestRunMs + 600 + 400).toEqual(true);
                expect(others.urgent.meanMs <= 20 && others.urgent.maxMs <= 400).toEqual(true);
            });
        }

        it(`starts one after another: ${name}`, () => {
            const { gangs } = new GangWaitSimulation({ seed: 2, gangCount: 4, ...options }).run();
            expect(gangs.filter(({ hasStarted }) => !hasStarted)).toEqual([]);
        });
    }
});
