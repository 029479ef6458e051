import type { JobId, RackId, ResourceVector, TaskId, TeamId, WorkerId } from "@waxwingroute/core";
import { addResources, fitsWithin, SeededRandom, toId, zeroResources } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { PlacementEngine } from "./engine.js";
import type { Decision, EndOutcome, JobSubmission, PlacementOptions, StartDecision } from "./types.js";

const teams = ["a", "b", "c"].map(name => toId<TeamId>(name));

function makeResources(cpuMillis: number, memoryMb = cpuMillis, accelerators = 0): ResourceVector {
    return { cpuMillis, memoryMb, accelerators };
}

/** Runs an engine, and records independently of it which tasks run on which worker. */
class SimulatedCluster {
    now = 0;
    readonly engine: PlacementEngine;
    readonly capacities = new Map<WorkerId, ResourceVector>();
    readonly running = new Map<TaskId, StartDecision>();
    readonly startCounts = new Map<JobId, number>();

    constructor(workerCount: number, capacity: ResourceVector, options: PlacementOptions = {}) {
        this.engine = new PlacementEngine(options);
        for (let index = 0; index < workerCount; index++) {
            this.setWorker(index, capacity, true);
        }
    }

    setWorker(index: number, capacity: ResourceVector, isInRotation: boolean): void {
        const worker = toId<WorkerId>(`w${index}`);
        this.capacities.set(worker, capacity);
        this.engine.updateWorker({ worker, rack: toId<RackId>(`r${index >> 2}`), capacity, isInRotation });
    }

    submit(name: string, change: Partial<JobSubmission> = {}): JobId {
        const job = toId<JobId>(name);
        const submission = {
            job,
            team: teams[0]!,
            kind: "batch" as const,
            taskCount: 1,
            resources: makeResources(1000),
        };
        const result = this.engine.submitJob(this.now, { ...submission, ...change });
        if (result.err) {
            throw new Error(result.val.message);
        }
        return job;
    }

    /** Runs one tick, starts the tasks for which a start was decided, and returns the decisions. */
    tick(maxDecisions?: number): readonly Decision[] {
        const { decisions } = this.engine.tick(this.now, { maxDecisions });
        for (const decision of decisions) {
            if (decision.kind === "start") {
                expect(this.running.has(decision.task)).toEqual(false);
                this.running.set(decision.task, decision);
                this.startCounts.set(decision.job, (this.startCounts.get(decision.job) ?? 0) + 1);
                this.engine.recordTaskStarted(this.now, decision.task);
            }
        }
        return decisions;
    }

    end(task: TaskId, outcome: EndOutcome = "succeeded", isRetried?: boolean): void {
        this.running.delete(task);
        this.engine.recordTaskEnded(this.now, task, outcome, isRetried);
    }

    listRunning(job: JobId): StartDecision[] {
        return [...this.running.values()].filter(start => start.job === job);
    }

    checkCapacity(): void {
        const used = new Map<WorkerId, ResourceVector>();
        for (const start of this.running.values()) {
            used.set(start.worker, addResources(used.get(start.worker) ?? zeroResources, start.resources));
        }
        for (const [worker, amount] of used) {
            expect(fitsWithin(amount, this.capacities.get(worker)!)).toEqual(true);
        }
    }

    computeUse(team: TeamId): ResourceVector {
        return [...this.running.values()]
            .filter(start => start.team === team)
            .reduce((sum, start) => addResources(sum, start.resources), zeroResources);
    }
}

describe("PlacementEngine", () => {
    describe("under random events", () => {
        for (let seed = 1; seed <= 20; seed++) {
            // Guards against an order of events that overcommits a worker, exceeds a grant, starts a part of a gang,
            // starts a task outside its window or twice, or preempts an urgent task, a service or a task of a gang.
            it(`keeps capacities, grants, gangs and start windows with seed ${seed}`, t => {
                const startCount = runRandomEvents(seed);
                t.diagnostic(`result: ${startCount} starts checked`);
                expect(startCount).toBeGreaterThan(100);
            });
        }
    });
});

