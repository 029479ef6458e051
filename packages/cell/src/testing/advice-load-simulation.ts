/**
 * Plays the scheduler and the dispatcher of an owner with a fake advisor service and simple executors under a synthetic
 * load, and measures how long steps wait for calls to the advisor. The traffic ends before the play does, so that a job
 * that still stands then is found.
 */
import type { ExecutorId, JobId, RackId, TeamId, ZoneId } from "@waxwingroute/core";
import { ManualClock, toId } from "@waxwingroute/core";
import type { AdviceRequest, AdviceSendResult, StartDecision, StepKey, TaskKey } from "@waxwingroute/workflow";
import { WorkflowScheduler } from "@waxwingroute/workflow";
import { AdviceDispatcher } from "../advice-dispatcher.js";
import { AdviceLoadMonitor } from "./advice-load-monitor.js";
import type { AdviceLoadReport, PlayedJob, PlayedStep } from "./advice-load-monitor.js";
import { AdviceLoad, isGrantedTo, loadKinds, loadPool, teamCount } from "./advice-load.js";
import { FakeAdviceService } from "./fake-advisor.js";
import { createStrictSupervisor } from "./strict-supervisor.js";

/** The load and the disturbances of a play. */
export interface AdviceLoadSimulationOptions {
    readonly seed: number;
    /** Hosts through which the advisor is asked. Default 8. */
    readonly hostCount?: number;
    /** Factor on the rates of submissions. Default 1. */
    readonly rateFactor?: number;
    /** Duration of the traffic, ms. Default 40,000. */
    readonly trafficMs?: number;
    /** Duration of the play after the traffic has ended, ms. Default 30,000. */
    readonly drainMs?: number;
    /** When one team begins to submit 7.5 times its usual number of jobs, for 6.5 s, ms. Default: never. */
    readonly hotFromMs?: number;
    /** When the owner falls silent; another one with all open jobs and no answers begins 2 s later, ms. Default: never. */
    readonly takeoverMs?: number;
    /** Whether a host at a time goes away for 3 s, one each 5 s during the traffic. Default: no. */
    readonly hasChangingHosts?: boolean;
}

const executorCount = 33;
const capacity = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 };
const stepMs = 10;
const sampleMs = 100;
const takeoverGapMs = 2_000;
const hotMs = 6_500;
const hostChangeIntervalMs = 5_000;
const hostAwayMs = 3_000;
/** Rate of a team before its jobs rank behind those of others, as a multiple of its usual rate. */
const teamRateFactor = 1.5;

interface ActiveRun {
    readonly start: StartDecision;
    readonly endsAt: number;
}

/** One play. */
export class AdviceLoadSimulation {
    private readonly clock = new ManualClock(1_000);
    private readonly startedAt = this.clock.getNow();
    private readonly load: AdviceLoad;
    private readonly service: FakeAdviceService;
    private readonly steps = new Map<StepKey, PlayedStep>();
    private readonly jobs = new Map<JobId, PlayedJob>();
    private readonly runs = new Map<string, ActiveRun>();
    private readonly monitor: AdviceLoadMonitor;
    private readonly hosts: string[];
    private readonly executors: readonly ExecutorId[];
    private awayHost: string | undefined;
    private epoch = 0;
    private scheduler = new WorkflowScheduler();
    private dispatcher: AdviceDispatcher;
    private isOwned = true;

    constructor(private readonly options: AdviceLoadSimulationOptions) {
        const { hostCount = 8, rateFactor = 1, seed } = options;
        this.load = new AdviceLoad({ seed, rateFactor });
        this.hosts = Array.from({ length: hostCount }, (_, index) => `h${index}`);
        this.executors = Array.from({ length: executorCount }, (_, index) => toId<ExecutorId>(`e${index}`));
        this.service = new FakeAdviceService({
            clock: this.clock,
            getRules: step => this.steps.get(step)!.kind.rules.advice!,
            isGranted: (step, executor) => isGrantedTo(this.steps.get(step)!.kind, step, executor),
        });
        this.monitor = new AdviceLoadMonitor({
            executors: this.executors,
            capacity,
            steps: this.steps,
            jobs: this.jobs,
            listRuns: () => [...this.runs.values()].map(({ start }) => start),
        });
        this.dispatcher = this.startOwner();
    }

