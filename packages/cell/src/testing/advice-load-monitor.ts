/**
 * Measures a play of the advice load from what its steps, calls and runs show, without the scheduler's own account: how
 * long steps needed a call and had none in flight, and which jobs stand after the traffic has ended.
 */
import type { ExecutorId, JobId, ResourceVector } from "@waxwingroute/core";
import { addResources, subtractResources, zeroResources } from "@waxwingroute/core";
import type {
    AdviceGrant,
    AdviceRequest,
    AdviceSendResult,
    JobSubmission,
    StartDecision,
    StepKey,
    StepSpec,
    TaskKey,
} from "@waxwingroute/workflow";
import type { LoadKind } from "./advice-load.js";
import { isGrantedTo } from "./advice-load.js";
import type { FakeAdvisorCounts } from "./fake-advisor.js";

/** A step of a play and what its owner knows from the advisor. */
export interface PlayedStep {
    readonly key: StepKey;
    readonly kind: LoadKind;
    readonly spec: StepSpec;
    readonly runsByDoneTask: Map<TaskKey, number>;
    /** When the tickets of granted executors expire. */
    readonly tickets: Map<ExecutorId, number>;
    readonly refused: Set<ExecutorId>;
    calls: number;
    /** Whether the present owner has sent a call. */
    isAsked: boolean;
    isCallInFlight: boolean;
    /** Since when the step needs a call and has none in flight; `undefined`: it needs none. */
    needSince: number | undefined;
    /** Expected work of the calls that were needed when this one began to be, its own included, ms. */
    dueWorkMs: number;
}

/** How long a step needed a call and had none in flight. */
export interface MeasuredWait {
    readonly step: StepKey;
    readonly waitMs: number;
    /** See `PlayedStep.dueWorkMs`. */
    readonly dueWorkMs: number;
}

export interface PlayedJob {
    readonly submission: JobSubmission;
    readonly kind: LoadKind;
    readonly steps: readonly PlayedStep[];
    doneAt: number | undefined;
    /** Since when nothing of the job runs although it could; `undefined`: something runs, or nothing could. */
    idleSince: number | undefined;
}

/** What was measured of the jobs of one queue. */
export interface QueueReport {
    jobs: number;
    /** Jobs done before their objective. */
    inTime: number;
    unfinished: number;
    calls: number;
    /** Calls for a step after its first one. */
    repeatedCalls: number;
    /** Calls that were answered without a grant. */
    emptyAnswers: number;
    /** Expected work of the calls sent, ms. */
    workMs: number;
    /** Longest time for which a step needed its first call by an owner, and any call, and had none in flight, ms. */
    longestFirstWaitMs: number;
    longestWaitMs: number;
}

/** What one play measured. */
export interface AdviceLoadReport {
    readonly queues: Readonly<Record<string, QueueReport>>;
    /** Share of the time in which a host has a call at the service: of all time, and while a step was due for 1 s. */
    readonly busyShare: number;
    readonly busyShareWhileDue: number;
    /** Results of the dispatcher other than `sent`. */
    readonly noHost: number;
    readonly postponed: number;
    readonly longestFirstWaitMs: number;
    readonly longestWaitMs: number;
    /** Most steps that needed a call and had none in flight at a time, and the expected work of these calls, ms. */
    readonly mostDue: number;
    readonly mostDueWorkMs: number;
    /** All waits. */
    readonly waits: readonly MeasuredWait[];
    /** Jobs that stood after the traffic had ended, although executors had room for them. */
    readonly standing: readonly string[];
    readonly service: FakeAdvisorCounts;
}

/** What a monitor reads. */
export interface AdviceLoadMonitorOptions {
    readonly executors: readonly ExecutorId[];
    readonly capacity: ResourceVector;
    readonly steps: ReadonlyMap<StepKey, PlayedStep>;
    readonly jobs: ReadonlyMap<JobId, PlayedJob>;
    readonly listRuns: () => readonly StartDecision[];
}

/** Time of calm before jobs have to run, and time for which they may then stand, ms: rules of the platform. */
const settleMs = 14_000;
const maxStandingMs = 3_000;
/** Time from which a step that needs a call counts in `busyShareWhileDue`, ms. */
const overdueMs = 1_000;
/** Time for which a ticket must still be valid when a start is decided, ms. */
const ticketMarginMs = 250;

/** The measurements of one play. */
export class AdviceLoadMonitor {
    private readonly queues = new Map<string, QueueReport>();
    private readonly waits: MeasuredWait[] = [];
    private readonly standing = new Map<JobId, string>();
    private busyHosts = 0;
    private countedHosts = 0;
    private busyHostsWhileDue = 0;
    private countedHostsWhileDue = 0;
    private isOverdue = false;
    private noHost = 0;
    private postponed = 0;
    private mostDue = 0;
    private mostDueWorkMs = 0;