describe("placement of gangs", () => {
    // Guards against a gang of which only the tasks in the journaled start window start.
    it("starts a gang only when the start window covers all its tasks", () => {
        const cluster = new SimulatedCluster(4, makeResources(4000));
        const gang = cluster.submit("g", { kind: "gang", taskCount: 8, windowEnd: 3 });
        expect(cluster.tick().length).toEqual(0);
        expect(cluster.engine.explain(gang)?.reason).toEqual("window");
        cluster.engine.extendStartWindow(gang, 8);
        expect(cluster.tick().length).toEqual(8);
    });

    // Guards against a deadlock of two gangs that each hold half of the shard and wait for the other half.
    it("runs gangs one after another when each needs more than half of the shard", () => {
        const cluster = new SimulatedCluster(8, makeResources(4000));
        const fill = cluster.submit("fill", { taskCount: 32, estimatedRunMs: 1000 });
        cluster.tick();
        const gangs = ["g0", "g1", "g2"].map(name => cluster.submit(name, { kind: "gang", taskCount: 20 }));
        endOneByOne(cluster, fill);
        for (let round = 0; round < gangs.length; round++) {
            cluster.now += 1000;
            cluster.tick();
            const active = gangs.filter(gang => cluster.listRunning(gang).length > 0);
            expect(active.length).toEqual(1);
            expect(cluster.listRunning(active[0]!).length).toEqual(20);
            cluster.listRunning(active[0]!).forEach(start => cluster.end(start.task));
        }
    });

    // Guards against a large gang that waits forever while small tasks take each worker that becomes free.
    it("starts a large gang although small tasks keep arriving", () => {
        const cluster = new SimulatedCluster(8, makeResources(4000));
        const random = new SeededRandom(7);
        const gang = runWithSmallTasks(cluster, random, { kind: "gang", taskCount: 8, resources: makeResources(4000) });
        expect(cluster.listRunning(gang).length).toEqual(8);
    });
});

describe("reservations for blocked jobs", () => {
    // Guards against a gang that waits forever for a task that does not end, while other workers are free.
    it("moves a reservation to other workers when a task runs much longer than expected", () => {
        const cluster = new SimulatedCluster(4, makeResources(4000));
        cluster.submit("long", { taskCount: 4, resources: makeResources(2500), estimatedRunMs: 1000 });
        const long = cluster.tick();
        const gang = cluster.submit("g", { kind: "gang", taskCount: 3, resources: makeResources(4000) });
        cluster.tick();
        cluster.now = 1000;
        long.filter(start => start.worker !== "w0").forEach(start => cluster.end(start.task));
        for (let step = 0; step < 120; step++) {
            cluster.now += 1000;
            cluster.tick();
        }
        expect(cluster.listRunning(gang).length).toEqual(3);
    });

    // Guards against capacity that is held for a job that may not start under the grant of its team.
    it("releases a reservation when the grant of the team is lowered", () => {
        const cluster = new SimulatedCluster(1, makeResources(4000));
        cluster.engine.setTeam({ team: teams[0]!, limit: makeResources(8000) });
        cluster.engine.setGrant(teams[0]!, makeResources(8000));
        cluster.submit("long", { resources: makeResources(2500), team: teams[1]!, estimatedRunMs: 1000 });
        const [long] = cluster.tick();
        cluster.submit("head", { resources: makeResources(4000) });
        cluster.tick();
        cluster.engine.setGrant(teams[0]!, makeResources(0));
        const other = cluster.submit("other", {
            team: teams[1]!,
            resources: makeResources(3000),
            estimatedRunMs: 90_000,
        });
        cluster.now = 1000;
        cluster.end(long!.task);
        cluster.tick();
        cluster.tick();
        expect(cluster.listRunning(other).length).toEqual(1);
    });
});

