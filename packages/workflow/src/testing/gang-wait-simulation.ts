/**
 * Plays a scheduler with gangs beside steady other work, to measure how long gangs wait, for which reasons, and what the
 * other work loses. Executors, advisor and tasks are simulated; nothing fails.
 */
import type { ExecutorId } from "@waxwingroute/core";
import { SeededRandom } from "@waxwingroute/core";
import type { AdviceRequest, StartDecision } from "../types.js";
import { createQueue, createStep, SchedulerFixture, toCores } from "./scheduler-fixture.js";

/** Load and length of one play. All work arrives at random times. */
export interface GangWaitOptions {
    readonly seed: number;
    /** Processors that short tasks of priority 0 (0.8 s) need on average, as a share of the fleet. Default 0. */
    readonly urgentShare?: number;
    /** The same for short tasks (0.8 s) of the priority of the gangs. Default 0. */
    readonly shortShare?: number;
    /** The same for tasks of 6 s of the priority of the gangs. Default 0. */
    readonly longShare?: number;
    /** Number of gangs of 10 tasks of 4.5 cores. Default 1. */
    readonly gangCount?: number;
    /** Time from one gang to the next, ms. Default 3,000. */
    readonly gangIntervalMs?: number;
    /** Time of a call to the advisor, ms. Default 600. */
    readonly adviceMs?: number;
    /** Share of executors that the advisor grants to a step. Default 0.4. */
    readonly grantShare?: number;
    /** Length of the play, ms. Default 60,000. */
    readonly durationMs?: number;
}

/** Wait of one gang. */
export interface GangWait {
    /** Time until it started, or until the end of the play, ms. */
    readonly waitMs: number;
    readonly hasStarted: boolean;
    /** Number of calls to the advisor. */
    readonly calls: number;
    /** Reasons in the order in which they were seen, each with its duration, ms. */
    readonly reasons: string;
}

/** What a play shows. */
export interface GangWaitResult {
    readonly gangs: readonly GangWait[];
    /** Started tasks and their mean and longest wait, by queue, ms. */
    readonly others: Readonly<Record<OtherQueue, { readonly starts: number; readonly meanMs: number; maxMs: number; }>>;
    /** Mean share of processors in use. */
    readonly usedShare: number;
}

type OtherQueue = "urgent" | "short" | "long";

const executorCount = 24;
const coresPerExecutor = 16;
const tickMs = 20;
const firstGangAt = 5_000;
const gangTasks = 10;
const gangMs = 3_000;
const otherCores = 2;
const otherMs: Readonly<Record<OtherQueue, number>> = { urgent: 800, short: 800, long: 6_000 };
const advice = { callMs: 20, perExecutorMs: 1, validMs: 2_000 };

interface GangRow {
    readonly submittedAt: number;
    startedAt: number | undefined;
    calls: number;
    readonly reasons: { readonly reason: string; readonly since: number; }[];
}

/** One play. */
export class GangWaitSimulation {
    private readonly random: SeededRandom;
    private readonly fixture: SchedulerFixture;
    private readonly due: { readonly at: number; readonly act: () => void; }[] = [];
    private readonly gangs = new Map<string, GangRow>();
    private readonly submittedAt = new Map<string, number>();
    private readonly waits: Record<OtherQueue, number[]> = { urgent: [], short: [], long: [] };
    private readonly beganAt: number;
    private usedCores = 0;
    private usedCoreTicks = 0;
    private nextJob = 0;

    constructor(private readonly options: GangWaitOptions) {
        this.random = new SeededRandom(options.seed);
        this.fixture = new SchedulerFixture(executorCount, [
            createQueue("gang", { advice }),
            createQueue("urgent", { priority: 0 }),
            createQueue("short"),
            createQueue("long"),
        ]);
        this.beganAt = this.fixture.now;
    }

    run(): GangWaitResult {
        const { durationMs = 60_000 } = this.options;
        while (this.fixture.now < this.beganAt + durationMs) {
            this.fixture.now += tickMs;
            this.submitOthers("urgent", this.options.urgentShare ?? 0);
            this.submitOthers("short", this.options.shortShare ?? 0);
            this.submitOthers("long", this.options.longShare ?? 0);
            this.submitGang();
            this.processDue();
            this.fixture.scheduler.sendAdviceRequests(this.fixture.now, request => this.sendAdvice(request));
            this.fixture.startTasks().forEach(start => this.recordStart(start));
            this.recordReasons();
            this.usedCoreTicks += this.usedCores;
        }
        const ticks = durationMs / tickMs;
        return {
            gangs: [...this.gangs.values()].map(row => this.toGangWait(row)),
            others: {
                urgent: toSummary(this.waits.urgent),
                short: toSummary(this.waits.short),
                long: toSummary(this.waits.long),
            },
            usedShare: this.usedCoreTicks / ticks / (executorCount * coresPerExecutor),
        };
    }