    constructor(private readonly options: AdviceLoadMonitorOptions) {}

    recordSending(now: number, { executors, step }: AdviceRequest, result: AdviceSendResult): void {
        this.noHost += result === "noHost" ? 1 : 0;
        this.postponed += result === "postponed" ? 1 : 0;
        if (result !== "sent") {
            return;
        }
        const row = this.options.steps.get(step)!;
        const queue = this.getQueue(row.kind);
        const { callMs, perExecutorMs } = row.kind.rules.advice!;
        queue.calls += 1;
        queue.repeatedCalls += row.calls > 0 ? 1 : 0;
        queue.workMs += callMs + perExecutorMs * executors.length;
        this.recordWait(now, row);
        row.calls += 1;
        row.isAsked = true;
        row.isCallInFlight = true;
        row.needSince = undefined;
    }

    /** Records an answer; `grants` is `undefined` if the call failed. */
    recordAnswer(
        now: number,
        step: StepKey,
        asked: readonly ExecutorId[],
        grants: readonly AdviceGrant[] | undefined,
    ): void {
        const row = this.options.steps.get(step)!;
        row.isCallInFlight = false;
        if (grants === undefined) {
            return;
        }
        this.getQueue(row.kind).emptyAnswers += grants.length === 0 ? 1 : 0;
        asked.forEach(executor => row.refused.add(executor));
        for (const { executor } of grants) {
            row.refused.delete(executor);
            row.tickets.set(executor, now + row.kind.rules.advice!.validMs);
        }
    }

    /** Records that another owner begins, which has no answers. */
    forgetAnswers(now: number): void {
        for (const step of this.options.steps.values()) {
            this.recordWait(now, step);
            step.tickets.clear();
            step.refused.clear();
            step.isAsked = false;
            step.isCallInFlight = false;
            step.needSince = undefined;
        }
    }

    countBusyHosts(areBusy: readonly boolean[]): void {
        const busy = areBusy.filter(isBusy => isBusy).length;
        this.busyHosts += busy;
        this.countedHosts += areBusy.length;
        this.busyHostsWhileDue += this.isOverdue ? busy : 0;
        this.countedHostsWhileDue += this.isOverdue ? areBusy.length : 0;
    }

    /** Examines all open jobs. `calmMs` is the time since the traffic has ended. */
    sample(now: number, calmMs: number, isOwned: boolean): void {
        const runs = this.options.listRuns();
        const free = this.listFree(runs);
        const runningJobs = new Set(runs.map(({ task }) => task.split(".")[0]));
        const activeTasks = new Map<string, number>();
        for (const { task } of runs) {
            const step = task.slice(0, task.lastIndexOf("."));
            activeTasks.set(step, (activeTasks.get(step) ?? 0) + 1);
        }
        const freeCpu = [...free.values()].reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
        const isHalfFree = freeCpu >= this.options.executors.length * this.options.capacity.cpuMillis / 2;
        let due = 0;
        let dueWorkMs = 0;
        const newlyDue: PlayedStep[] = [];
        this.isOverdue = false;
        for (const [id, job] of this.options.jobs) {
            if (job.doneAt !== undefined) {
                continue;
            }
            const step = job.steps.find(({ runsByDoneTask, spec }) => runsByDoneTask.size < spec.taskCount)!;
            const waiting = step.spec.taskCount - step.runsByDoneTask.size - (activeTasks.get(step.key) ?? 0);
            const needsCall = isOwned && waiting > 0 && !step.isCallInFlight
                && this.needsCall(now, step, waiting, free);
            if (!needsCall) {
                this.recordWait(now, step);
                step.needSince = undefined;
            }
            else if (step.needSince === undefined) {
                step.needSince = now;
                newlyDue.push(step);
            }
            this.isOverdue ||= step.needSince !== undefined && now - step.needSince >= overdueMs;
            due += needsCall ? 1 : 0;
            dueWorkMs += needsCall ? computeWorkMs(step.kind, this.options.executors.length) : 0;
            const canRun = isHalfFree && waiting > 0 && !runningJobs.has(id)
                && this.countPlaces(step, free, executor => isGrantedTo(step.kind, step.key, executor)) >= 2 * waiting;
            job.idleSince = canRun ? job.idleSince ?? now : undefined;
            const idleMs = job.idleSince === undefined ? 0 : now - job.idleSince;
            if (calmMs >= settleMs + maxStandingMs && idleMs >= maxStandingMs) {
                this.standing.set(id, `${step.key} of ${step.kind.rules.queue}, ${step.calls} calls`);
            }
        }
        newlyDue.forEach(step => {
            step.dueWorkMs = dueWorkMs;
        });
        this.mostDue = Math.max(this.mostDue, due);
        this.mostDueWorkMs = Math.max(this.mostDueWorkMs, dueWorkMs);
    }

