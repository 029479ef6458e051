/**
 * Records of what the stand-ins observed. All workers and executors of one stand-in process share one `Records`, so
 * that it detects what no single host can: a task on two workers, or a request that ran on two executors.
 */
import type {
    AttemptId,
    Clock,
    ExecutorId,
    QueueId,
    RequestKey,
    ResourceVector,
    TaskId,
    TeamId,
    WorkerId,
} from "@waxwingroute/core";

/** A period in which tasks exceeded a worker's capacity; `until` is missing while it lasts. Times in clock ms. */
export interface Overcommit {
    readonly worker: WorkerId;
    readonly capacity: ResourceVector;
    /** Largest amounts in use during the period. */
    used: ResourceVector;
    readonly from: number;
    until?: number;
}

/** A task ran on two workers at once. */
export interface TaskInTwoPlaces {
    readonly task: TaskId;
    readonly workers: readonly WorkerId[];
    readonly epochs: readonly number[];
    readonly at: number;
}

/** A worker was asked to start a task that it already had. */
export interface RepeatedStart {
    readonly worker: WorkerId;
    readonly task: TaskId;
    /** Whether the task was still running. */
    readonly wasRunning: boolean;
    readonly at: number;
}

/** A start arrived after its expiry and was refused. */
export interface LateStart {
    readonly worker: WorkerId;
    readonly task: TaskId;
    readonly lateByMs: number;
    readonly at: number;
}

/** A non-idempotent request key reached executors twice. */
export interface RepeatedRequest {
    readonly requestKey: RequestKey;
    readonly executors: readonly ExecutorId[];
    readonly attempts: readonly AttemptId[];
    readonly at: number;
}

/** An executor had more requests than slots, or more connections than it accepts. */
export interface ExecutorOverload {
    readonly executor: ExecutorId;
    readonly kind: "slots" | "connections";
    readonly bound: number;
    readonly count: number;
    readonly at: number;
}

/** One run of a task on a worker. */
export interface TaskRun {
    readonly worker: WorkerId;
    readonly task: TaskId;
    readonly team: TeamId;
    readonly resources: ResourceVector;
    readonly epoch: number;
    readonly startedAt: number;
    endedAt?: number;
    outcome?: string;
}

/** A request that an executor ran. */
export interface RequestRun {
    readonly executor: ExecutorId;
    readonly requestKey: RequestKey;
    readonly attempt: AttemptId;
    readonly queue: QueueId;
    readonly team: TeamId;
    /** First 64 bytes of the body, as Latin-1, by which a caller finds its request without the request key. */
    readonly bodyStart: string;
    readonly startedAt: number;
    endedAt?: number;
}

/** Maximum number of task runs, and of request runs, that are kept; the oldest are dropped first. */
const maxKeptRuns = 200_000;

/** Records of one stand-in process. */
export class Records {
    readonly overcommits: Overcommit[] = [];
    readonly tasksInTwoPlaces: TaskInTwoPlaces[] = [];
    readonly repeatedStarts: RepeatedStart[] = [];
    readonly lateStarts: LateStart[] = [];
    readonly repeatedRequests: RepeatedRequest[] = [];
    readonly overloads: ExecutorOverload[] = [];
    readonly taskRuns: TaskRun[] = [];
    readonly requestRuns: RequestRun[] = [];
    /** Task runs since the start, including those no longer kept. */
    taskRunCount = 0;
    /** Request runs since the start, including those no longer kept. */
    requestRunCount = 0;
    /** Remaining run time of checkpointed tasks, in milliseconds. */
    readonly checkpoints = new Map<TaskId, number>();
    private readonly running = new Map<TaskId, TaskRun[]>();
    private readonly requestsByKey = new Map<RequestKey, RequestRun[]>();

    constructor(private readonly clock: Clock) {}

    /** Records the start of a task, and whether it also runs elsewhere. */
    recordTaskStart(run: Omit<TaskRun, "startedAt">): TaskRun {
        const entry: TaskRun = { ...run, startedAt: this.clock.getNow() };
        const others = this.running.get(run.task) ?? [];
        const runs = [...others, entry];
        if (others.length > 0) {
            this.tasksInTwoPlaces.push({
                task: run.task,
                workers: runs.map(other => other.worker),
                epochs: runs.map(other => other.epoch),
                at: entry.startedAt,
            });
        }
        this.running.set(run.task, runs);
        this.taskRunCount++;
        appendBounded(this.taskRuns, entry);
        return entry;
    }

    /** Records the end of a task. */
    recordTaskEnd(run: TaskRun, outcome: string): void {
        run.endedAt = this.clock.getNow();
        run.outcome = outcome;
        const others = (this.running.get(run.task) ?? []).filter(other => other !== run);
        if (others.length === 0) {
            this.running.delete(run.task);
        }
        else {
            this.running.set(run.task, others);
        }
    }

    /** Records the start of a request, and whether its key was seen before if it is not idempotent. */
    recordRequestStart(run: Omit<RequestRun, "startedAt">, isIdempotent: boolean): RequestRun {
        const entry: RequestRun = { ...run, startedAt: this.clock.getNow() };
        if (!isIdempotent) {
            const runs = [...this.requestsByKey.get(run.requestKey) ?? [], entry];
            this.requestsByKey.set(run.requestKey, runs);
            if (runs.length > 1) {
                this.repeatedRequests.push({
                    requestKey: run.requestKey,
                    executors: runs.map(other => other.executor),
                    attempts: runs.map(other => other.attempt),
                    at: entry.startedAt,
                });
            }
        }
        this.requestRunCount++;
        appendBounded(this.requestRuns, entry);
        return entry;
    }

    /** Lists the running tasks with their workers. */
    listRunning(): { readonly task: TaskId; readonly team: TeamId; readonly workers: readonly WorkerId[]; }[] {
        return [...this.running.entries()].map(([task, runs]) => ({
            task,
            team: runs[0]?.team ?? "" as TeamId,
            workers: runs.map(run => run.worker),
        }));
    }
}

function appendBounded<T>(runs: T[], run: T): void {
    runs.push(run);
    // Drops a tenth at a time, because each removal from the front moves the whole array.
    if (runs.length > maxKeptRuns) {
        runs.splice(0, maxKeptRuns / 10);
    }
}
