/**
 * Drives the workflow scheduler with generated jobs on simulated executors and advisors, and measures what callers get
 * and how much processor time the decisions take.
 *
 * Time advances in steps of one tick. Orders and ends take a fixed time to arrive, and the advisor serves the calls of
 * each host one after another, as on the users' platform.
 */
import type { ExecutorId, JobId, QueueId, RackId, ResourceVector, TeamId, ZoneId } from "@waxwingroute/core";
import { SeededRandom, toId, zeroResources } from "@waxwingroute/core";
import { parseTaskKey, WorkflowScheduler } from "@waxwingroute/workflow";
import type {
    AdviceRequest,
    PoolId,
    RunOutcome,
    StartDecision,
    StepKey,
    StepSpec,
    TaskKey,
} from "@waxwingroute/workflow";

/** Jobs of one kind and the rules of their queue. Sizes are means; they vary with `spread`, a relative deviation. */
export interface JobKind {
    readonly name: string;
    readonly jobsPerSecond: number;
    readonly steps: number;
    readonly tasks: number;
    readonly taskMs: number;
    readonly resources: ResourceVector;
    readonly spread: number;
    /** Share of jobs whose tasks start together. */
    readonly gangShare: number;
    /** Largest relative error of the declared run time. */
    readonly estimateError: number;
    readonly priority: number;
    readonly stretchFactor: number;
    readonly targetLatencyMs: number;
    /** Value of a mean job that meets its objective; a late one has a fifth of it. */
    readonly worth: number;
    readonly advice: {
        readonly callMs: number;
        readonly perExecutorMs: number;
        readonly validMs: number;
        readonly grantedShare: number;
    };
}

/** A span in which more jobs of a kind arrive. */
export interface Burst {
    readonly kind: string;
    readonly fromMs: number;
    readonly toMs: number;
    /** Jobs in this span, as a multiple of the usual ones. */
    readonly factor: number;
}

/** Fleet, jobs and length of a simulated load. */
export interface WorkflowLoadOptions {
    readonly executors: number;
    /** Hosts through which the advisor is asked. */
    readonly hosts: number;
    readonly kinds: readonly JobKind[];
    readonly bursts?: readonly Burst[];
    /** Time in which jobs arrive, ms. */
    readonly durationMs: number;
    readonly seed: number;
    /** Time between ticks, ms. Default 10. */
    readonly tickMs?: number;
}

/** What the callers of one kind of job got. */
export interface KindResult {
    readonly name: string;
    readonly jobs: number;
    /** Jobs that ended within their objective, and within three times their objective. */
    readonly inTime: number;
    readonly late: number;
    /** Worth earned as a share of the worth of all jobs. */
    readonly worthShare: number;
}

/** Result of a simulated load. */
export interface WorkflowLoadResult {
    readonly kinds: readonly KindResult[];
    /** Worth earned by all kinds as a share of the worth of all jobs. */
    readonly worthShare: number;
    readonly starts: number;
    readonly adviceCalls: number;
    /** Processor time of all decisions, ms. */
    readonly decisionMs: number;
    /** Longest tick, ms of processor time. */
    readonly longestTickMs: number;
}

/** Capacity of each simulated executor. */
export const executorCapacity: ResourceVector = { cpuMillis: 16_000, memoryMb: 65_536, accelerators: 0 };
const executorsPerRack = 20;
/** Time from a decision to its effect on an executor, or from an end to the scheduler, ms. */
const messageMs = 30;
/** Interval of the listings that show the progress of a run, ms. */
const listingMs = 1_000;
/** Time in which ends are stored, ms. */
const commitMs = 35;
/** A host with this much work of the advisor outstanding gets no further call, ms. */
const maxAdvisorBacklogMs = 90;
/** Share of the worth that a late job earns. */
const lateWorthShare = 0.2;
/** Time after the last arrival in which jobs can still end, ms. */
const runOutMs = 40_000;

interface JobRecord {
    readonly kind: JobKind;
    readonly arrivedAt: number;
    readonly objectiveAt: number;
    readonly tooLateAt: number;
    readonly worth: number;
    readonly stepMs: readonly number[];
}

type Event = () => void;

