/**
 * Plays random events against a scheduler and checks after each tick that no step was left out for which there was room.
 */
import { SeededRandom } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { RunOutcome, StartDecision } from "./types.js";

const executorCount = 2;
const outcomes: readonly RunOutcome[] = ["done", "done", "done", "failed", "notStarted", "ticketRefused", "lost"];
const advice = { callMs: 20, perExecutorMs: 1, validMs: 2_000 };

class RandomPlay {
    private readonly random: SeededRandom;
    private readonly fixture = new SchedulerFixture(executorCount, [
        createQueue("plain", { maxAttempts: 50 }),
        createQueue("urgent", { priority: 0, maxAttempts: 50 }),
        createQueue("advised", { advice, maxAttempts: 50 }),
    ]);
    private readonly running: StartDecision[] = [];
    private jobCount = 0;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
    }

    /** Returns the reasons that were seen. */
    run(): Set<string> {
        const reasons = new Set<string>();
        for (let round = 0; round < 400; round++) {
            this.fixture.now += 50 + Math.floor(this.random.getFloat() * 150);
            this.playEvent();
            this.running.push(...this.fixture.startTasks());
            const { counts } = this.fixture.scheduler.sampleWaitingSteps(this.fixture.now);
            [...counts.keys()].forEach(reason => reasons.add(reason));
        }
        return reasons;
    }

    private playEvent(): void {
        const kind = this.choose(["submit", "submit", "submit", "end", "end", "end", "end", "advice", "executor"]);
        if (kind === "submit") {
            this.submit();
        }
        else if (kind === "end" && this.running.length > 0) {
            const [run] = this.running.splice(Math.floor(this.random.getFloat() * this.running.length), 1);
            this.fixture.endRun(run!, this.choose(outcomes));
        }
        else if (kind === "advice") {
            this.fixture.grantAdvice(() => this.random.getFloat() < 0.6);
        }
        else if (kind === "executor") {
            const index = Math.floor(this.random.getFloat() * executorCount);
            this.fixture.putExecutor(index, this.choose(["ready", "ready", "ready", "leaving", "unreachable"]), [
                "label",
            ]);
        }
    }

    private submit(): void {
        const taskCount = this.choose([1, 2, 6]);
        const step = createStep({
            taskCount,
            isGang: this.random.getFloat() < 0.3,
            resources: toCores(this.choose([1, 3, 7])),
            estimateMs: this.choose([500, 5_000]),
            ...(this.random.getFloat() < 0.2 ? { maxPerExecutor: 1 } : {}),
            ...(this.random.getFloat() < 0.2 ? { requiredLabel: "label" } : {}),
            prefersOneRack: this.random.getFloat() < 0.2,
        });
        this.fixture.submit(`j${this.jobCount++}`, [step], this.choose(["plain", "urgent", "advised"]));
    }

    private choose<T>(values: readonly T[]): T {
        return values[Math.floor(this.random.getFloat() * values.length)]!;
    }
}

describe("a step for which there is room", () => {
    it("is placed by the next tick, whatever happened before", () => {
        // Guards against a bound of the free slots that is too low, so that a step is not evaluated again.
        const reasons = new Set<string>();
        for (let seed = 1; seed <= 15; seed++) {
            [...new RandomPlay(seed).run()].forEach(reason => reasons.add(reason));
        }
        expect(["missedRoom", "tickDue", "noRoom", "ticketExpired"].filter(reason => reasons.has(reason)))
            .toEqual(["noRoom", "ticketExpired"]);
    });
});
