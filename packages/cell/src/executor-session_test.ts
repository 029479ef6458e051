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

/**
 * An executor whose listing is answered late. Meanwhile it restarts, gets a start whose answer is lost, and falls silent
 * for all but the next listing.
 */
class LateListingExecutor extends StubbornExecutor {
    readonly acknowledgements: number[] = [];
    isLate = false;
    isSilent = false;

    override async start(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return Err(createFailure(executorFailures.unansweredNew, "the connection was reset", "mayHaveRun"));
    }

    override async renew(renewal: LeaseRenewal): Promise<Result<ExecutorListing, Failure>> {
        this.acknowledgements.push(renewal.acknowledged);
        const listing = await super.renew(renewal);
        if (this.isSilent) {
            return Err(createFailure(executorFailures.unanswered, "no answer", "mayHaveRun"));
        }
        if (this.isLate) {
            await this.lateClock.wait(400);
            this.isSilent = true;
        }
        return listing.ok
            ? Ok({
                ...listing.val,
                running: [],
                ended: [{ sequence: 1, task: toId<TaskKey>("b.0.0.0"), run: 1, outcome: "done", checkpoint: "" }],
            })
            : listing;
    }

    constructor(private readonly lateClock: ManualClock) {
        super(lateClock);
    }
}

/** An executor that answers stops, loses the answers to starts, and restarts when `life` grows. */
class RestartingExecutor extends StubbornExecutor {
    life = 1;
    isListing = true;

    override async start(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        return Err(createFailure(executorFailures.unansweredNew, "no answer", "mayHaveRun"));
    }

    override async renew(renewal: LeaseRenewal): Promise<Result<ExecutorListing, Failure>> {
        const listing = await super.renew(renewal);
        return !this.isListing
            ? Err(createFailure(executorFailures.unanswered, "no answer", "mayHaveRun"))
            : listing.ok
            ? Ok({ ...listing.val, startedAtWallMs: this.life })
            : listing;
    }
}

/** An executor that answers stops at once and starts late, at the end of `startMs`. */
class SlowStartExecutor extends RestartingExecutor {
    static readonly startMs = 650;

    constructor(private readonly slowClock: ManualClock) {
        super(slowClock);
    }

    override async start(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        await this.slowClock.wait(SlowStartExecutor.startMs);
        return Ok({ clockMs: this.slowClock.getNow() });
    }
}

/** An executor that confirms starts at once, and lists what it ran when the renewal arrived, after `listingMs`. */
class SnapshotExecutor extends RestartingExecutor {
    static readonly listingMs = 400;

    constructor(private readonly snapshotClock: ManualClock) {
        super(snapshotClock);
        this.isRunning = false;
    }

    override async start(): Promise<Result<{ readonly clockMs: number; }, Failure>> {
        await this.snapshotClock.wait(10);
        this.isRunning = true;
        return Ok({ clockMs: this.snapshotClock.getNow() });
    }

    override async renew(): Promise<Result<ExecutorListing, Failure>> {
        const { isRunning, life } = this;
        await this.snapshotClock.wait(SnapshotExecutor.listingMs);
        const running = isRunning ? [{ task, run: 1, checkpoint: "", percent: 0 }] : [];
        return Ok({
            clockMs: this.snapshotClock.getNow(),
            startedAtWallMs: life,
            running,
            ended: [],
            hasAllEnds: true,
        });
    }
}

class SessionFixture<Executor extends StubbornExecutor = StubbornExecutor> {
    readonly clock = new ManualClock(1_000);
    readonly lost: number[] = [];
    readonly executor: Executor;
    readonly ends: string[] = [];
    /** For each answer, whether it came from a life that had answered while the lease was valid. */
    readonly answersFromKnownLife: boolean[] = [];
    /** Whether the runs are listed several times a second. */
    isListedOften = false;
    /** Whether runs that the session does not track may go on. */
    mayContinue = true;
    readonly authority = { canOrder: true, isLeaseValid: true, earlierOrdersEndAt: 0 };
    readonly session: ExecutorSession;

