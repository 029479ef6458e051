/**
 * Plays a scheduler with an advisor through random trouble and then calm, to find steps that stand although executors that
 * the advisor grants have room for them.
 */
import type { ExecutorId } from "@waxwingroute/core";
import { SeededRandom, toId } from "@waxwingroute/core";
import type { AdviceRequest, StartDecision, StepSpec } from "../types.js";
import { createQueue, createStep, noLimit, SchedulerFixture, toCores } from "./scheduler-fixture.js";

/** Kinds of trouble that are played. */
export interface StandingSimulationOptions {
    readonly seed: number;
    /** Whether tasks crash executors during the trouble. Default: no. */
    readonly hasCrashes?: boolean;
    /** Whether some jobs are gangs. Default: no. */
    readonly hasGangs?: boolean;
}

const executorCount = 8;
const coresPerExecutor = 16;
const tickMs = 50;
const sampleMs = 1_000;
const troubleMs = 12_000;
const calmMs = 14_000;
/** Time of calm before steps have to start, and time for which they may then stand, ms: rules of the platform. */
const settleMs = 4_000;
const maxStandingMs = 3_000;
const adviceMs = 40;
const lostAdviceMs = 1_100;
const limitCores = 64;

interface SubmittedStep {
    readonly job: string;
    readonly number: number;
    readonly queue: string;
    readonly spec: StepSpec;
    readonly doneTasks: Set<string>;
}

interface ActiveRun {
    readonly start: StartDecision;
    readonly endsAt: number;
}

/** One play. `run` returns the steps that stood, each with the reason that the scheduler gives. */
export class StandingSimulation {
    private readonly random: SeededRandom;
    private readonly fixture: SchedulerFixture;
    private readonly runs = new Map<string, ActiveRun>();
    private readonly pending: { readonly at: number; readonly act: () => void; }[] = [];
    private readonly unavailable = new Set<number>();
    private readonly idleSince = new Map<string, number>();
    private readonly standing = new Map<string, string>();
    private readonly steps = new Map<string, SubmittedStep>();
    private readonly reasons = new Map<string, string>();
    private nextJob = 0;
    private hasTrouble = true;

    constructor(private readonly options: StandingSimulationOptions) {
        this.random = new SeededRandom(options.seed);
        const advice = { callMs: 20, perExecutorMs: 1, validMs: 2_000 };
        const queues = [createQueue("queue", { advice, maxAttempts: 20 }), createQueue("open", { maxAttempts: 20 })];
        this.fixture = new SchedulerFixture(executorCount, queues, { ...noLimit, cpuMillis: limitCores * 1_000 });
    }

    run(): string[] {
        const endsAt = this.fixture.now + troubleMs + calmMs;
        const calmAt = this.fixture.now + troubleMs;
        while (this.fixture.now < endsAt) {
            this.fixture.now += tickMs;
            this.hasTrouble = this.fixture.now < calmAt;
            if (this.hasTrouble) {
                this.makeTrouble();
            }
            else {
                [...this.unavailable].forEach(index => this.restoreExecutor(index));
            }
            this.processDue();
            this.scheduleOnce();
            if (this.fixture.now % sampleMs < tickMs) {
                this.fixture.scheduler.sampleWaitingSteps(this.fixture.now).news.forEach(({ step, cause }) =>
                    this.reasons.set(step, JSON.stringify(cause))
                );
            }
            if (this.fixture.now >= calmAt + settleMs) {
                this.checkStanding();
            }
        }
        return [...this.standing.values()];
    }

    private makeTrouble(): void {
        if (this.random.getInteger(3) === 0) {
            this.submitJob();
        }
        if (this.random.getInteger(12) === 0) {
            const index = this.random.getInteger(executorCount);
            if (this.unavailable.delete(index)) {
                this.fixture.putExecutor(index, "ready");
            }
            else {
                this.unavailable.add(index);
                this.fixture.putExecutor(index, this.random.getInteger(3) === 0 ? "leaving" : "unreachable");
                if (this.random.getInteger(2) === 0) {
                    this.dropRuns(index);
                }
            }
        }
    }

    private submitJob(): void {
        const isGang = this.options.hasGangs === true && this.random.getInteger(4) === 0;
        const step: Partial<StepSpec> = {
            taskCount: 1 + this.random.getInteger(6),
            isGang,
            estimateMs: 300 + this.random.getInteger(1_500),
            resources: toCores(1 + this.random.getInteger(4)),
        };
        const queue = this.random.getInteger(3) === 0 ? "open" : "queue";
        const later = this.random.getInteger(2) === 0 ? [createStep({ ...step, isGang: false, after: [0] })] : [];
        const job = `j${this.nextJob++}`;
        const specs = [createStep(step), ...later];
        specs.forEach((spec, number) =>
            this.steps.set(`${job}.0.${number}`, { job, number, queue, spec, doneTasks: new Set() })
        );
        this.fixture.submit(job, specs, queue);
    }

    private restoreExecutor(index: number): void {
        this.unavailable.delete(index);
        this.fixture.putExecutor(index, "ready");
    }

    /** Ends the runs of an executor that has restarted. */
    private dropRuns(index: number): void {
        const executor = toId<ExecutorId>(`e${index}`);
        this.fixture.scheduler.recordRunsLost(this.fixture.now, executor);
        for (const [key, { start }] of this.runs) {
            if (start.executor === executor) {
                this.runs.delete(key);
            }
        }
    }