    /** Plays the load and returns what was measured. */
    async run(): Promise<AdviceLoadReport> {
        const { trafficMs = 40_000, drainMs = 30_000 } = this.options;
        while (this.elapsedMs < trafficMs + drainMs) {
            await this.clock.advance(stepMs);
            if (this.elapsedMs < trafficMs) {
                this.submitJobs();
                this.updateHosts();
            }
            else if (this.awayHost !== undefined) {
                this.restoreHost(this.awayHost);
            }
            this.endDueRuns();
            this.replaceOwner();
            if (this.isOwned) {
                this.scheduleOnce();
            }
            this.monitor.countBusyHosts(this.hosts.map(host => this.service.getAdvisor(host).queueLength > 0));
            if (this.elapsedMs % sampleMs < stepMs) {
                this.monitor.sample(this.clock.getNow(), this.elapsedMs - trafficMs, this.isOwned);
            }
        }
        return this.monitor.createReport(this.clock.getNow(), this.service.counts);
    }

    private get elapsedMs(): number {
        return this.clock.getNow() - this.startedAt;
    }

    private startOwner(): AdviceDispatcher {
        this.epoch += 1;
        const { epoch } = this;
        this.scheduler = new WorkflowScheduler();
        this.scheduler.setEpoch(epoch);
        const { rateFactor = 1 } = this.options;
        const rate = teamRateFactor * rateFactor * loadKinds.reduce((sum, kind) => sum + kind.jobsPerSecond, 0)
            / teamCount;
        this.scheduler.applyRules({
            queues: loadKinds.map(kind => kind.rules),
            teams: Array.from({ length: teamCount }, (_, index) => ({
                team: toId<TeamId>(`t${index}`),
                weight: rate,
                limit: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
            })),
        });
        this.executors.forEach((executor, index) =>
            this.scheduler.updateExecutor({
                executor,
                pool: loadPool,
                zone: toId<ZoneId>("zone"),
                rack: toId<RackId>(`r${Math.floor(index / 4)}`),
                labels: [],
                capacity,
                state: "ready",
            })
        );
        this.dispatcher = new AdviceDispatcher({
            clock: this.clock,
            logger: { write: () => undefined },
            supervisor: createStrictSupervisor(this.clock),
            onAnswer: (step, asked, grants) => {
                if (epoch === this.epoch && this.isOwned) {
                    const now = this.clock.getNow();
                    const list = grants.ok ? grants.val : undefined;
                    this.scheduler.recordAdvice(now, step, asked, list);
                    this.monitor.recordAnswer(now, step, asked, list);
                }
            },
        });
        this.hosts.filter(host => host !== this.awayHost).forEach(host => this.addHost(host));
        return this.dispatcher;
    }

    private addHost(name: string): void {
        this.dispatcher.addHost({ name, advisor: this.service.getAdvisor(name) });
    }

    private submitJobs(): void {
        const { hotFromMs = Infinity } = this.options;
        const isHot = this.elapsedMs >= hotFromMs && this.elapsedMs < hotFromMs + hotMs;
        for (const { kind, steps, team } of this.load.createJobs(stepMs, isHot)) {
            const id = toId<JobId>(`j${this.jobs.size}`);
            const job: PlayedJob = {
                submission: {
                    job: id,
                    queue: kind.rules.queue,
                    team: toId<TeamId>(`t${team}`),
                    spec: { payload: "", steps },
                    acceptedAt: this.clock.getNow(),
                    mayHaveStarted: false,
                },
                kind,
                steps: steps.map((spec, number) => ({
                    key: toId<StepKey>(`${id}.0.${number}`),
                    kind,
                    spec,
                    runsByDoneTask: new Map(),
                    tickets: new Map(),
                    refused: new Set(),
                    calls: 0,
                    isAsked: false,
                    isCallInFlight: false,
                    needSince: undefined,
                    dueWorkMs: 0,
                })),
                doneAt: undefined,
                idleSince: undefined,
            };
            this.jobs.set(id, job);
            job.steps.forEach(step => this.steps.set(step.key, step));
            if (this.isOwned) {
                this.scheduler.addJob(this.clock.getNow(), job.submission);
            }
        }
    }