describe("the first job of a queue", () => {
    // Guards against a large task that waits forever behind small ones.
    it("starts although small tasks keep arriving", () => {
        const cluster = new SimulatedCluster(8, makeResources(4000));
        const job = runWithSmallTasks(cluster, new SeededRandom(3), { resources: makeResources(4000) });
        expect(cluster.listRunning(job).length).toEqual(1);
    });

    // Guards against backfill with work that ends after the reserved capacity becomes free.
    it("is not delayed, because backfill takes only tasks that end in time", () => {
        const cluster = new SimulatedCluster(1, makeResources(4000));
        const long = cluster.submit("long", { resources: makeResources(2000), estimatedRunMs: 10_000 });
        cluster.tick();
        const head = cluster.submit("head", { resources: makeResources(4000), estimatedRunMs: 1000 });
        cluster.tick();
        const tooLong = cluster.submit("too-long", { resources: makeResources(1000), estimatedRunMs: 20_000 });
        const short = cluster.submit("short", { resources: makeResources(1500), estimatedRunMs: 5000 });
        const starts = cluster.tick().map(decision => decision.job);
        expect(starts).toEqual([short]);
        expect(cluster.engine.explain(tooLong)?.reason).toEqual("capacity");
        cluster.now = 5000;
        cluster.listRunning(short).forEach(start => cluster.end(start.task));
        cluster.tick();
        cluster.now = 10_000;
        cluster.listRunning(long).forEach(start => cluster.end(start.task));
        expect(cluster.tick().map(decision => decision.job)).toEqual([head]);
    });

    // Guards against a declared run time that is too short, so that backfill still runs when the reservation is due.
    it("is not delayed by backfill whose job class runs longer than declared", () => {
        const cluster = new SimulatedCluster(1, makeResources(4000));
        cluster.submit("samples", { taskCount: 4, jobClass: "underestimated", estimatedRunMs: 1000 });
        const samples = cluster.tick();
        cluster.now = 30_000;
        samples.forEach(decision => cluster.end(decision.task));
        cluster.submit("long", { resources: makeResources(2500), estimatedRunMs: 10_000 });
        cluster.tick();
        cluster.submit("head", { resources: makeResources(4000), estimatedRunMs: 1000 });
        cluster.tick();
        const underestimated = cluster.submit("next", { jobClass: "underestimated", estimatedRunMs: 1000 });
        cluster.now += 10;
        cluster.tick();
        expect(cluster.listRunning(underestimated).length).toEqual(0);
    });
});

describe("placement of urgent jobs", () => {
    // Guards against preemption that takes a team below its share.
    it("preempts only tasks of a team above its share", () => {
        const cluster = new SimulatedCluster(4, makeResources(4000));
        const [owner, borrower] = [teams[0]!, teams[1]!];
        cluster.engine.setTeam({ team: owner });
        cluster.engine.setTeam({ team: borrower });
        const borrowed = cluster.submit("borrowed", { team: borrower, taskCount: 16 });
        cluster.tick();
        cluster.submit("urgent", { team: owner, priority: "urgent", taskCount: 16 });
        const victims = cluster.tick().filter(decision => decision.kind === "preempt");
        expect(victims.length).toEqual(8);
        victims.forEach(victim => cluster.end(victim.task, "preempted"));
        expect(cluster.tick().filter(decision => decision.kind === "start").length).toEqual(8);
        expect(cluster.tick().length).toEqual(0);
        expect(cluster.listRunning(borrowed).length).toEqual(8);
        expect(cluster.engine.explain(borrowed)?.waitingCount).toEqual(8);
    });

    // Guards against urgent tasks that wait because long-running services of their own team exceed its share.
    it("places urgent tasks first under `fairness` while they alone are within the share", () => {
        const cluster = new SimulatedCluster(4, makeResources(4000), { objective: "fairness" });
        cluster.submit("service", { kind: "service", taskCount: 12 });
        cluster.submit("full", { team: teams[1]!, taskCount: 4 });
        const full = cluster.tick().filter(decision => decision.job === "full");
        cluster.submit("normal", { team: teams[1]!, taskCount: 4 });
        const urgent = cluster.submit("urgent", { priority: "urgent", taskCount: 2 });
        full.forEach(decision => cluster.end(decision.task));
        cluster.tick();
        expect(cluster.listRunning(urgent).length).toEqual(2);
    });

    // Guards against urgent tasks that wait while capacity is held for a gang.
    it("places urgent tasks on capacity that is held for a normal job", () => {
        const cluster = new SimulatedCluster(4, makeResources(4000));
        cluster.submit("long", { taskCount: 4, resources: makeResources(2500), estimatedRunMs: 60_000 });
        cluster.tick();
        cluster.submit("gang", { kind: "gang", taskCount: 4, resources: makeResources(4000) });
        cluster.tick();
        const urgent = cluster.submit("urgent", { priority: "urgent", taskCount: 2 });
        cluster.tick();
        expect(cluster.listRunning(urgent).length).toEqual(2);
    });
});

