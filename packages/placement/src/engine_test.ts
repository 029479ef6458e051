import type { JobId, RackId, ResourceVector, TaskId, TeamId, WorkerId } from "@waxwingroute/core";
import { addResources, fitsWithin, SeededRandom, toId, zeroResources } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { PlacementEngine } from "./engine.js";
import type { Decision, EndOutcome, JobSubmission, PlacementOptions, StartDecision } from "./types.js";

const teams = ["a", "b", "c"].map(name => toId<TeamId>(name));

function makeSize(cpuMillis: number, memoryMb = cpuMillis, accelerators = 0): ResourceVector {
    return { cpuMillis, memoryMb, accelerators };
}

/** Drives an engine and keeps its own account of what runs where. */
class Cluster {
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
        const submission = { job, team: teams[0]!, kind: "batch" as const, taskCount: 1, resources: makeSize(1000) };
        const result = this.engine.submitJob(this.now, { ...submission, ...change });
        if (result.err) {
            throw new Error(result.val.message);
        }
        return job;
    }

    /** Ticks, starts what was decided, and returns the decisions. */
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
            // Guards against any order of events that oversubscribes a worker, exceeds a grant, splits a gang, starts a
            // task outside its window, starts a task twice, or preempts urgent work, a service or a part of a gang.
            it(`keeps its bounds with seed ${seed}`, t => {
                const startCount = runRandomEvents(seed);
                t.diagnostic(`result: ${startCount} starts checked`);
                expect(startCount).toBeGreaterThan(100);
            });
        }
    });
});

