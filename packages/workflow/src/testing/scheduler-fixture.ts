/** A scheduler with executors, a clock and shorthands, for tests. */
import type { ExecutorId, JobId, QueueId, RackId, ResourceVector, TeamId, ZoneId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { WorkflowScheduler } from "../scheduler.js";
import type {
    AdviceRequest,
    ExecutorState,
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

export function toCores(count: number): ResourceVector {
    return { cpuMillis: count * 1_000, memoryMb: 100, accelerators: 0 };
}

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

/** A scheduler with executors of 16 cores, four to a rack, and a clock. */
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

    putExecutor(
        index: number,
        state: ExecutorState,
        labels: readonly string[] = [],
        leavesAt: number | undefined = undefined,
        emptyBy: number | undefined = undefined,
    ): void {
        this.scheduler.updateExecutor({
            executor: toId<ExecutorId>(`e${index}`),
            pool,
            zone: toId<ZoneId>("zone"),
            rack: toId<RackId>(`r${Math.floor(index / 4)}`),
            labels,
            capacity: { cpuMillis: 16_000, memoryMb: 32_000, accelerators: 0 },
            state,
            leavesAt,
            emptyBy,
        });
    }

    submit(job: string, steps: readonly StepSpec[], queue = "queue", mayHaveStarted = false): void {
        this.scheduler.addJob(this.now, {
            job: toId<JobId>(job),
            queue: toId<QueueId>(queue),
            team,
            spec: { payload: job, steps },
            acceptedAt: this.now,
            mayHaveStarted,
        });
    }

    tick(): TickDecisions {
        return this.scheduler.tick(this.now);
    }

    /** Ticks and confirms the starts. */
    startTasks(): readonly StartDecision[] {
        const { starts } = this.tick();
        for (const { executor, task, run } of starts) {
            this.scheduler.recordRunning(this.now, executor, { task, run, checkpoint: "", percent: 0 });
        }
        return starts;
    }

    endRun(start: StartDecision, outcome: RunOutcome, checkpoint = ""): void {
        const { executor, task, run } = start;
        this.scheduler.recordEnd(this.now, { executor, task, run, outcome, checkpoint });
    }

    getJobState(job: string): string | undefined {
        return this.scheduler.getJobState(toId<JobId>(job));
    }

    /** Answers all questions of advisors: grants the executors that `isGranted` names. */
    grantAdvice(isGranted: (executor: ExecutorId) => boolean): readonly AdviceRequest[] {
        const asked: AdviceRequest[] = [];
        this.scheduler.sendAdviceRequests(this.now, decision => {
            asked.push(decision);
            return "sent";
        });
        for (const { step, executors } of asked) {
            const grants = executors.filter(isGranted).map(executor => ({ executor, ticket: `t-${executor}` }));
            this.scheduler.recordAdvice(this.now, step, executors, grants);
        }
        return asked;
    }
}