/** One simulated load; `run` may be called once. */
export class WorkflowLoad {
    private readonly scheduler = new WorkflowScheduler();
    private readonly random: SeededRandom;
    private readonly jobs = new Map<JobId, JobRecord>();
    private readonly endedAt = new Map<JobId, number>();
    private readonly events = new Map<number, Event[]>();
    private readonly advisorFreeAt: number[];
    private readonly stoppedRuns = new Set<string>();
    private readonly tickMs: number;
    private now = 0;
    private starts = 0;
    private adviceCalls = 0;
    private decisionMs = 0;
    private longestTickMs = 0;

    constructor(private readonly options: WorkflowLoadOptions) {
        this.random = new SeededRandom(options.seed);
        this.tickMs = options.tickMs ?? 10;
        this.advisorFreeAt = Array.from({ length: options.hosts }, () => 0);
        this.scheduler.setEpoch(1);
        this.scheduler.applyRules({
            queues: options.kinds.map(kind => ({
                queue: toId<QueueId>(kind.name),
                pool: toId<PoolId>("pool"),
                priority: kind.priority,
                maxAttempts: 4,
                stretchFactor: kind.stretchFactor,
                targetLatencyMs: kind.targetLatencyMs,
                advice: kind.advice,
            })),
            teams: [],
        });
        for (let index = 0; index < options.executors; index++) {
            this.scheduler.updateExecutor({
                executor: toId<ExecutorId>(`e${index}`),
                pool: toId<PoolId>("pool"),
                zone: toId<ZoneId>("zone"),
                rack: toId<RackId>(`r${Math.floor(index / executorsPerRack)}`),
                labels: [],
                capacity: executorCapacity,
                state: "ready",
            });
        }
    }

    /** Plays the load until all jobs have ended or `runOutMs` after the last arrival. */
    run(): WorkflowLoadResult {
        this.scheduleArrivals();
        const endAt = this.options.durationMs + runOutMs;
        while (this.now < endAt && (this.now < this.options.durationMs || this.endedAt.size < this.jobs.size)) {
            const due = this.events.get(this.now) ?? [];
            this.events.delete(this.now);
            due.forEach(event => event());
            this.tick();
            this.now += this.tickMs;
        }
        const kinds = this.options.kinds.map(kind => this.describe(kind));
        const offered = sum([...this.jobs.values()].map(job => job.worth));
        const earned = sum([...this.jobs].map(([job, record]) => this.computeEarned(job, record)));
        return {
            kinds,
            worthShare: offered === 0 ? 1 : earned / offered,
            starts: this.starts,
            adviceCalls: this.adviceCalls,
            decisionMs: this.decisionMs,
            longestTickMs: this.longestTickMs,
        };
    }

    private scheduleArrivals(): void {
        for (const kind of this.options.kinds) {
            for (let at = 0; at < this.options.durationMs;) {
                const burst = this.options.bursts?.find(({ fromMs, kind: name, toMs }) =>
                    name === kind.name && at >= fromMs && at < toMs
                );
                const rate = kind.jobsPerSecond * (burst?.factor ?? 1);
                at += -Math.log(1 - this.random.getFloat()) * 1_000 / rate;
                if (at < this.options.durationMs) {
                    this.schedule(at, () => this.submit(kind));
                }
            }
        }
    }

    /** Returns a value around the mean that is never below a tenth of it. */
    private sample(mean: number, spread: number): number {
        return mean * Math.max(0.1, 1 + spread * (2 * this.random.getFloat() - 1) * 1.7);
    }

