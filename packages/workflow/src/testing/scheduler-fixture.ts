/** Test fixture: a scheduler with executors and a clock, and functions that build its inputs. */
import type { ExecutorId, JobId, QueueId, RackId, ResourceVector, TeamId, ZoneId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { WorkflowScheduler } from "../scheduler.js";
import type {
    AdviceRequest,
    ExecutorState,
    JobSubmission,
    PoolId,
    QueueRules,
    RunOutcome,
    StartDecision,
    StepSpec,
    TickDecisions,
} from "../types.js";

const pool = toId<PoolId>("pool");
export const team = toId<TeamId>("team");
export const noLimit: ResourceVector = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** Returns `count` processor cores and a little memory. */
export function toCores(count: number): ResourceVector {
    return { cpuMillis: count * 1_000, memoryMb: 100, accelerators: 0 };
}

/** Returns the rules of a queue with two attempts a task and no advisor, apart from what `rules` sets. */
export function createQueue(name: string, rules: Partial<QueueRules> = {}): QueueRules {
    return {
        queue: toId<QueueId>(name),
        pool,
        priority: 1,
        maxAttempts: 2,
        stretchFactor: 2,
        targetLatencyMs: 1_000,
        ...rules,
    };
}

/** Returns a step of one independent task of one core and one second, apart from what `step` sets. */
export function createStep(step: Partial<StepSpec> = {}): StepSpec {
    return {
        taskCount: 1,
        resources: toCores(1),
        estimateMs: 1_000,
        after: [],
        isGang: false,
        prefersOneRack: false,
        canRunCopies: false,
        savesCheckpoints: false,
        isLongRunning: false,
        usesIdleProcessors: false,
        ...step,
    };
}

/** A scheduler with executors `e0`, `e1` and so on, of 16 cores each and four to a rack, and a clock. */
export class SchedulerFixture {
    readonly scheduler = new WorkflowScheduler();
    now = 1_000;

    constructor(
        readonly executorCount: number,
        queues: readonly QueueRules[] = [createQueue("queue")],
        limit: ResourceVector = noLimit,
    ) {
        this.scheduler.setEpoch(1);
        this.scheduler.applyRules({ queues, teams: [{ team, weight: 0, limit }] });
        for (let index = 0; index < executorCount; index++) {
            this.putExecutor(index, "ready");
        }
    }

    /** Adds or changes an executor. */
    putExecutor(
        index: number,
        state: ExecutorState,
        labels: readonly string[] = [],
        leavesAt: number | undefined = undefined,
        emptyBy: number | undefined = undefined,
        cores = 16,
    ): void {
        this.scheduler.updateExecutor({
            executor: toId<ExecutorId>(`e${index}`),
            pool,
            zone: toId<ZoneId>("zone"),
            rack: toId<RackId>(`r${Math.floor(index / 4)}`),
            labels,
            capacity: { cpuMillis: cores * 1_000, memoryMb: 32_000, accelerators: 0 },
            state,
            leavesAt,
            emptyBy,
        });
    }

    /** Adds a job without a schedule. */
    submit(job: string, steps: readonly StepSpec[], queue = "queue", mayHaveStarted = false): void {
        this.addJob(job, { spec: { payload: job, steps }, queue: toId<QueueId>(queue), mayHaveStarted });
    }

    /** Adds a job of the queue `queue` that was accepted now, apart from what `submission` sets. */
    addJob(job: string, submission: Partial<JobSubmission> & Pick<JobSubmission, "spec">): void {
        this.scheduler.addJob(this.now, {
            job: toId<JobId>(job),
            queue: toId<QueueId>("queue"),
            team,
            acceptedAt: this.now,
            mayHaveStarted: false,
            ...submission,
        });
    }

    tick(): TickDecisions {
        return this.scheduler.tick(this.now);
    }

    /** Ticks once, confirms all starts that it decided, and returns them. */
    startTasks(): readonly StartDecision[] {
        const { starts } = this.tick();
        for (const { executor, task, run } of starts) {
            this.scheduler.recordRunning(this.now, executor, { task, run, checkpoint: "", percent: 0 });
        }
        return starts;
    }

    /** Reports the end of a run. */
    endRun(start: StartDecision, outcome: RunOutcome, checkpoint = ""): void {
        const { executor, task, run } = start;
        this.scheduler.recordEnd(this.now, { executor, task, run, outcome, checkpoint });
    }

    getJobState(job: string): string | undefined {
        return this.scheduler.getJobState(toId<JobId>(job));
    }

    /** Answers all requests for advice with grants for the executors that `isGranted` selects; returns the requests. */
    grantAdvice(isGranted: (executor: ExecutorId) => boolean): readonly AdviceRequest[] {
        const requests: AdviceRequest[] = [];
        this.scheduler.sendAdviceRequests(this.now, request => {
            requests.push(request);
            return "sent";
        });
        for (const { step, executors } of requests) {
            const grants = executors.filter(isGranted).map(executor => ({ executor, ticket: `t-${executor}` }));
            this.scheduler.recordAdvice(this.now, step, executors, grants);
        }
        return requests;
    }
}
