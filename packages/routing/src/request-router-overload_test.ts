import { SeededRandom } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { cutting, quotes, RouterFixture } from "./testing/router-fixture.js";

const serviceMs = 50;
const slots = 8;
const capacityPerSecond = slots * 1000 / serviceMs;

/** Offers `load` times the capacity for 20 s and returns the goodput: answers before their deadlines, per second. */
async function measureGoodput(load: number, isExponential: boolean): Promise<number> {
    const random = new SeededRandom(7);
    const fixture = new RouterFixture({ executors: 4, slots: slots / 4 });
    fixture.router.updateTeam({ team: cutting, weight: 1, slots });
    for (const executor of fixture.executors) {
        executor.chooseBehaviour = () => ({
            kind: "answer",
            durationMs: isExponential ? -Math.log(1 - random.getFloat()) * serviceMs : serviceMs,
        });
    }
    await fixture.run(20);
    let answersInTime = 0;
    let nextArrival = fixture.clock.getNow();
    const end = nextArrival + 20_000;
    while (fixture.clock.getNow() < end) {
        while (nextArrival <= fixture.clock.getNow()) {
            const request = fixture.createRequest("x", { team: random.pickOne([quotes, cutting])! }, 400);
            void fixture.router.execute(request).then(result => {
                answersInTime += result.ok && fixture.clock.getNow() <= request.deadline ? 1 : 0;
            });
            nextArrival += -Math.log(1 - random.getFloat()) * 1000 / (capacityPerSecond * load);
        }
        await fixture.run(10);
    }
    return answersInTime / 20;
}

describe("RequestRouter goodput under overload", () => {
    for (const isExponential of [false, true]) {
        // Guards against requests that occupy a slot and then miss their deadline, so that overload lowers the goodput.
        it(`keeps 90% of its peak at twice capacity, ${isExponential ? "exponential" : "equal"} run times`, async t => {
            const rates = [];
            for (const load of [0.8, 1, 1.2, 2, 4]) {
                rates.push(await measureGoodput(load, isExponential));
            }
            const peak = Math.max(...rates);
            t.diagnostic(
                `result: goodput/s at loads 0.8, 1, 1.2, 2, 4 of ${capacityPerSecond}/s: ${rates.join(", ")}`,
            );
            expect(rates[3]! > 0.9 * peak).toEqual(true);
        });
    }
});