describe("placement of services", () => {
    // Guards against the loss of a whole service with one rack or one worker.
    it("spreads the tasks of a service over racks and then over workers", () => {
        const cluster = new SimulatedCluster(12, makeResources(4000));
        const service = cluster.submit("s", { kind: "service", taskCount: 6 });
        cluster.tick();
        const workers = cluster.listRunning(service).map(start => Number(start.worker.slice(1)));
        const perRack = [0, 1, 2].map(rack => workers.filter(worker => worker >> 2 === rack).length);
        expect(perRack).toEqual([2, 2, 2]);
        expect(new Set(workers).size).toEqual(6);
    });
});

describe("ejection of failing workers", () => {
    // Guards against a worker that fails each task at once, so that it has room and gets most of the tasks.
    it("gives a failing worker few tasks until its probes succeed", t => {
        const cluster = new SimulatedCluster(6, makeResources(4000), { probeIntervalMs: 10_000 });
        cluster.submit("work", { taskCount: 5000, estimatedRunMs: 1000 });
        let startsOnBad = 0;
        let startsOnBadLater = 0;
        for (let round = 0; round < 200; round++) {
            cluster.now += 1000;
            const starts = cluster.tick().filter(decision => decision.worker === "w0").length;
            startsOnBad += round < 100 ? starts : 0;
            startsOnBadLater += round >= 160 ? starts : 0;
            for (const start of [...cluster.running.values()]) {
                cluster.end(start.task, start.worker === "w0" && round < 100 ? "failed" : "succeeded", false);
            }
        }
        t.diagnostic(`result: ${startsOnBad} starts on the failing worker, ${startsOnBadLater} after its repair`);
        expect(startsOnBad).toBeLessThan(20);
        expect(startsOnBadLater).toBeGreaterThan(100);
    });

    // Guards against the ejection of good workers because of a job that fails everywhere.
    it("ejects no worker because of a job that fails on every worker", () => {
        const cluster = new SimulatedCluster(6, makeResources(4000));
        cluster.submit("good", { taskCount: 200 });
        cluster.submit("bad", { taskCount: 200 });
        for (let round = 0; round < 30; round++) {
            cluster.now += 1000;
            cluster.tick();
            for (const start of [...cluster.running.values()]) {
                cluster.end(start.task, start.job === "bad" ? "failed" : "succeeded", false);
            }
        }
        expect(cluster.engine.getSummary().ejectedWorkerCount).toEqual(0);
    });
});