    private submit(kind: JobKind): void {
        const job = toId<JobId>(this.random.getHex(16));
        const stepCount = this.random.getFloat() < kind.steps - Math.floor(kind.steps)
            ? Math.ceil(kind.steps)
            : Math.floor(kind.steps);
        const isGang = this.random.getFloat() < kind.gangShare;
        const stepMs: number[] = [];
        const steps: StepSpec[] = [];
        let work = 0;
        for (let index = 0; index < stepCount; index++) {
            const taskMs = Math.round(this.sample(kind.taskMs, kind.spread));
            const taskCount = Math.max(1, Math.round(this.sample(kind.tasks, kind.spread)));
            const estimateError = 1 + kind.estimateError * (2 * this.random.getFloat() - 1);
            stepMs.push(taskMs);
            work += taskMs * taskCount;
            steps.push({
                taskCount,
                resources: {
                    cpuMillis: Math.round(this.sample(kind.resources.cpuMillis, kind.spread)),
                    memoryMb: Math.round(this.sample(kind.resources.memoryMb, kind.spread)),
                    accelerators: 0,
                },
                estimateMs: Math.max(1, Math.round(taskMs * estimateError)),
                after: index === 0 ? [] : [index - 1],
                isGang,
                prefersOneRack: false,
                canRunCopies: false,
                savesCheckpoints: false,
                isLongRunning: false,
                usesIdleProcessors: false,
            });
        }
        const { advice, stretchFactor, targetLatencyMs, worth } = kind;
        const chainMs = sum(stepMs) + stepCount * (advice.callMs + 30 * advice.perExecutorMs);
        const objectiveMs = stretchFactor * chainMs + targetLatencyMs;
        const meanWork = kind.taskMs * kind.tasks * kind.steps;
        this.jobs.set(job, {
            kind,
            arrivedAt: this.now,
            objectiveAt: this.now + objectiveMs,
            tooLateAt: this.now + 3 * objectiveMs,
            worth: worth * Math.min(4, 0.3 + 0.7 * work / meanWork),
            stepMs,
        });

        this.measure(() =>
            this.scheduler.addJob(this.now, {
                job,
                queue: toId<QueueId>(kind.name),
                team: toId<TeamId>("team"),
                spec: { payload: "", steps },
                acceptedAt: this.now,
                mayHaveStarted: false,
            })
        );
    }

    private tick(): void {
        const decisions = this.measure(() => this.scheduler.tick(this.now));
        decisions.starts.forEach(start => this.start(start));
        decisions.stops.forEach(({ executor, task, run }) => {
            this.stoppedRuns.add(`${task}#${run}`);
            this.schedule(this.now + 2 * messageMs, () => this.end(executor, task, run, "stopped"));
        });
        for (const { job, state } of decisions.changes) {
            if (state !== "queued" && state !== "running") {
                this.endedAt.set(job, this.now + commitMs);
                this.measure(() => this.scheduler.forgetJob(job));
            }
        }
        this.measure(() => this.scheduler.sendAdviceRequests(this.now, request => this.ask(request)));
    }

    private start({ executor, task, run }: StartDecision): void {
        this.starts += 1;
        const parts = parseTaskKey(task)!;
        const taskMs = this.jobs.get(parts.job)!.stepMs[parts.step]!;
        const key = `${task}#${run}`;
        const startedAt = this.now + 2 * messageMs;
        for (let elapsed = 0; elapsed < taskMs; elapsed += listingMs) {
            const percent = Math.floor(100 * elapsed / taskMs);
            this.schedule(startedAt + elapsed, () => {
                if (!this.stoppedRuns.has(key)) {
                    const listed = { task, run, checkpoint: "", percent };
                    this.measure(() => this.scheduler.recordRunning(this.now, executor, listed));
                }
            });
        }
        this.schedule(startedAt + taskMs, () => {
            if (!this.stoppedRuns.has(key)) {
                this.end(executor, task, run, "done");
            }
        });
    }

    private end(executor: ExecutorId, task: TaskKey, run: number, outcome: RunOutcome): void {
        this.measure(() => this.scheduler.recordEnd(this.now, { executor, task, run, outcome, checkpoint: "" }));
    }

    private ask(request: AdviceRequest): "sent" | "noHost" {
        const host = this.advisorFreeAt.reduce(
            (best, freeAt, index) => freeAt < this.advisorFreeAt[best]! ? index : best,
            0,
        );
        const startsAt = Math.max(this.now + messageMs, this.advisorFreeAt[host]!);
        if (startsAt - this.now > maxAdvisorBacklogMs) {
            return "noHost";
        }
        this.adviceCalls += 1;
        const { advice } = this.options.kinds.find(kind => kind.name === request.queue)!;
        const readyAt = startsAt + advice.callMs + advice.perExecutorMs * request.executors.length;
        this.advisorFreeAt[host] = readyAt;
        const grants = request.executors.filter(executor => isGranted(request.step, executor, advice.grantedShare))
            .map(executor => ({ executor, ticket: "" }));
        this.schedule(
            readyAt + messageMs,
            () => this.measure(() => this.scheduler.recordAdvice(this.now, request.step, request.executors, grants)),
        );
        return "sent";
    }

