import type { JobId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createQueue, createStep, SchedulerFixture, toCores } from "./testing/scheduler-fixture.js";
import type { StartDecision } from "./types.js";

const tickMs = 20;

/** Two executors and a gang that needs both, beside urgent tasks that overlap, so that never both executors are idle. */
class GangFixture extends SchedulerFixture {
    private readonly running: { readonly start: StartDecision; readonly endsAt: number; }[] = [];
    private readonly beganAt = this.now;
    readonly startedAt = new Map<string, number>();

    constructor() {
        super(2, [createQueue("queue"), createQueue("urgent", { priority: 0 })]);
    }

    submitGang(job: string, taskCount: number): void {
        this.submit(job, [createStep({ taskCount, resources: toCores(16), isGang: true })]);
    }

    play(durationMs: number): void {
        const endsAt = this.now + durationMs;
        while (this.now < endsAt) {
            const elapsed = this.now - this.beganAt;
            if (elapsed % 400 === 0) {
                this.submit(`urgent${elapsed}`, [createStep({ estimateMs: 800 })], "urgent");
            }
            this.running.filter(run => run.endsAt <= this.now).forEach(run => {
                this.running.splice(this.running.indexOf(run), 1);
                this.endRun(run.start, "done");
            });
            for (const start of this.startTasks()) {
                this.startedAt.set(start.task.split(".")[0]!, this.now - this.beganAt);
                const isService = start.task.startsWith("service");
                this.running.push({ start, endsAt: isService ? Infinity : this.now + 800 });
            }
            this.now += tickMs;
        }
    }
}

describe("room that is kept for a gang", () => {
    it("lets it start after the bound, when the tasks on its executors have ended", () => {
        const fixture = new GangFixture();
        fixture.submitGang("gang", 2);
        fixture.play(6_000);
        const startedAt = fixture.startedAt.get("gang") ?? Infinity;
        expect(startedAt >= 2_000 && startedAt <= 2_000 + 800 + 2 * tickMs).toEqual(true);
    });

    it("is not withheld from a gang because an older one can never have enough", () => {
        // Guards against a gang for which too few executors exist, and which all others wait for.
        const fixture = new GangFixture();
        fixture.submitGang("large", 3);
        fixture.play(400);
        fixture.submitGang("gang", 2);
        fixture.play(6_000);
        expect(fixture.startedAt.has("gang")).toEqual(true);
        expect(fixture.startedAt.has("large")).toEqual(false);
    });

    it("is not kept on executors of services, which never end", () => {
        // Guards against executors that nothing uses, because a gang waits for room that cannot appear on them.
        const fixture = new GangFixture();
        fixture.submit("service", [createStep({ taskCount: 2, maxPerExecutor: 1, isLongRunning: true })]);
        fixture.play(20);
        fixture.submitGang("gang", 2);
        fixture.play(2_400);
        fixture.submit("other", [createStep({ estimateMs: 1_000 })]);
        fixture.play(100);
        expect(fixture.startedAt.has("other")).toEqual(true);
    });

    it("is used by others once the gang is cancelled", () => {
        const fixture = new GangFixture();
        fixture.submitGang("gang", 2);
        fixture.play(2_400);
        fixture.scheduler.cancelJob(toId<JobId>("gang"));
        fixture.submit("other", [createStep({ estimateMs: 20_000 })]);
        fixture.play(100);
        expect(fixture.startedAt.has("other")).toEqual(true);
    });
});