describe("submission and cancellation of jobs", () => {
    // Guards against a job that can never run but is accepted, waits forever and keeps other jobs from starting.
    it("refuses a job that can never run, and does not let a restored one block others", () => {
        const cluster = new SimulatedCluster(4, makeResources(4000));
        const submit = (change: Partial<JobSubmission>): string => {
            const job = toId<JobId>("never");
            const submission = {
                job,
                team: teams[0]!,
                kind: "batch" as const,
                taskCount: 1,
                resources: makeResources(1000),
            };
            const result = cluster.engine.submitJob(0, { ...submission, ...change });
            return result.ok ? "accepted" : `${result.val.code} ${result.val.verdict}`;
        };
        expect(submit({ resources: makeResources(5000) })).toEqual("unschedulable notRun");
        expect(submit({ kind: "gang", taskCount: 17 })).toEqual("unschedulable notRun");
        expect(submit({ resources: makeResources(1000, 1000, 1) })).toEqual("unschedulable notRun");
        expect(submit({ isRestored: true, resources: makeResources(5000) })).toEqual("accepted");
        const other = cluster.submit("other", { taskCount: 16 });
        cluster.tick();
        expect(cluster.listRunning(other).length).toEqual(16);
        expect(cluster.engine.explain(toId<JobId>("never"))?.reason).toEqual("unschedulable");
    });

    // Guards against tasks of a cancelled job that start, and against running ones that are told to stop repeatedly.
    it("stops the running tasks of many cancelled jobs once and starts none", () => {
        const cluster = new SimulatedCluster(4, makeResources(4000));
        const jobs = Array.from({ length: 500 }, (_, index) => cluster.submit(`j${index}`, { taskCount: 10 }));
        expect(cluster.tick().length).toEqual(16);
        jobs.forEach(job => cluster.engine.cancelJob(job));
        const stops = cluster.tick();
        expect(stops.filter(decision => decision.kind === "stop").length).toEqual(16);
        expect(stops.length).toEqual(16);
        expect(cluster.tick().length).toEqual(0);
        stops.forEach(stop => cluster.end(stop.task, "stopped"));
        expect(cluster.engine.getSummary().jobCount).toEqual(0);
        expect(cluster.engine.getSummary().waitingCount).toEqual(0);
    });
});

describe("recovery after a takeover", () => {
    // Guards against a second start of a task that ran, ended or may have run before the takeover.
    it("starts only tasks that are neither adopted nor recorded as ended", () => {
        const cluster = new SimulatedCluster(2, makeResources(4000));
        const job = cluster.submit("j", { taskCount: 6, isRestored: true });
        const adopted = { team: teams[0]!, resources: makeResources(1000), worker: toId<WorkerId>("w0") };
        cluster.engine.adoptTask(0, { ...adopted, task: toId<TaskId>("j/1") });
        cluster.engine.adoptTask(0, { ...adopted, task: toId<TaskId>("j/4"), isUncertain: true });
        cluster.engine.recordTaskEnded(0, toId<TaskId>("j/2"), "succeeded");
        cluster.engine.recordTaskEnded(0, toId<TaskId>("j/2"), "succeeded");
        const starts = cluster.tick().map(decision => decision.task as string);
        expect(starts).toEqual(["j/0", "j/3", "j/5"]);
        expect(cluster.engine.explain(job)?.finishedCount).toEqual(1);
        for (const task of ["j/0", "j/1", "j/3", "j/4", "j/5"]) {
            cluster.end(toId<TaskId>(task));
        }
        expect(cluster.engine.explain(job)).toEqual(undefined);
    });
});

