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
    }
});
