import { toId } from "@waxwingroute/core";
import type { TeamId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { FakeZone } from "./testing/fake-zone.js";

async function startZone(options: ConstructorParameters<typeof FakeZone>[0] = {}): Promise<FakeZone> {
    const zone = new FakeZone(options);
    zone.startAll();
    expect(await zone.awaitOwner(10_000)).not.toEqual(undefined);
    await zone.advance(3_000);
    return zone;
}

describe("ShardRunner", () => {
    describe("when nothing fails", () => {
        // Guards against lost tasks and against a second start of a task that has succeeded.
        it("runs each task of a batch job exactly once", async () => {
            const zone = await startZone();
            expect((await zone.submitJob("cut-lists", { taskCount: 20 })).ok).toEqual(true);
            await zone.advance(15_000);
            expect(zone.describeJob("cut-lists")?.state).toEqual("finished");
            expect(zone.describeJob("cut-lists")?.succeeded).toEqual(20);
            expect([...zone.countRuns("cut-lists").values()]).toEqual(Array.from({ length: 20 }, () => 1));
            expect(zone.listViolations()).toEqual([]);
        });

        // Guards against a gang of which only a part runs and holds its resources.
        it("starts all tasks of a gang together", async () => {
            const zone = await startZone();
            await zone.submitJob("wash-batch", { kind: "gang", taskCount: 6, command: "run 5s" });
            await zone.advance(3_000);
            const starts = zone.fleet.records.taskRuns.map(run => run.startedAt);
            expect(starts.length).toEqual(6);
            expect(Math.max(...starts) - Math.min(...starts) <= 100).toEqual(true);
        });

        // Guards against a service that finishes like a batch job when its tasks succeed.
        it("starts the tasks of a service again when they end and keeps the service running", async () => {
            const zone = await startZone();
            await zone.submitJob("dispatch", { kind: "service", taskCount: 2, command: "run 4s" });
            await zone.advance(20_000);
            expect(zone.fleet.records.taskRuns.length >= 6).toEqual(true);
            expect(zone.describeJob("dispatch")?.state).toEqual("running");
            expect(zone.listViolations()).toEqual([]);
        });
    });

    describe("when the owner dies", () => {
        // Guards against a new owner that starts running tasks a second time or forgets accepted ones.
        it("continues a repeatable job under a new owner, without a lost task or one in two places", async () => {
            const zone = await startZone();
            await zone.submitJob("route-plans", { taskCount: 30, command: "run 3s", safeToRepeat: true });
            await zone.advance(2_000);
            const first = zone.findOwner()!.host.name;
            zone.killHost(first);
            const gapMs = await zone.awaitOwner(10_000);
            expect(gapMs).not.toEqual(undefined);
            expect((gapMs ?? Infinity) <= 5_700).toEqual(true);
            await zone.advance(120_000);
            expect(zone.describeJob("route-plans")?.succeeded).toEqual(30);
            expect(zone.listViolations()).toEqual([]);
        });

        // Guards against a second run of a task that may have finished, when only the former owner could tell.
        it("runs tasks of a job not safe to repeat at most once and reports the rest as may have run", async () => {
            const zone = await startZone();
            await zone.submitJob("confirmations", { taskCount: 60, command: "run 500ms" });
            await zone.advance(1_250);
            zone.killHost(zone.findOwner()!.host.name);
            await zone.awaitOwner(10_000);
            await zone.advance(150_000);
            const counts = [...zone.countRuns("confirmations").values()];
            expect(Math.max(...counts)).toEqual(1);
            const status = zone.describeJob("confirmations")!;
            expect(status.succeeded + status.mayHaveRun).toEqual(60);
            expect(zone.listViolations()).toEqual([]);
        });
    });

    describe("when timers run a fraction of a millisecond early", () => {
        // Guards against a recovery whose completion is refused just before its wait is over and never requested again.
        it("still completes the recovery and begins to place", async () => {
            const zone = new FakeZone({ earlyMs: 0.5 });
            zone.startAll();
            expect(await zone.awaitOwner(10_000)).not.toEqual(undefined);
        });
    });

    describe("when the owner is paused until its right has expired", () => {
        // Guards against two owners: the paused one must notice that its right has expired before it sends anything.
        it("lets the successor place and does not place after it resumes", async () => {
            const zone = await startZone();
            await zone.submitJob("quotes", { taskCount: 100, command: "run 2s", safeToRepeat: true });
            await zone.advance(1_000);
            const paused = zone.findOwner()!.host;
            paused.gate.pause();
            await zone.advance(8_000);
            paused.gate.resume();
            await zone.advance(150_000);
            expect(zone.describeJob("quotes")?.succeeded).toEqual(100);
            expect(zone.listViolations()).toEqual([]);
        });
    });

    describe("when the store is down", () => {
        // Guards against an owner that stops accepted work in an outage, and against jobs accepted without a commit.
        it("goes on placing accepted work and refuses new jobs as not run", async () => {
            const zone = await startZone();
            await zone.submitJob("cut-lists", { taskCount: 200, command: "run 2s", safeToRepeat: true });
            await zone.advance(1_000);
            zone.fleet.store.faults.setDown(true);
            await zone.advance(30_000);
            const startsInOutage = zone.fleet.records.taskRuns.filter(run => run.startedAt > 1_000_000 + 20_000).length;
            expect(startsInOutage > 50).toEqual(true);
            const refused = await zone.submitJob("late", {});
            expect(refused.err && refused.val.verdict).toEqual("notRun");
            zone.fleet.store.faults.setDown(false);
            await zone.advance(60_000);
            expect(zone.describeJob("cut-lists")?.succeeded).toEqual(200);
            expect(zone.listViolations()).toEqual([]);
        });

        // Guards against a zone that places nothing more after its owner dies during an outage.
        it("takes over without the store when the owner dies and goes on placing", async () => {
            const zone = await startZone();
            await zone.submitJob("cut-lists", { taskCount: 200, command: "run 2s", safeToRepeat: true });
            await zone.advance(4_000);
            zone.fleet.store.faults.setDown(true);
            await zone.advance(6_000);
            zone.killHost(zone.findOwner()!.host.name);
            const gapMs = await zone.awaitOwner(20_000);
            expect(gapMs).not.toEqual(undefined);
            const takenOverAt = zone.clock.getNow();
            await zone.advance(70_000);
            expect(zone.fleet.records.taskRuns.filter(run => run.startedAt > takenOverAt).length > 10).toEqual(true);
            zone.fleet.store.faults.setDown(false);
            await zone.advance(120_000);
            expect(zone.describeJob("cut-lists")?.succeeded).toEqual(200);
            expect(zone.listViolations()).toEqual([]);
        });
    });

    describe("when a worker is lost", () => {
        // Guards against tasks that run in two places, because an unreachable worker may still run them.
        it("starts its tasks elsewhere only after their leases have run out", async () => {
            const zone = await startZone();
            await zone.submitJob("dispatch", { kind: "service", taskCount: 4, command: "run forever" });
            await zone.advance(2_000);
            const lost = zone.fleet.records.taskRuns[0]!.worker;
            zone.fleet.workers.get(lost)!.faults.setCut("north-1", true);
            zone.fleet.workers.get(lost)!.faults.setCut("north-2", true);
            await zone.advance(90_000);
            expect(zone.describeJob("dispatch")?.running).toEqual(4);
            expect(zone.listViolations()).toEqual([]);
        });
    });

    describe("with a team limit", () => {
        // Guards against starts beyond the grants of the team, for example while starts are in flight.
        it("uses the team's whole limit and never more", async () => {
            const limit = { cpuMillis: 6_000, memoryMb: 100_000, accelerators: 0, slots: 10 };
            const zone = await startZone({ limit });
            await zone.submitJob("quotes", { taskCount: 50, command: "run 2s" });
            await zone.advance(40_000);
            expect(zone.describeJob("quotes")?.succeeded).toEqual(50);
            expect(zone.computePeakCpu(toId<TeamId>("quotes"), 1_000)).toEqual(6_000);
        });
    });

    describe("when it executes requests", () => {
        // Guards against lost answers and against requests that run twice or overload an executor.
        it("answers each of several concurrent requests", async () => {
            const zone = await startZone();
            const requests = Array.from({ length: 20 }, (_, index) => zone.execute({ body: new Uint8Array([index]) }));
            const answers = await zone.awaitResult(Promise.all(requests));
            expect(answers.every(answer => answer.ok)).toEqual(true);
            expect(zone.listViolations()).toEqual([]);
        });

        // Guards against a second run after a takeover: the new owner does not know which keys the former owner ran.
        it("refuses a request key of a former owner as may have run", async () => {
            const zone = await startZone();
            const requestKey = zone.findOwner()!.owner.router.issueKey();
            expect((await zone.awaitResult(zone.execute({ requestKey }))).ok).toEqual(true);
            zone.killHost(zone.findOwner()!.host.name);
            await zone.awaitOwner(10_000);
            await zone.advance(2_000);
            const again = await zone.awaitResult(zone.execute({ requestKey }));
            expect(again.err && again.val.verdict).toEqual("mayHaveRun");
            expect(zone.listViolations()).toEqual([]);
        });
    });
});