describe("adoption of running tasks", () => {
    // Guards against a task that runs on two workers, of which the engine knows only one.
    it("refuses a task that is known on another worker", () => {
        const cluster = new SimulatedCluster(2, makeResources(4000));
        cluster.submit("j");
        const start = cluster.tick()[0]!;
        const other = toId<WorkerId>(start.worker === "w0" ? "w1" : "w0");
        const adopted = { task: start.task, team: teams[0]!, resources: makeResources(1000) };
        const result = cluster.engine.adoptTask(0, { ...adopted, worker: other });
        expect(result.err && result.val.code).toEqual("task-elsewhere");
        expect(cluster.engine.adoptTask(0, { ...adopted, worker: start.worker }).ok).toEqual(true);
    });

    // Guards against wrong counts of a job after a worker reported a task index that the job does not have.
    it("refuses a task with an index that its job does not have", () => {
        const cluster = new SimulatedCluster(1, makeResources(4000));
        const job = cluster.submit("j", { taskCount: 2 });
        const adopted = { team: teams[0]!, resources: makeResources(1000), worker: toId<WorkerId>("w0") };
        const result = cluster.engine.adoptTask(0, { ...adopted, task: toId<TaskId>("j/2") });
        expect(result.err && result.val.code).toEqual("unknown-job");
        expect(cluster.engine.explain(job)?.waitingCount).toEqual(2);
    });

    // Guards against adopted tasks above the capacity of a worker that are not counted, so that more are placed there.
    it("counts adopted tasks that exceed the capacity of their worker", () => {
        const cluster = new SimulatedCluster(1, makeResources(4000));
        cluster.submit("j", { taskCount: 8 });
        for (let index = 0; index < 6; index++) {
            const task = toId<TaskId>(`j/${index}`);
            const worker = toId<WorkerId>("w0");
            cluster.engine.adoptTask(0, { task, team: teams[0]!, worker, resources: makeResources(1000) });
        }
        cluster.engine.recordTaskEnded(1, toId<TaskId>("j/0"), "succeeded");
        cluster.engine.recordTaskEnded(1, toId<TaskId>("j/1"), "succeeded");
        expect(cluster.tick().length).toEqual(0);
        cluster.engine.recordTaskEnded(1, toId<TaskId>("j/2"), "succeeded");
        expect(cluster.tick().length).toEqual(1);
    });

    // Guards against a grant that is used again while a task on a removed or unreachable worker may still run.
    it("counts tasks on a removed worker against the grant until they have ended", () => {
        const cluster = new SimulatedCluster(2, makeResources(4000));
        cluster.engine.setTeam({ team: teams[0]!, limit: makeResources(4000) });
        cluster.engine.setGrant(teams[0]!, makeResources(4000));
        cluster.submit("j", { taskCount: 8 });
        const starts = cluster.tick();
        expect(starts.length).toEqual(4);
        cluster.engine.removeWorker(starts[0]!.worker);
        expect(cluster.tick().length).toEqual(0);
        starts.forEach(start => cluster.end(start.task, "leaseExpired", true));
        expect(cluster.tick().length).toEqual(4);
    });
});

function endOneByOne(cluster: SimulatedCluster, job: JobId): void {
    for (const start of cluster.listRunning(job)) {
        cluster.now += 100;
        cluster.end(start.task);
        cluster.tick();
    }
}

/** Submits small tasks in every step, and after 20 steps one large job, and returns the large job. */
function runWithSmallTasks(cluster: SimulatedCluster, random: SeededRandom, large: Partial<JobSubmission>): JobId {
    const ends = new Map<TaskId, number>();
    let job: JobId | undefined;
    for (let step = 0; step < 400; step++) {
        cluster.now += 100;
        for (const task of cluster.running.keys()) {
            if ((ends.get(task) ?? Infinity) <= cluster.now) {
                cluster.end(task);
            }
        }
        cluster.submit(`small${step}`, { taskCount: 12, deadline: cluster.now + 20_000, estimatedRunMs: 1000 });
        job ??= step === 20 ? cluster.submit("large", { ...large, deadline: cluster.now + 20_000 }) : undefined;
        for (const decision of cluster.tick()) {
            if (decision.kind === "start" && decision.job !== job) {
                ends.set(decision.task, cluster.now + 500 + random.getInteger(1000));
            }
        }
    }
    return job!;
}

/** What the test expects of a job. */
interface JobModel {
    readonly submission: JobSubmission;
    /** Tasks with a lower index may start. */
    windowEnd: number;
    isCancelled: boolean;
}