    createReport(now: number, service: FakeAdvisorCounts): AdviceLoadReport {
        for (const step of this.options.steps.values()) {
            this.recordWait(now, step);
        }
        for (const { doneAt, kind, steps, submission } of this.options.jobs.values()) {
            const queue = this.getQueue(kind);
            const { stretchFactor, targetLatencyMs } = kind.rules;
            const pathMs = steps.reduce((sum, { spec }) => sum + spec.estimateMs, 0);
            const allowedMs = stretchFactor * pathMs + targetLatencyMs;
            queue.jobs += 1;
            queue.unfinished += doneAt === undefined ? 1 : 0;
            queue.inTime += doneAt !== undefined && doneAt - submission.acceptedAt <= allowedMs ? 1 : 0;
        }
        const rows = [...this.queues.values()];
        return {
            queues: Object.fromEntries(this.queues),
            busyShare: this.busyHosts / this.countedHosts,
            busyShareWhileDue: this.busyHostsWhileDue / Math.max(1, this.countedHostsWhileDue),
            noHost: this.noHost,
            postponed: this.postponed,
            longestFirstWaitMs: Math.max(...rows.map(row => row.longestFirstWaitMs)),
            longestWaitMs: Math.max(...rows.map(row => row.longestWaitMs)),
            mostDue: this.mostDue,
            mostDueWorkMs: this.mostDueWorkMs,
            waits: this.waits,
            standing: [...this.standing.values()],
            service,
        };
    }

    private recordWait(now: number, step: PlayedStep): void {
        if (step.needSince !== undefined) {
            const queue = this.getQueue(step.kind);
            const waitMs = now - step.needSince;
            this.waits.push({ step: step.key, waitMs, dueWorkMs: step.dueWorkMs });
            queue.longestWaitMs = Math.max(queue.longestWaitMs, waitMs);
            queue.longestFirstWaitMs = step.isAsked
                ? queue.longestFirstWaitMs
                : Math.max(queue.longestFirstWaitMs, waitMs);
        }
    }

    /**
     * Returns whether a call may let more tasks start now: tickets do not cover the waiting tasks, and executors that were
     * not refused have room without one. A step without any answer always needs a call.
     */
    private needsCall(
        now: number,
        step: PlayedStep,
        waiting: number,
        free: ReadonlyMap<ExecutorId, ResourceVector>,
    ): boolean {
        if (!step.isAsked) {
            return true;
        }
        const isTicketValid = (executor: ExecutorId) => (step.tickets.get(executor) ?? 0) - ticketMarginMs > now;
        const covered = this.countPlaces(step, free, isTicketValid);
        const others = this.countPlaces(
            step,
            free,
            executor => !step.refused.has(executor) && !isTicketValid(executor),
        );
        return covered < waiting && others > 0 && (!step.spec.isGang || covered + others >= waiting);
    }

    private countPlaces(
        { spec: { resources } }: PlayedStep,
        free: ReadonlyMap<ExecutorId, ResourceVector>,
        isUsable: (executor: ExecutorId) => boolean,
    ): number {
        let places = 0;
        for (const [executor, { cpuMillis, memoryMb }] of free) {
            if (isUsable(executor)) {
                places += Math.min(
                    Math.floor(cpuMillis / resources.cpuMillis),
                    Math.floor(memoryMb / resources.memoryMb),
                );
            }
        }
        return places;
    }

    private listFree(runs: readonly StartDecision[]): Map<ExecutorId, ResourceVector> {
        const used = new Map<ExecutorId, ResourceVector>();
        for (const { executor, task } of runs) {
            const { resources } = this.options.steps.get(task.slice(0, task.lastIndexOf(".")) as StepKey)!.spec;
            used.set(executor, addResources(used.get(executor) ?? zeroResources, resources));
        }
        const { capacity, executors } = this.options;
        return new Map(executors.map(id => [id, subtractResources(capacity, used.get(id) ?? zeroResources)]));
    }

    private getQueue({ rules }: LoadKind): QueueReport {
        const row = this.queues.get(rules.queue) ?? {
            jobs: 0,
            inTime: 0,
            unfinished: 0,
            calls: 0,
            repeatedCalls: 0,
            emptyAnswers: 0,
            workMs: 0,
            longestFirstWaitMs: 0,
            longestWaitMs: 0,
        };
        this.queues.set(rules.queue, row);
        return row;
    }
}

function computeWorkMs({ rules: { advice } }: LoadKind, executors: number): number {
    return advice!.callMs + advice!.perExecutorMs * executors;
}