    private submitOthers(queue: OtherQueue, share: number): void {
        const perTick = share * executorCount * coresPerExecutor / otherCores * tickMs / otherMs[queue];
        const count = Math.floor(perTick) + (this.random.getFloat() < perTick % 1 ? 1 : 0);
        for (let index = 0; index < count; index++) {
            const job = `${queue}${this.nextJob++}`;
            this.submittedAt.set(job, this.fixture.now);
            this.fixture.submit(
                job,
                [createStep({ resources: toCores(otherCores), estimateMs: otherMs[queue] })],
                queue,
            );
        }
    }

    private submitGang(): void {
        const { gangCount = 1, gangIntervalMs = 3_000 } = this.options;
        const index = this.gangs.size;
        if (index < gangCount && this.fixture.now >= this.beganAt + firstGangAt + index * gangIntervalMs) {
            this.gangs.set(`gang${index}`, {
                submittedAt: this.fixture.now,
                startedAt: undefined,
                calls: 0,
                reasons: [],
            });
            const step = createStep({
                taskCount: gangTasks,
                resources: toCores(4.5),
                estimateMs: gangMs,
                isGang: true,
            });
            this.fixture.submit(`gang${index}`, [step], "gang");
        }
    }

    private processDue(): void {
        const { now } = this.fixture;
        const due = this.due.filter(({ at }) => at <= now);
        due.forEach(entry => {
            this.due.splice(this.due.indexOf(entry), 1);
            entry.act();
        });
    }

    private sendAdvice({ step, executors }: AdviceRequest): "sent" {
        const { adviceMs = 600, grantShare = 0.4 } = this.options;
        this.gangs.get(getJob(step))!.calls += 1;
        const grants = executors.filter(executor => this.isGranted(step, executor, grantShare)).map(executor => ({
            executor,
            ticket: "t",
        }));
        this.due.push({
            at: this.fixture.now + adviceMs,
            act: () => this.fixture.scheduler.recordAdvice(this.fixture.now, step, executors, grants),
        });
        return "sent";
    }

    /** The advisor grants the same executors to a step each time. */
    private isGranted(step: string, executor: ExecutorId, grantShare: number): boolean {
        let hash = this.options.seed;
        for (const character of `${step}/${executor}`) {
            hash = Math.imul(hash ^ character.charCodeAt(0), 0x9e3779b1) >>> 0;
            hash ^= hash >>> 15;
        }
        return hash % 1_000 < grantShare * 1_000;
    }

    private recordStart(start: StartDecision): void {
        const job = getJob(start.task);
        const gang = this.gangs.get(job);
        const queue = job.replace(/\d+$/, "") as OtherQueue;
        const cores = gang === undefined ? otherCores : 4.5;
        if (gang === undefined) {
            this.waits[queue].push(this.fixture.now - this.submittedAt.get(job)!);
        }
        else {
            gang.startedAt ??= this.fixture.now;
        }
        this.usedCores += cores;
        // Run times vary by a fifth around the estimate.
        const runMs = (gang === undefined ? otherMs[queue] : gangMs) * (0.8 + 0.4 * this.random.getFloat());
        this.due.push({
            at: this.fixture.now + runMs,
            act: () => {
                this.usedCores -= cores;
                this.fixture.endRun(start, "done");
            },
        });
    }

    private recordReasons(): void {
        const { now } = this.fixture;
        for (const { step, cause } of this.fixture.scheduler.sampleWaitingSteps(now).news) {
            const reasons = this.gangs.get(getJob(step))?.reasons;
            if (reasons !== undefined && reasons.at(-1)?.reason !== cause.reason) {
                reasons.push({ reason: cause.reason, since: now });
            }
        }
    }

    private toGangWait({ submittedAt, startedAt, calls, reasons }: GangRow): GangWait {
        const endedAt = startedAt ?? this.fixture.now;
        return {
            waitMs: endedAt - submittedAt,
            hasStarted: startedAt !== undefined,
            calls,
            reasons: reasons.map(({ reason, since }, index) =>
                `${reason} ${(reasons[index + 1]?.since ?? endedAt) - since}`
            ).join(", "),
        };
    }
}

function toSummary(waits: readonly number[]): { starts: number; meanMs: number; maxMs: number; } {
    return {
        starts: waits.length,
        meanMs: Math.round(waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length)),
        maxMs: waits.reduce((max, wait) => Math.max(max, wait), 0),
    };
}

function getJob(key: string): string {
    return key.slice(0, key.indexOf("."));
}