    private processDue(): void {
        const due = this.pending.filter(({ at }) => at <= this.fixture.now);
        due.forEach(entry => {
            this.pending.splice(this.pending.indexOf(entry), 1);
            entry.act();
        });
        for (const [key, run] of this.runs) {
            if (run.endsAt <= this.fixture.now) {
                this.runs.delete(key);
                this.endRun(run.start);
            }
        }
    }

    private endRun(start: StartDecision): void {
        const step = this.steps.get(start.task.slice(0, start.task.lastIndexOf(".")))!;
        const hasFailed = this.hasTrouble && this.random.getInteger(10) === 0;
        if (!hasFailed) {
            step.doneTasks.add(start.task);
        }
        this.fixture.endRun(start, hasFailed ? "failed" : "done");
    }

    private scheduleOnce(): void {
        const { scheduler, now } = this.fixture;
        const { starts, stops } = scheduler.tick(now);
        starts.forEach(start => this.startRun(start));
        for (const { executor, task, run } of stops) {
            if (this.runs.delete(`${task}#${run}`)) {
                scheduler.recordEnd(now, { executor, task, run, outcome: "stopped", checkpoint: "" });
            }
        }
        scheduler.sendAdviceRequests(now, request => this.sendAdvice(request));
    }

    private startRun(start: StartDecision): void {
        const { executor, task, run } = start;
        const chance = this.random.getInteger(20);
        if (this.hasTrouble && chance < 3) {
            this.fixture.endRun(start, "notStarted");
            return;
        }
        if (this.hasTrouble && this.options.hasCrashes === true && chance < 5) {
            this.fixture.endRun(start, chance === 3 ? "crashed" : "suspected");
            return;
        }
        this.fixture.scheduler.recordRunning(this.fixture.now, executor, { task, run, checkpoint: "", percent: 0 });
        this.runs.set(`${task}#${run}`, { start, endsAt: this.fixture.now + 200 + this.random.getInteger(1_200) });
    }

    private sendAdvice({ step, executors }: AdviceRequest): "sent" | "postponed" | "noHost" {
        const chance = this.hasTrouble ? this.random.getInteger(6) : 5;
        if (chance < 2) {
            return chance === 0 ? "postponed" : "noHost";
        }
        const isLost = chance === 2;
        const grants = executors.filter(executor => isGranted(step, executor)).map(executor => ({
            executor,
            ticket: "t",
        }));
        this.pending.push({
            at: this.fixture.now + (isLost ? lostAdviceMs : adviceMs),
            act: () =>
                this.fixture.scheduler.recordAdvice(this.fixture.now, step, executors, isLost ? undefined : grants),
        });
        return "sent";
    }

    /** Records the steps that had no run for too long although granted executors have room for twice what they need. */
    private checkStanding(): void {
        const used = this.listUsedCores();
        const teamFree = limitCores - [...used.values()].reduce((sum, cores) => sum + cores, 0);
        for (const [step, submitted] of this.steps) {
            const stands = this.isOpen(submitted) && teamFree >= limitCores / 2
                && this.countPlaces(step, submitted, used)
                    >= 2 * (submitted.spec.isGang ? submitted.spec.taskCount : 1);
            const since = stands ? this.idleSince.get(step) ?? this.fixture.now : undefined;
            if (since === undefined) {
                this.idleSince.delete(step);
                continue;
            }
            this.idleSince.set(step, since);
            if (this.fixture.now - since > maxStandingMs && !this.standing.has(step)) {
                this.standing.set(step, `${step}: ${this.reasons.get(step) ?? "no reason"}`);
            }
        }
    }

    /** Returns whether tasks of the step could run and nothing of its job runs. */
    private isOpen({ job, number, spec }: SubmittedStep): boolean {
        const state = this.fixture.getJobState(job);
        const isReady = spec.after.every(earlier => this.isDone(job, earlier));
        return (state === "queued" || state === "running") && isReady && !this.isDone(job, number)
            && ![...this.runs.values()].some(({ start }) => start.task.startsWith(`${job}.`));
    }

    private isDone(job: string, number: number): boolean {
        const submitted = this.steps.get(`${job}.0.${number}`)!;
        return submitted.doneTasks.size >= (submitted.spec.isGang ? 1 : submitted.spec.taskCount);
    }

    private countPlaces(step: string, { queue, spec }: SubmittedStep, used: ReadonlyMap<string, number>): number {
        let places = 0;
        for (let index = 0; index < executorCount; index++) {
            const executor = `e${index}`;
            if (queue === "open" || isGranted(step, executor)) {
                const freeCores = coresPerExecutor - (used.get(executor) ?? 0);
                places += Math.floor(freeCores * 1_000 / spec.resources.cpuMillis);
            }
        }
        return places;
    }

    private listUsedCores(): Map<string, number> {
        const used = new Map<string, number>();
        for (const { start } of this.runs.values()) {
            const step = start.task.slice(0, start.task.lastIndexOf("."));
            const cores = this.steps.get(step)!.spec.resources.cpuMillis / 1_000;
            used.set(start.executor, (used.get(start.executor) ?? 0) + cores);
        }
        return used;
    }
}

/** The advisor grants three quarters of the executors to each step, and always the same. */
function isGranted(step: string, executor: string): boolean {
    let hash = 7;
    for (const character of `${step}/${executor}`) {
        hash = Math.imul(hash ^ character.charCodeAt(0), 0x9e3779b1) >>> 0;
        hash ^= hash >>> 15;
    }
    return hash % 4 !== 0;
}
