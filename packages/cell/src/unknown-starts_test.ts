/**
 * Checks for how long a start without an answer, and a takeover, keep a task and its room. The bounds are those of
 * docs/platform.md, "How long an unknown start keeps its task".
 */
import type { ExecutorId, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, ManualClock, Ok, toId } from "@waxwingroute/core";
import type { TaskKey } from "@waxwingroute/workflow";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecutorSession } from "./executor-session.js";
import { clockRateBound } from "./store-keys.js";
import type { ExecutorListing, LeaseRenewal } from "./task-executor.js";
import { executorFailures, TaskExecutor } from "./task-executor.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

const task = toId<TaskKey>("a.0.0.0");
const holdMaxMs = 6_000;
const orderTimeoutMs = 700;
/** Longest renewal: an idle wait, and the margin for its answer. */
const renewalMs = 2_000 + 700;
const roundTripMs = 20;

type Answer = "all" | "noStart" | "none";

/** An executor that loses answers, each of them after the time-out of its call, and never carries out a start. */
class LossyExecutor extends TaskExecutor {
    answers: Answer = "all";

    constructor(private readonly clock: ManualClock) {
        super();
    }

    override start(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.answerOrder(this.answers === "all");
    }

    override stop(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.answerOrder(this.answers !== "none");
    }

    override throttle(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return this.answerOrder(this.answers !== "none");
    }

    override async renew({ waitMs = 0 }: LeaseRenewal, timeoutMs: number): Promise<Result<ExecutorListing, Failure>> {
        await this.clock.wait(Math.max(roundTripMs, waitMs));
        if (this.answers === "none") {
            await this.clock.wait(timeoutMs - Math.max(roundTripMs, waitMs));
            return this.createFailure();
        }
        return Ok({ clockMs: this.readClock(), startedAtWallMs: 1, running: [], ended: [], hasAllEnds: true });
    }

    override close(): void {
        // There is no connection to close.
    }

    private async answerOrder(isAnswered: boolean): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        await this.clock.wait(isAnswered ? roundTripMs : orderTimeoutMs);
        return isAnswered ? Ok({ clockMs: this.readClock() }) : this.createFailure();
    }

    /** The slowest clock that an executor may have. */
    private readClock(): number {
        return this.clock.getNow() * (1 - clockRateBound);
    }

    private createFailure(): Result<never, Failure> {
        return Err(createFailure(executorFailures.unansweredNew, "no answer", "mayHaveRun"));
    }
}

class UnknownStartFixture {
    readonly clock = new ManualClock(1_000);
    readonly executor = new LossyExecutor(this.clock);
    readonly authority = { canOrder: true, isLeaseValid: true, earlierOrdersEndAt: 0 };
    /** Time at which the task may start again, and the executor holds nothing; `undefined`: not yet. */
    releasedAt: number | undefined;
    readonly session: ExecutorSession;

    constructor() {
        const release = () => {
            this.releasedAt ??= this.clock.getNow();
        };
        this.session = new ExecutorSession({
            executor: toId<ExecutorId>("e0"),
            client: this.executor,
            clock: this.clock,
            logger: { write: () => undefined },
            supervisor: createStrictSupervisor(this.clock),
            listener: {
                onReachable: () => undefined,
                onUnreachable: () => undefined,
                onRunsLost: release,
                onStarted: () => undefined,
                onRunning: () => undefined,
                onEnded: release,
                onUntrackedRun: () => true,
                onFenced: () => undefined,
                onCrash: () => undefined,
            },
            fencingToken: 1,
            maxLeaseMs: 4_500,
            stopMs: 900,
            longestLeaseMs: holdMaxMs,
            authority: this.authority,
            needsFrequentListings: () => false,
        });
    }

    startRun(): void {
        this.session.startRun({ task, run: 1, payload: "", checkpoint: "", isProbe: false } as never);
    }

    /** Advances until the task is released; returns the time that it took. */
    async measureRelease(maxMs: number): Promise<number> {
        const from = this.clock.getNow();
        while (this.releasedAt === undefined && this.clock.getNow() - from < maxMs) {
            await this.clock.advance(10);
        }
        this.session.close();
        return (this.releasedAt ?? Infinity) - from;
    }
}

describe("a start whose outcome is not known", () => {
    const heldMs = orderTimeoutMs + renewalMs;
    const leaseMs = holdMaxMs * (1 + 2 * clockRateBound);

    for (const offsetMs of [0, 10, 700, 1_300, 1_990]) {
        it(`keeps its task until its stop is answered, by an executor that answers (${offsetMs} ms into a renewal)`, async () => {
            // Guards against a task that waits for a lease to end although its executor can say that it does not run.
            const fixture = new UnknownStartFixture();
            fixture.session.start();
            await fixture.clock.advance(5_000 + offsetMs);
            fixture.executor.answers = "noStart";
            fixture.startRun();
            expect(await fixture.measureRelease(20_000) <= heldMs + 4 * roundTripMs).toEqual(true);
        });

        it(`keeps its task until all leases have ended, by an executor that falls silent (${offsetMs} ms into a renewal)`, async () => {
            // Guards against leases that are extended without end, or counted from the last call that failed.
            const fixture = new UnknownStartFixture();
            fixture.session.start();
            await fixture.clock.advance(5_000 + offsetMs);
            fixture.executor.answers = "none";
            fixture.startRun();
            const pollMs = 250 + orderTimeoutMs;
            expect(await fixture.measureRelease(30_000) <= heldMs + leaseMs + 250 + pollMs).toEqual(true);
        });
    }

    for (const offsetMs of [0, 330, 660, 990]) {
        it(`frees its task as soon as all leases have ended, also within a renewal (${offsetMs} ms into one)`, async () => {
            // Guards against a wait that is longer by the time-out of the renewal that is on its way when the leases end.
            const fixture = new UnknownStartFixture();
            fixture.executor.answers = "none";
            fixture.authority.earlierOrdersEndAt = fixture.clock.getNow() + offsetMs;
            fixture.session.start();
            expect(await fixture.measureRelease(30_000) <= offsetMs + leaseMs + 250 + 60).toEqual(true);
        });
    }

    for (const earlierOrdersEndInMs of [0, 3_000]) {
        it(`keeps its task after a takeover until the leases of earlier owners have ended (orders end in ${earlierOrdersEndInMs} ms)`, async () => {
            // Guards against a task that is held back for as long as its executor stays away.
            const fixture = new UnknownStartFixture();
            fixture.executor.answers = "none";
            fixture.authority.earlierOrdersEndAt = fixture.clock.getNow() + earlierOrdersEndInMs;
            fixture.session.start();
            const pollMs = 250 + orderTimeoutMs;
            const maxMs = earlierOrdersEndInMs + leaseMs + 250 + pollMs;
            expect(await fixture.measureRelease(30_000) <= maxMs).toEqual(true);
        });
    }
});
