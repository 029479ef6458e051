import { Ok, SystemClock, SystemRandom, toId, toShardId } from "@waxwingroute/core";
import type { ExecutorId, QueueId, TeamId, ZoneId } from "@waxwingroute/core";
import { Executor } from "@waxwingroute/platform";
import type { ExecutorRequest } from "@waxwingroute/platform";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RequestRouter } from "./request-router.js";
import type { RouterRequest } from "./types.js";

class InstantExecutor extends Executor {
    constructor(private readonly executor: ExecutorId) {
        super();
    }

    async execute({ attempt, contentType, body }: ExecutorRequest) {
        return Ok({ attempt, status: 200, contentType, body });
    }

    async list() {
        return Ok({ executor: this.executor, slots: 8, isDraining: false, running: [] });
    }
}

const body = Buffer.alloc(200);
const teams = Array.from({ length: 6 }, (_, index) => toId<TeamId>(`team-${index}`));
const queue = toId<QueueId>("orders");

class CostFixture {
    readonly clock = new SystemClock();
    canSend = true;
    readonly router = new RequestRouter({
        clock: this.clock,
        random: new SystemRandom(),
        shard: toShardId(toId<ZoneId>("glasgow"), 0),
        epoch: 1,
        canSend: () => this.canSend,
    });

    constructor(executors: number) {
        teams.forEach(team => this.router.updateTeam({ team, weight: 1, slots: 300 }));
        for (let index = 0; index < executors; index++) {
            const executor = toId<ExecutorId>(`executor-${index}`);
            const access = new InstantExecutor(executor);
            this.router.updateExecutor({ executor, access, slots: 8, connections: 64, queues: [], isDraining: false });
            this.router.adoptAttempts(executor, []);
        }
    }

    createRequest(index: number): RouterRequest {
        const deadline = this.clock.getNow() + 5000;
        return { team: teams[index % 6]!, queue, isIdempotent: false, deadline, body, contentType: "text/plain" };
    }

    /** Executes batches of requests and returns the microseconds per request of the fastest of 5 rounds. */
    async measure(batches: number, batchSize: number): Promise<number> {
        let best = Infinity;
        for (let round = 0; round < 5; round++) {
            const startedAt = performance.now();
            for (let batch = 0; batch < batches; batch++) {
                this.router.tick(this.clock.getNow());
                // The test runner hooks promises: one more for each request would cost as much as a refusal.
                for (let index = 0; index < batchSize; index++) {
                    void this.router.execute(this.createRequest(index));
                }
                // With instant executors, all promises of a batch settle before the next turn of the event loop.
                await new Promise(resolve => setImmediate(resolve));
            }
            best = Math.min(best, (performance.now() - startedAt) * 1000 / (batches * batchSize));
        }
        return best;
    }
}

async function measureServed(executors: number): Promise<number> {
    const fixture = new CostFixture(executors);
    const cost = await fixture.measure(100, 100);
    const { answered, requests } = fixture.router.getCounters();
    expect(answered).toEqual(requests);
    return cost;
}

async function measureRefused(executors: number): Promise<number> {
    const fixture = new CostFixture(executors);
    await fixture.measure(10, 100);
    fixture.canSend = false;
    for (let index = 0; index < 6000; index++) {
        void fixture.router.execute(fixture.createRequest(index));
    }
    const earlier = fixture.router.getCounters();
    const cost = await fixture.measure(500, 100);
    const { refused, requests } = fixture.router.getCounters();
    expect(refused - earlier.refused).toEqual(requests - earlier.requests);
    await fixture.router.stop(0);
    return cost;
}

describe("RequestRouter CPU cost per request", () => {
    // Guards against refusals that take so much CPU time that an overloaded owner cannot serve the accepted requests.
    it("refuses a request for less than a tenth of what a served one costs", async t => {
        const served = await measureServed(33);
        const refused = await measureRefused(33);
        t.diagnostic(
            `result: served ${served.toFixed(2)} us, refused ${refused.toFixed(2)} us, ratio ${
                (refused / served).toFixed(3)
            }`,
        );
        expect(refused < served / 10).toEqual(true);
    });

    // Guards against a scan of all executors for each request.
    it("serves a request at a cost that does not grow with the number of executors", async t => {
        const small = await measureServed(33);
        const large = await measureServed(33 * 16);
        t.diagnostic(`result: served ${small.toFixed(2)} us with 33 executors, ${large.toFixed(2)} us with 528`);
        expect(large < 2 * small).toEqual(true);
    });
});
