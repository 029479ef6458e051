import type { ExecutorId, QueueId, ZoneId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, noLimit, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { PoolId } from "./types.js";

const queue = toId<QueueId>("removed");
const oldPool = toId<PoolId>("old");
const newPool = toId<PoolId>("new");

/** One executor in each of the two pools, whose ids are the names of the pools. */
function createFixture(): SchedulerFixture {
    const fixture = new SchedulerFixture(0, [], noLimit);
    for (const pool of [oldPool, newPool]) {
        fixture.scheduler.updateExecutor({
            executor: toId<ExecutorId>(pool),
            pool,
            zone: toId<ZoneId>("zone"),
            rack: undefined,
            labels: [],
            capacity: { ...toCores(16), memoryMb: 32_000 },
            state: "ready",
        });
    }
    return fixture;
}

function addJob(fixture: SchedulerFixture, job: string, pool: PoolId, queueRulesVersion?: number): void {
    const spec = { payload: job, steps: [createStep()] };
    fixture.addJob(job, { queue, spec, queueRules: createQueue(queue, { pool }), queueRulesVersion });
}

function startOn(fixture: SchedulerFixture): string[] {
    return fixture.startTasks().map(start => `${start.task.split(".")[0]} on ${start.executor}`).sort();
}

describe("a queue that was removed while jobs of it are open", () => {
    it("uses the pool that it had last, when the next owner knows it from its jobs only", () => {
        // Guards against executors that are used again after a takeover though the queue had left them.
        const fixture = createFixture();
        addJob(fixture, "a", oldPool, 3);
        addJob(fixture, "b", newPool, 5);
        expect(startOn(fixture)).toEqual(["a on new", "b on new"]);
    });

    it("starts jobs that waited for its rules once a later job has brought them", () => {
        // Guards against a step that is never evaluated again, because no executor has gained room since.
        const fixture = createFixture();
        fixture.addJob("a", { queue, spec: { payload: "a", steps: [createStep()] } });
        expect(startOn(fixture)).toEqual([]);
        addJob(fixture, "b", newPool, 3);
        expect(startOn(fixture)).toEqual(["a on new", "b on new"]);
    });

    it("starts jobs that waited for the advisor once later rules have none", () => {
        const fixture = createFixture();
        const advice = { callMs: 20, perExecutorMs: 1, validMs: 2_000 };
        const spec = { payload: "", steps: [createStep()] };
        const advised = createQueue(queue, { pool: newPool, advice });
        fixture.addJob("a", { queue, spec, queueRules: advised, queueRulesVersion: 3 });
        expect(startOn(fixture)).toEqual([]);
        addJob(fixture, "b", newPool, 5);
        expect(startOn(fixture)).toEqual(["a on new", "b on new"]);
    });

    it("does not return to rules with which a host that is behind accepts a job", () => {
        const fixture = createFixture();
        addJob(fixture, "a", newPool, 5);
        addJob(fixture, "b", oldPool, 3);
        expect(startOn(fixture)).toEqual(["a on new", "b on new"]);
    });

    it("takes the later of two jobs that earlier versions stored without the version of their rules", () => {
        const fixture = createFixture();
        addJob(fixture, "a", oldPool);
        addJob(fixture, "b", newPool);
        expect(startOn(fixture)).toEqual(["a on new", "b on new"]);
    });

    it("keeps the rules with which this owner has known it", () => {
        const fixture = createFixture();
        fixture.scheduler.applyRules({ queues: [createQueue(queue, { pool: newPool })], teams: [] });
        fixture.scheduler.applyRules({ queues: [], teams: [] });
        addJob(fixture, "a", oldPool, 9);
        expect(startOn(fixture)).toEqual(["a on new"]);
    });
});