describe("gangs", () => {
    // Guards against a gang that starts the part of its tasks that the journal allows.
    it("wait until the start window holds all tasks", () => {
        const cluster = new Cluster(4, makeSize(4000));
        const gang = cluster.submit("g", { kind: "gang", taskCount: 8, windowEnd: 3 });
        expect(cluster.tick().length).toEqual(0);
        expect(cluster.engine.explain(gang)?.reason).toEqual("window");
        cluster.engine.extendStartWindow(gang, 8);
        expect(cluster.tick().length).toEqual(8);
    });

    // Guards against two gangs that each hold half of the shard and wait for the other half.
    it("do not deadlock when several need more than half of the shard", () => {
        const cluster = new Cluster(8, makeSize(4000));
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

    // Guards against a large gang that waits for ever while small tasks take each worker that becomes free.
    it("start although small tasks arrive without end", () => {
        const cluster = new Cluster(8, makeSize(4000));
        const random = new SeededRandom(7);
        const gang = runBesideSmallTasks(cluster, random, { kind: "gang", taskCount: 8, resources: makeSize(4000) });
        expect(cluster.listRunning(gang).length).toEqual(8);
    });
});

describe("reservations", () => {
    // Guards against a gang that waits for ever for a task that does not end, while other workers are free.
    it("move to other workers when a task runs much longer than expected", () => {
        const cluster = new Cluster(4, makeSize(4000));
        cluster.submit("long", { taskCount: 4, resources: makeSize(2500), estimatedRunMs: 1000 });
        const long = cluster.tick();
        const gang = cluster.submit("g", { kind: "gang", taskCount: 3, resources: makeSize(4000) });
        cluster.tick();
        cluster.now = 1000;
        long.filter(start => start.worker !== "w0").forEach(start => cluster.end(start.task));
        for (let step = 0; step < 120; step++) {
            cluster.now += 1000;
            cluster.tick();
        }
        expect(cluster.listRunning(gang).length).toEqual(3);
    });

    // Guards against capacity that is held for a job that its grant does not let start.
    it("are released when the grant of the team is lowered", () => {
        const cluster = new Cluster(1, makeSize(4000));
        cluster.engine.setTeam({ team: teams[0]!, limit: makeSize(8000) });
        cluster.engine.setGrant(teams[0]!, makeSize(8000));
        cluster.submit("long", { resources: makeSize(2500), team: teams[1]!, estimatedRunMs: 1000 });
        const [long] = cluster.tick();
        cluster.submit("head", { resources: makeSize(4000) });
        cluster.tick();
        cluster.engine.setGrant(teams[0]!, makeSize(0));
        const other = cluster.submit("other", { team: teams[1]!, resources: makeSize(3000), estimatedRunMs: 90_000 });
        cluster.now = 1000;
        cluster.end(long!.task);
        cluster.tick();
        cluster.tick();
        expect(cluster.listRunning(other).length).toEqual(1);
    });
});

describe("the head of the queue", () => {
    // Guards against a large task that waits for ever behind small ones.
    it("starts although small tasks arrive without end", () => {
        const cluster = new Cluster(8, makeSize(4000));
        const job = runBesideSmallTasks(cluster, new SeededRandom(3), { resources: makeSize(4000) });
        expect(cluster.listRunning(job).length).toEqual(1);
    });

    // Guards against backfill with work that ends after the reserved capacity becomes free.
    it("is not delayed by backfill", () => {
        const cluster = new Cluster(1, makeSize(4000));
        const long = cluster.submit("long", { resources: makeSize(2000), estimatedRunMs: 10_000 });
        cluster.tick();
        const head = cluster.submit("head", { resources: makeSize(4000), estimatedRunMs: 1000 });
        cluster.tick();
        const tooLong = cluster.submit("too-long", { resources: makeSize(1000), estimatedRunMs: 20_000 });
        const short = cluster.submit("short", { resources: makeSize(1500), estimatedRunMs: 5000 });
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

    // Guards against a declared run time that is too short and lets backfill run into the reservation.
    it("is protected by learned run times when declared ones are too short", () => {
        const cluster = new Cluster(1, makeSize(4000));
        cluster.submit("lesson", { taskCount: 4, jobClass: "liar", estimatedRunMs: 1000 });
        const lessons = cluster.tick();
        cluster.now = 30_000;
        lessons.forEach(decision => cluster.end(decision.task));
        cluster.submit("long", { resources: makeSize(2500), estimatedRunMs: 10_000 });
        cluster.tick();
        cluster.submit("head", { resources: makeSize(4000), estimatedRunMs: 1000 });
        cluster.tick();
        const liar = cluster.submit("liar", { jobClass: "liar", estimatedRunMs: 1000 });
        cluster.now += 10;
        cluster.tick();
        expect(cluster.listRunning(liar).length).toEqual(0);
    });
});

describe("urgent work", () => {
    // Guards against preemption that takes what a team is entitled to.
    it("preempts borrowed capacity only", () => {
        const cluster = new Cluster(4, makeSize(4000));
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

    // Guards against urgent work that waits for services of its own team to end, because they exceed its share.
    it("comes first while the urgent work alone is within the share, for fairness", () => {
        const cluster = new Cluster(4, makeSize(4000), { objective: "fairness" });
        cluster.submit("service", { kind: "service", taskCount: 12 });
        cluster.submit("full", { team: teams[1]!, taskCount: 4 });
        const full = cluster.tick().filter(decision => decision.job === "full");
        cluster.submit("normal", { team: teams[1]!, taskCount: 4 });
        const urgent = cluster.submit("urgent", { priority: "urgent", taskCount: 2 });
        full.forEach(decision => cluster.end(decision.task));
        cluster.tick();
        expect(cluster.listRunning(urgent).length).toEqual(2);
    });

    // Guards against urgent work that waits for a gang to collect its workers.
    it("uses capacity that is held for normal work", () => {
        const cluster = new Cluster(4, makeSize(4000));
        cluster.submit("long", { taskCount: 4, resources: makeSize(2500), estimatedRunMs: 60_000 });
        cluster.tick();
        cluster.submit("gang", { kind: "gang", taskCount: 4, resources: makeSize(4000) });
        cluster.tick();
        const urgent = cluster.submit("urgent", { priority: "urgent", taskCount: 2 });
        cluster.tick();
        expect(cluster.listRunning(urgent).length).toEqual(2);
    });
});

describe("services", () => {
    // Guards against the loss of a whole service with one rack or one worker.
    it("are spread over racks and then workers", () => {
        const cluster = new Cluster(12, makeSize(4000));
        const service = cluster.submit("s", { kind: "service", taskCount: 6 });
        cluster.tick();
        const workers = cluster.listRunning(service).map(start => Number(start.worker.slice(1)));
        const perRack = [0, 1, 2].map(rack => workers.filter(worker => worker >> 2 === rack).length);
        expect(perRack).toEqual([2, 2, 2]);
        expect(new Set(workers).size).toEqual(6);
    });
});

describe("failing workers", () => {
    // Guards against a worker that fails everything, looks empty, and so attracts all work.
    it("get few tasks and return after successful probes", t => {
        const cluster = new Cluster(6, makeSize(4000), { probeIntervalMs: 10_000 });
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

    // Guards against the removal of good workers because of a job that fails everywhere.
    it("are not blamed for a job that fails everywhere", () => {
        const cluster = new Cluster(6, makeSize(4000));
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

describe("submission and cancellation", () => {
    // Guards against a job that waits for ever without a word, and that keeps others from starting.
    it("reports work that can never run at once", () => {
        const cluster = new Cluster(4, makeSize(4000));
        const submit = (change: Partial<JobSubmission>): string => {
            const job = toId<JobId>("never");
            const submission = {
                job,
                team: teams[0]!,
                kind: "batch" as const,
                taskCount: 1,
                resources: makeSize(1000),
            };
            const result = cluster.engine.submitJob(0, { ...submission, ...change });
            return result.ok ? "accepted" : `${result.val.code} ${result.val.verdict}`;
        };
        expect(submit({ resources: makeSize(5000) })).toEqual("unschedulable notRun");
        expect(submit({ kind: "gang", taskCount: 17 })).toEqual("unschedulable notRun");
        expect(submit({ resources: makeSize(1000, 1000, 1) })).toEqual("unschedulable notRun");
        expect(submit({ isRestored: true, resources: makeSize(5000) })).toEqual("accepted");
        const other = cluster.submit("other", { taskCount: 16 });
        cluster.tick();
        expect(cluster.listRunning(other).length).toEqual(16);
        expect(cluster.engine.explain(toId<JobId>("never"))?.reason).toEqual("unschedulable");
    });

    // Guards against cancelled tasks that start, and against running ones that are told to stop more than once.
    it("cancels a wave of jobs in one pass", () => {
        const cluster = new Cluster(4, makeSize(4000));
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

describe("recovery", () => {
    // Guards against a second start of a task that runs, ended, or may have run before the takeover.
    it("starts only the tasks that are not accounted for", () => {
        const cluster = new Cluster(2, makeSize(4000));
        const job = cluster.submit("j", { taskCount: 6, isRestored: true });
        const adopted = { team: teams[0]!, resources: makeSize(1000), worker: toId<WorkerId>("w0") };
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

describe("adoption", () => {
    // Guards against a task that runs in two places and of which only one is known.
    it("refuses a task that is known on another worker", () => {
        const cluster = new Cluster(2, makeSize(4000));
        cluster.submit("j");
        const start = cluster.tick()[0]!;
        const other = toId<WorkerId>(start.worker === "w0" ? "w1" : "w0");
        const adopted = { task: start.task, team: teams[0]!, resources: makeSize(1000) };
        const result = cluster.engine.adoptTask(0, { ...adopted, worker: other });
        expect(result.err && result.val.code).toEqual("task-elsewhere");
        expect(cluster.engine.adoptTask(0, { ...adopted, worker: start.worker }).ok).toEqual(true);
    });

    // Guards against a worker that reports a task outside its job and so makes the counts of the job wrong.
    it("refuses an index that its job does not have", () => {
        const cluster = new Cluster(1, makeSize(4000));
        const job = cluster.submit("j", { taskCount: 2 });
        const adopted = { team: teams[0]!, resources: makeSize(1000), worker: toId<WorkerId>("w0") };
        const result = cluster.engine.adoptTask(0, { ...adopted, task: toId<TaskId>("j/2") });
        expect(result.err && result.val.code).toEqual("unknown-job");
        expect(cluster.engine.explain(job)?.waitingCount).toEqual(2);
    });

    // Guards against adopted tasks that overfill a worker and are then not counted, so that more is placed beside them.
    it("counts tasks above the capacity of their worker", () => {
        const cluster = new Cluster(1, makeSize(4000));
        cluster.submit("j", { taskCount: 8 });
        for (let index = 0; index < 6; index++) {
            const task = toId<TaskId>(`j/${index}`);
            const worker = toId<WorkerId>("w0");
            cluster.engine.adoptTask(0, { task, team: teams[0]!, worker, resources: makeSize(1000) });
        }
        cluster.engine.recordTaskEnded(1, toId<TaskId>("j/0"), "succeeded");
        cluster.engine.recordTaskEnded(1, toId<TaskId>("j/1"), "succeeded");
        expect(cluster.tick().length).toEqual(0);
        cluster.engine.recordTaskEnded(1, toId<TaskId>("j/2"), "succeeded");
        expect(cluster.tick().length).toEqual(1);
    });

    // Guards against capacity that is given away while a task on a removed or unreachable worker may still run.
    it("keeps the grant of tasks on workers that left", () => {
        const cluster = new Cluster(2, makeSize(4000));
        cluster.engine.setTeam({ team: teams[0]!, limit: makeSize(4000) });
        cluster.engine.setGrant(teams[0]!, makeSize(4000));
        cluster.submit("j", { taskCount: 8 });
        const starts = cluster.tick();
        expect(starts.length).toEqual(4);
        cluster.engine.removeWorker(starts[0]!.worker);
        expect(cluster.tick().length).toEqual(0);
        starts.forEach(start => cluster.end(start.task, "leaseExpired", true));
        expect(cluster.tick().length).toEqual(4);
    });
});

function endOneByOne(cluster: Cluster, job: JobId): void {
    for (const start of cluster.listRunning(job)) {
        cluster.now += 100;
        cluster.end(start.task);
        cluster.tick();
    }
}

/** Keeps a full cluster busy with small tasks for a while after a large job was submitted. */
function runBesideSmallTasks(cluster: Cluster, random: SeededRandom, large: Partial<JobSubmission>): JobId {
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

interface JobModel {
    readonly submission: JobSubmission;
    startable: number;
    isCancelled: boolean;
}

function runRandomEvents(seed: number): number {
    const random = new SeededRandom(seed);
    const capacity = makeSize(8000, 8000, 2);
    const cluster = new Cluster(9, capacity, {
        objective: seed % 2 === 0 ? "waiting" : "fairness",
        windowSize: 4,
        probeIntervalMs: 500,
    });
    const jobs = new Map<JobId, JobModel>();
    const grants = new Map<TeamId, ResourceVector>();
    let startCount = 0;
    for (const team of teams) {
        cluster.engine.setTeam({ team, weight: 1 + random.getInteger(3), limit: makeSize(60_000, 60_000, 12) });
    }
    for (let step = 0; step < 600; step++) {
        cluster.now += random.getInteger(400);
        const running = [...cluster.running.keys()];
        const task = random.pickOne(running);
        const event = random.getInteger(12);
        if (event === 0) {
            const team = random.pickOne(teams)!;
            // A lowered grant does not end what runs, so the model keeps the larger of the grant and the use.
            const grant = makeSize(random.getInteger(50) * 1000, random.getInteger(50) * 1000, random.getInteger(10));
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
                resources: makeSize(
                    200 + random.getInteger(3000),
                    200 + random.getInteger(3000),
                    random.getInteger(4) >> 1,
                ),
                estimatedRunMs: 500 + random.getInteger(5000),
                windowEnd: random.getInteger(2) === 0 ? 0 : undefined,
            };
            if (cluster.engine.submitJob(cluster.now, submission).ok) {
                const startable = submission.windowEnd ?? submission.taskCount;
                jobs.set(job, { submission, startable, isCancelled: false });
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
                jobs.get(request.job)!.startable = request.windowEnd;
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

function checkTick(
    cluster: Cluster,
    jobs: ReadonlyMap<JobId, JobModel>,
    grants: ReadonlyMap<TeamId, ResourceVector>,
): number {
    const before = new Map([...jobs.keys()].map(job => [job, cluster.engine.explain(job)?.waitingCount ?? 0]));
    const decisions = cluster.tick(20);
    const started = decisions.filter(decision => decision.kind === "start");
    cluster.checkCapacity();
    for (const start of started) {
        const model = jobs.get(start.job)!;
        expect(model.isCancelled).toEqual(false);
        expect(Number(start.task.slice(start.task.lastIndexOf("/") + 1))).toBeLessThan(model.startable);
        expect(fitsWithin(cluster.computeUse(start.team), grants.get(start.team) ?? zeroResources)).toEqual(true);
        if (model.submission.kind === "gang") {
            expect(started.filter(other => other.job === start.job).length).toEqual(before.get(start.job)!);
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
