import type { ExecutorId, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, ManualClock, Ok, toId } from "@waxwingroute/core";
import type { TaskKey } from "@waxwingroute/workflow";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecutorSession } from "./executor-session.js";
import type { ExecutorListing, LeaseRenewal, StopOrder } from "./task-executor.js";
import { executorFailures, TaskExecutor } from "./task-executor.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

const task = toId<TaskKey>("a.0.0.0");
const stopMs = 900;

/** An executor on which one run goes on, however often it is stopped, until `isRunning` is cleared. */
class StubbornExecutor extends TaskExecutor {
    readonly stopTimes: number[] = [];
    isRunning = true;
    stopFailure: Failure | undefined;

    constructor(private readonly clock: ManualClock) {
        super();
    }

    override async start(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return Ok({ clockMs: this.clock.getNow() });
    }

    override async stop(_order: StopOrder): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        this.stopTimes.push(this.clock.getNow());
        return this.stopFailure === undefined ? Ok({ clockMs: this.clock.getNow() }) : Err(this.stopFailure);
    }

    override async throttle(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return Ok({ clockMs: this.clock.getNow() });
    }

    override async renew(renewal: LeaseRenewal): Promise<Result<ExecutorListing, Failure>> {
        await this.clock.wait(Math.max(20, renewal.waitMs ?? 0));
        const running = this.isRunning ? [{ task, run: 1, checkpoint: "", percent: 0 }] : [];
        return Ok({ clockMs: this.clock.getNow(), startedAtWallMs: 1, running, ended: [], hasAllEnds: true });
    }

    override close(): void {
        // There is no connection to close.
    }
}

class SessionFixture {
    readonly clock = new ManualClock(1_000);
    readonly executor = new StubbornExecutor(this.clock);
    readonly ends: string[] = [];
    readonly session = new ExecutorSession({
        executor: toId<ExecutorId>("e0"),
        client: this.executor,
        clock: this.clock,
        logger: { write: () => undefined },
        supervisor: createStrictSupervisor(this.clock),
        listener: {
            onReachable: () => undefined,
            onUnreachable: () => undefined,
            onRunsLost: () => undefined,
            onStarted: () => undefined,
            onRunning: () => undefined,
            onEnded: ({ outcome }) => this.ends.push(outcome),
            onUntrackedRun: () => true,
            onFenced: () => undefined,
        },
        fencingToken: 1,
        maxLeaseMs: 4_500,
        stopMs,
        longestLeaseMs: 6_000,
        authority: { canOrder: true, isLeaseValid: true, earlierOrdersEndAt: 0 },
        needsFrequentListings: () => false,
    });

    async startAndStopRun(): Promise<void> {
        this.session.start();
        await this.clock.advance(2_000);
        this.session.startStop(task, 1);
        await this.clock.advance(100);
    }
}

describe("ExecutorSession", () => {
    describe("a run that goes on after its stop", () => {
        it("is stopped again while it is listed later than it must have ended", async () => {
            // Guards against a run of a cancelled job that goes on because its stop was answered once.
            const fixture = new SessionFixture();
            await fixture.startAndStopRun();
            expect(fixture.executor.stopTimes.length).toEqual(1);
            await fixture.clock.advance(3 * stopMs);
            expect(fixture.executor.stopTimes.length).toBeGreaterThan(1);
            const gaps = fixture.executor.stopTimes.slice(1).map((time, index) =>
                time - fixture.executor.stopTimes[index]!
            );
            expect(gaps.every(gap => gap >= stopMs)).toEqual(true);
            fixture.executor.isRunning = false;
            await fixture.clock.advance(1_000);
            const { length } = fixture.executor.stopTimes;
            await fixture.clock.advance(5_000);
            expect(fixture.executor.stopTimes.length).toEqual(length);
            expect(fixture.ends).toEqual(["notStarted"]);
            fixture.session.close();
        });

        it("is stopped again if its stop was refused for an old fencing token", async () => {
            // Guards against a run that an owner no longer stops after it has acquired the cell again.
            const fixture = new SessionFixture();
            fixture.executor.stopFailure = createFailure(executorFailures.fenced, "an older token", "notRun");
            await fixture.startAndStopRun();
            fixture.executor.stopFailure = undefined;
            fixture.session.setFencingToken(2);
            await fixture.clock.advance(2_000);
            expect(fixture.executor.stopTimes.length).toBeGreaterThan(1);
            fixture.session.close();
        });
    });
});