    private schedule(at: number, event: Event): void {
        const tickAt = Math.max(this.now + this.tickMs, Math.ceil(at / this.tickMs) * this.tickMs);
        const events = this.events.get(tickAt);
        if (events === undefined) {
            this.events.set(tickAt, [event]);
        }
        else {
            events.push(event);
        }
    }

    private measure<T>(decide: () => T): T {
        const startedAt = performance.now();
        const result = decide();
        const tookMs = performance.now() - startedAt;
        this.decisionMs += tookMs;
        this.longestTickMs = Math.max(this.longestTickMs, tookMs);
        return result;
    }

    private describe(kind: JobKind): KindResult {
        const records = [...this.jobs].filter(([, record]) => record.kind === kind);
        const ends = records.map(([job, record]) => ({ record, at: this.endedAt.get(job) ?? Infinity }));
        const offered = sum(records.map(([, record]) => record.worth));
        return {
            name: kind.name,
            jobs: records.length,
            inTime: ends.filter(({ at, record }) => at <= record.objectiveAt).length,
            late: ends.filter(({ at, record }) => at > record.objectiveAt && at <= record.tooLateAt).length,
            worthShare: offered === 0 ? 1 : sum(records.map(row => this.computeEarned(...row))) / offered,
        };
    }

    private computeEarned(job: JobId, record: JobRecord): number {
        const at = this.endedAt.get(job) ?? Infinity;
        return at <= record.objectiveAt ? record.worth : at <= record.tooLateAt ? lateWorthShare * record.worth : 0;
    }
}

/** Returns whether the advisor lets the step run on the executor; the answer never changes. */
function isGranted(step: StepKey, executor: ExecutorId, share: number): boolean {
    let hash = 2_166_136_261;
    for (const character of step + executor) {
        hash = Math.imul(hash ^ character.charCodeAt(0), 16_777_619) >>> 0;
    }
    return (Math.imul(hash ^ hash >>> 15, 2_246_822_519) >>> 0) / 2 ** 32 < share;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/** The kinds of job of a large order service; their rates suit a fleet of 378 executors, of which they use 80 %. */
export const orderServiceKinds: readonly JobKind[] = [
    {
        name: "cut-list",
        jobsPerSecond: 5.83,
        steps: 1.2,
        tasks: 16,
        taskMs: 5_000,
        resources: { ...zeroResources, cpuMillis: 4_500, memoryMb: 9_400 },
        spread: 0.45,
        gangShare: 1,
        estimateError: 0.2,
        priority: 1,
        stretchFactor: 2.2,
        targetLatencyMs: 1_200,
        worth: 4.61,
        advice: { callMs: 390, perExecutorMs: 5.6, validMs: 2_500, grantedShare: 0.35 },
    },
    {
        name: "quote-batch",
        jobsPerSecond: 7.78,
        steps: 1.5,
        tasks: 19,
        taskMs: 2_700,
        resources: { ...zeroResources, cpuMillis: 2_800, memoryMb: 7_900 },
        spread: 0.5,
        gangShare: 0,
        estimateError: 0.2,
        priority: 2,
        stretchFactor: 4,
        targetLatencyMs: 3_000,
        worth: 2.16,
        advice: { callMs: 140, perExecutorMs: 2, validMs: 2_500, grantedShare: 0.45 },
    },
    {
        name: "order-confirm",
        jobsPerSecond: 55.3,
        steps: 1,
        tasks: 3.1,
        taskMs: 1_000,
        resources: { ...zeroResources, cpuMillis: 3_900, memoryMb: 15_000 },
        spread: 0.5,
        gangShare: 0.3,
        estimateError: 0.9,
        priority: 0,
        stretchFactor: 1.5,
        targetLatencyMs: 600,
        worth: 0.426,
        advice: { callMs: 20, perExecutorMs: 0.28, validMs: 2_500, grantedShare: 0.7 },
    },
];
