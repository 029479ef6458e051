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
            // task outside its window, or starts a task twice.
            it(`keeps its bounds with seed ${seed}`, t => {
                const startCount = runRandomEvents(seed);
                t.diagnostic(`result: ${startCount} starts checked`);
                expect(startCount).toBeGreaterThan(100);
            });
        }
    });
});

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
                startedThrough: random.getInteger(2) === 0 ? 0 : undefined,
            };
            if (cluster.engine.submitJob(cluster.now, submission).ok) {
                const startable = submission.startedThrough ?? submission.taskCount;
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
                cluster.engine.markStartable(request.job, request.throughIndex);
                jobs.get(request.job)!.startable = request.throughIndex;
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
        if (decision.kind !== "start") {
            cluster.end(decision.task, decision.kind === "preempt" ? "preempted" : "stopped");
        }
    }
    return started.length;
}