    private endDueRuns(): void {
        const now = this.clock.getNow();
        for (const [key, { endsAt, start }] of this.runs) {
            if (endsAt > now) {
                continue;
            }
            this.runs.delete(key);
            const { executor, task, run } = start;
            const step = this.steps.get(toStepKey(task))!;
            step.runsByDoneTask.set(task, run);
            const job = this.jobs.get(toId<JobId>(task.split(".")[0]!))!;
            if (job.steps.every(({ runsByDoneTask, spec }) => runsByDoneTask.size === spec.taskCount)) {
                job.doneAt = now;
            }
            if (this.isOwned) {
                this.scheduler.recordEnd(now, { executor, task, run, outcome: "done", checkpoint: "" });
            }
        }
    }

    private scheduleOnce(): void {
        const now = this.clock.getNow();
        const { starts, stops } = this.scheduler.tick(now);
        for (const start of starts) {
            const { executor, task, run } = start;
            this.scheduler.recordRunning(now, executor, { task, run, checkpoint: "", percent: 0 });
            const { spec } = this.steps.get(toStepKey(task))!;
            this.runs.set(`${task}#${run}`, { start, endsAt: now + this.load.generateRunMs(spec) });
        }
        for (const { executor, task, run } of stops) {
            this.runs.delete(`${task}#${run}`);
            this.scheduler.recordEnd(now, { executor, task, run, outcome: "stopped", checkpoint: "" });
        }
        this.scheduler.sendAdviceRequests(now, request => this.sendAdvice(request));
    }

    private sendAdvice(request: AdviceRequest): AdviceSendResult {
        const { advice } = this.scheduler.getQueueRules(request.queue)!;
        const result = this.dispatcher.send(request, advice!);
        this.monitor.recordSending(this.clock.getNow(), request, result);
        return result;
    }

    /** Ends the owner, or starts the next one with the open jobs, the ends and runs of their tasks, and no answers. */
    private replaceOwner(): void {
        const { takeoverMs = Infinity } = this.options;
        if (this.elapsedMs >= takeoverMs && this.epoch === 1) {
            this.isOwned = false;
        }
        if (this.isOwned || this.elapsedMs < takeoverMs + takeoverGapMs) {
            return;
        }
        const now = this.clock.getNow();
        this.startOwner();
        this.isOwned = true;
        for (const { doneAt, steps, submission } of this.jobs.values()) {
            if (doneAt !== undefined) {
                continue;
            }
            this.scheduler.addJob(now, { ...submission, mayHaveStarted: true });
            for (const { runsByDoneTask } of steps) {
                runsByDoneTask.forEach((run, task) =>
                    this.scheduler.recordEnd(now, {
                        executor: this.executors[0]!,
                        task,
                        run,
                        outcome: "done",
                        checkpoint: "",
                    })
                );
            }
        }
        for (const { start: { executor, task, run } } of this.runs.values()) {
            this.scheduler.adoptRun(now, executor, { task, run, checkpoint: "", percent: 0 });
        }
        this.scheduler.releaseUnknownTasks();
        this.monitor.forgetAnswers(now);
    }

    private updateHosts(): void {
        if (this.options.hasChangingHosts !== true || this.hosts.length === 1) {
            return;
        }
        const phase = this.elapsedMs % hostChangeIntervalMs;
        if (phase < stepMs && this.awayHost === undefined) {
            this.awayHost = this.hosts[Math.floor(this.elapsedMs / hostChangeIntervalMs) % this.hosts.length]!;
            const advisor = this.service.getAdvisor(this.awayHost);
            advisor.mode = "silent";
            this.dispatcher.removeHost({ name: this.awayHost, advisor });
        }
        else if (phase >= hostAwayMs && this.awayHost !== undefined) {
            this.restoreHost(this.awayHost);
        }
    }

    private restoreHost(name: string): void {
        this.service.getAdvisor(name).mode = "up";
        this.awayHost = undefined;
        this.addHost(name);
    }
}

function toStepKey(task: TaskKey): StepKey {
    return toId<StepKey>(task.slice(0, task.lastIndexOf(".")));
}