    constructor(createExecutor: (clock: ManualClock) => Executor) {
        this.executor = createExecutor(this.clock);
        this.session = new ExecutorSession({
            executor: toId<ExecutorId>("e0"),
            client: this.executor,
            clock: this.clock,
            logger: { write: () => undefined },
            supervisor: createStrictSupervisor(this.clock),
            listener: {
                onReachable: () => undefined,
                onUnreachable: () => undefined,
                onRunsLost: () => this.lost.push(this.clock.getNow()),
                onStarted: () => undefined,
                onRunning: () => undefined,
                onEnded: ({ outcome }, _source, acknowledge) => {
                    this.ends.push(outcome);
                    acknowledge?.({});
                },
                onUntrackedRun: () => this.mayContinue,
                onCrash: () => undefined,
                onFenced: () => undefined,
            },
            fencingToken: 1,
            maxLeaseMs: 4_500,
            stopMs,
            longestLeaseMs: 6_000,
            authority: this.authority,
            needsFrequentListings: () => this.isListedOften,
            onAnswered: (_, { isFromKnownLife }) => this.answersFromKnownLife.push(isFromKnownLife),
        });
    }

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
            const fixture = new SessionFixture(clock => new StubbornExecutor(clock));
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
            const fixture = new SessionFixture(clock => new StubbornExecutor(clock));
            fixture.executor.stopFailure = createFailure(executorFailures.fenced, "an older token", "notRun");
            await fixture.startAndStopRun();
            fixture.executor.stopFailure = undefined;
            fixture.session.setFencingToken(2);
            await fixture.clock.advance(2_000);
            expect(fixture.executor.stopTimes.length).toBeGreaterThan(1);
            fixture.session.close();
        });
    });

    describe("a listing that was requested before a call which a restarted executor may have got", () => {
        const prepare = async () => {
            const fixture = new SessionFixture(clock => new LateListingExecutor(clock));
            fixture.session.start();
            await fixture.clock.advance(2_000);
            fixture.executor.isLate = true;
            fixture.session.startRun({
                executor: toId<ExecutorId>("e0"),
                task,
                run: 1,
                payload: "",
                checkpoint: "",
                ticket: undefined,
                isProbe: false,
            } as never);
            await fixture.clock.advance(10);
            return { fixture, startedAt: fixture.clock.getNow(), before: fixture.executor.acknowledgements.length };
        };

        it("does not let the next renewal acknowledge ends by the numbers of the earlier life", async () => {
            // Guards against an end of the new life that is forgotten unread, so that its task is lost or runs twice.
            const { fixture, before } = await prepare();
            while (fixture.executor.acknowledgements.length === before) {
                await fixture.clock.advance(10);
            }
            expect(fixture.executor.acknowledgements[before]).toEqual(0);
            fixture.session.close();
        });

        it("does not withdraw the wait for the longest lease of the new life", async () => {
            // Guards against tasks that start elsewhere while a restarted executor still runs them.
            const { fixture, startedAt } = await prepare();
            while (fixture.lost.length === 0) {
                await fixture.clock.advance(10);
            }
            expect(fixture.lost[0]! - startedAt).toBeGreaterThan(6_000);
            fixture.session.close();
        });
    });

    describe("a start that is on its way when an earlier life of its executor has answered its stop", () => {
        for (const beforeAnswerMs of [400, 50, 5]) {
            it(`does not count as ended, and is stopped in the new life too (${beforeAnswerMs} ms before its answer)`, async () => {
                // Guards against a run that goes on in the new life while its task runs elsewhere.
                const fixture = new SessionFixture(clock => new SlowStartExecutor(clock));
                const { clock, executor, session } = fixture;
                fixture.isListedOften = true;
                fixture.mayContinue = false;
                executor.isRunning = false;
                session.start();
                await clock.advance(2_000);
                session.startRun({ task, run: 1, payload: "", checkpoint: "", isProbe: false } as never);
                await clock.advance(10);
                session.startStop(task, 1);
                await clock.advance(SlowStartExecutor.startMs - 10 - beforeAnswerMs);
                expect([executor.stopTimes.length, fixture.ends]).toEqual([1, []]);
                executor.life = 2;
                executor.isRunning = true;
                await clock.advance(2 * stopMs);
                expect(fixture.ends.includes("notStarted")).toEqual(false);
                expect(executor.stopTimes.length).toBeGreaterThan(1);
                session.close();
            });
        }
    });

    describe("an executor that restarts while its owner has no valid lease", () => {
        it("gets no work until the owner has a valid lease again", async () => {
            // Guards against two owners that start tasks there: the executor has forgotten the token of a successor.
            const fixture = new SessionFixture(clock => new RestartingExecutor(clock));
            const { authority, clock, executor, session } = fixture;
            executor.isRunning = false;
            session.start();
            await clock.advance(3_000);
            authority.isLeaseValid = false;
            await clock.advance(3_000);
            expect(session.isReachable).toEqual(true);
            executor.life = 2;
            await clock.advance(6_000);
            expect(session.isReachable).toEqual(false);
            authority.isLeaseValid = true;
            await clock.advance(3_000);
            expect(session.isReachable).toEqual(true);
            session.close();
        });
    });

    describe("the answers of an executor to an owner without a valid lease", () => {
        it("come from a known life until the executor restarts, and then only with a valid lease", async () => {
            // Guards against an owner that counts on an executor which has forgotten the token of a successor.
            const fixture = new SessionFixture(clock => new RestartingExecutor(clock));
            const { answersFromKnownLife, authority, clock, executor, session } = fixture;
            session.start();
            await clock.advance(2_000);
            authority.isLeaseValid = false;
            await clock.advance(2_000);
            expect(answersFromKnownLife.every(Boolean)).toEqual(true);
            executor.life = 2;
            await clock.advance(2_500);
            expect(answersFromKnownLife.at(-1)).toEqual(false);
            authority.isLeaseValid = true;
            await clock.advance(2_500);
            expect(answersFromKnownLife.at(-1)).toEqual(true);
            session.close();
        });

        it("are asked for at once if the last one is not recent", async () => {
            // Guards against an owner that stops in an outage because a renewal waits for longer than answers count.
            const fixture = new SessionFixture(clock => new StubbornExecutor(clock));
            const { answersFromKnownLife, clock, session } = fixture;
            session.start();
            // Renewals are answered after 1 s; the last one has just been.
            await clock.advance(3_100);
            const answers = answersFromKnownLife.length;
            await clock.advance(300);
            void session.confirmAuthority();
            void session.confirmAuthority();
            await clock.advance(30);
            expect(answersFromKnownLife.length).toEqual(answers + 1);
            session.close();
        });
    });

    describe("a run that the new life of its executor has begun before a listing has shown the restart", () => {
        for (const isLeaseValid of [true, false]) {
            for (const isInFirstListing of [true, false]) {
                const name = `${isInFirstListing ? "" : "not "}in the first listing, the lease ${
                    isLeaseValid ? "" : "not "
                }valid`;
                it(`does not count as lost (${name})`, async () => {
                    // Guards against a task that starts elsewhere while the new life of its executor runs it, and against
                    // a sound task that is given up for crashes.
                    const fixture = new SessionFixture(clock => new SnapshotExecutor(clock));
                    const { authority, clock, executor, session } = fixture;
                    const { listingMs } = SnapshotExecutor;
                    session.start();
                    await clock.advance(5 * listingMs + 10);
                    executor.life = 2;
                    authority.isLeaseValid = isLeaseValid;
                    // Renewals follow each other, and the next one arrives 10 ms before a whole multiple of their time.
                    await clock.advance(isInFirstListing ? listingMs - 50 : listingMs + 20);
                    session.startRun({ task, run: 1, payload: "", checkpoint: "", isProbe: false } as never);
                    await clock.advance(3 * listingMs);
                    authority.isLeaseValid = true;
                    session.reportConfirmedLosses();
                    await clock.advance(3 * listingMs);
                    expect(fixture.ends).toEqual([]);
                    expect(executor.stopTimes).toEqual([]);
                    session.close();
                });
            }
        }
    });

    describe("a start without an answer whose stop the earlier life of its executor has answered", () => {
        it("is stopped in the new life too before its run counts as ended", async () => {
            // Guards against a start that reaches the new life late, while its task already runs elsewhere.
            const fixture = new SessionFixture(clock => new RestartingExecutor(clock));
            const { clock, executor, session } = fixture;
            executor.isRunning = false;
            session.start();
            await clock.advance(2_000);
            executor.isListing = false;
            session.startRun({ task, run: 1, payload: "", checkpoint: "", isProbe: false } as never);
            await clock.advance(10);
            session.startStop(task, 1);
            await clock.advance(10);
            expect([executor.stopTimes.length, fixture.ends]).toEqual([1, []]);
            executor.life = 2;
            executor.isListing = true;
            await clock.advance(3_000);
            expect(fixture.ends.length).toEqual(1);
            expect(executor.stopTimes.length).toBeGreaterThan(1);
            session.close();
        });
    });

    describe("an executor that falls silent around the change of the owner", () => {
        // Guards against tasks that start elsewhere while it runs them: it may have restarted just before, taken a lease
        // end of its earlier clock from the earlier owner, and granted its longest lease.
        const cases = [["before it is reached", 0], ["after its first listing", 60]] as const;
        for (const [name, reachedMs] of cases) {
            it(`keeps its runs for the longest lease after the earlier owner's last order (${name})`, async () => {
                const fixture = new SessionFixture(clock => new RestartingExecutor(clock));
                const { authority, clock, executor, session } = fixture;
                authority.earlierOrdersEndAt = clock.getNow();
                executor.isListing = reachedMs > 0;
                session.start();
                await clock.advance(reachedMs);
                executor.isListing = false;
                while (fixture.lost.length === 0) {
                    await clock.advance(10);
                }
                expect(fixture.lost[0]! - authority.earlierOrdersEndAt).toBeGreaterThan(6_000 / 0.98);
                session.close();
            });
        }
    });
});