/** Runs random events with a check after each, and returns the number of starts. */
function runRandomEvents(seed: number): number {
    const random = new SeededRandom(seed);
    const capacity = makeResources(8000, 8000, 2);
    const cluster = new SimulatedCluster(9, capacity, {
        objective: seed % 2 === 0 ? "waiting" : "fairness",
        windowSize: 4,
        probeIntervalMs: 500,
    });
    const jobs = new Map<JobId, JobModel>();
    const grants = new Map<TeamId, ResourceVector>();
    let startCount = 0;
    for (const team of teams) {
        cluster.engine.setTeam({ team, weight: 1 + random.getInteger(3), limit: makeResources(60_000, 60_000, 12) });
    }
    for (let step = 0; step < 600; step++) {
        cluster.now += random.getInteger(400);
        const running = [...cluster.running.keys()];
        const task = random.pickOne(running);
        const event = random.getInteger(12);
        if (event === 0) {
            const team = random.pickOne(teams)!;
            // A lowered grant does not end running tasks, so the use is checked against it only when a task starts.
            const grant = makeResources(
                random.getInteger(50) * 1000,
                random.getInteger(50) * 1000,
                random.getInteger(10),
            );
            cluster.engine.setGrant(team, grant);
            grants.set(team, grant);
        }
        else if (event <= 3) {
            const kind = random.pickOne(["batch", "service", "gang"] as const)!;
            const job = toId<JobId>(`j${step}`);
            const submission: JobSubmission = {
                job,
                team: random.pickOne(teams)!,
                kind,
                priority: random.getInteger(4) === 0 ? "urgent" : "normal",
                taskCount: 1 + random.getInteger(kind === "gang" ? 6 : 12),
                resources: makeResources(
                    200 + random.getInteger(3000),
                    200 + random.getInteger(3000),
                    random.getInteger(4) >> 1,
                ),
                estimatedRunMs: 500 + random.getInteger(5000),
                windowEnd: random.getInteger(2) === 0 ? 0 : undefined,
            };
            if (cluster.engine.submitJob(cluster.now, submission).ok) {
                const windowEnd = submission.windowEnd ?? submission.taskCount;
                jobs.set(job, { submission, windowEnd, isCancelled: false });
            }
        }
        else if (event === 4 && jobs.size > 0) {
            const job = random.pickOne([...jobs.keys()])!;
            cluster.engine.cancelJob(job);
            jobs.get(job)!.isCancelled = true;
        }
        else if (event === 5) {
            for (const request of cluster.engine.collectWindowRequests()) {
                cluster.engine.extendStartWindow(request.job, request.windowEnd);
                jobs.get(request.job)!.windowEnd = request.windowEnd;
            }
        }
        else if (event === 6) {
            cluster.setWorker(random.getInteger(9), capacity, random.getInteger(3) > 0);
        }
        else if (event === 7 && task !== undefined) {
            const verdict = random.pickOne(["notRun", "mayHaveRun"] as const)!;
            cluster.engine.recordStartFailed(cluster.now, task, verdict);
            if (verdict === "notRun") {
                cluster.running.delete(task);
            }
        }
        else if (task !== undefined) {
            const outcome = random.pickOne(["succeeded", "succeeded", "failed", "leaseExpired"] as const)!;
            cluster.end(task, outcome, random.getInteger(4) === 0);
        }
        startCount += checkTick(cluster, jobs, grants);
    }
    return startCount;
}

/** Runs one tick, checks its decisions against the model, and returns the number of starts. */
function checkTick(
    cluster: SimulatedCluster,
    jobs: ReadonlyMap<JobId, JobModel>,
    grants: ReadonlyMap<TeamId, ResourceVector>,
): number {
    const waitingBefore = new Map([...jobs.keys()].map(job => [job, cluster.engine.explain(job)?.waitingCount ?? 0]));
    const decisions = cluster.tick(20);
    const started = decisions.filter(decision => decision.kind === "start");
    cluster.checkCapacity();
    for (const start of started) {
        const model = jobs.get(start.job)!;
        expect(model.isCancelled).toEqual(false);
        expect(Number(start.task.slice(start.task.lastIndexOf("/") + 1))).toBeLessThan(model.windowEnd);
        expect(fitsWithin(cluster.computeUse(start.team), grants.get(start.team) ?? zeroResources)).toEqual(true);
        if (model.submission.kind === "gang") {
            expect(started.filter(other => other.job === start.job).length).toEqual(waitingBefore.get(start.job)!);
        }
    }
    for (const decision of decisions) {
        if (decision.kind === "preempt") {
            const { kind, priority } = jobs.get(decision.job)!.submission;
            expect([kind, priority]).toEqual(["batch", "normal"]);
        }
        if (decision.kind !== "start") {
            cluster.end(decision.task, decision.kind === "preempt" ? "preempted" : "stopped");
        }
    }
    return started.length;
}
