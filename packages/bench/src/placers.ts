/**
 * The placement engine and the baselines behind one interface.
 */
import type { JobId, RandomSource, ResourceVector, TaskId, WorkerId } from "@waxwingroute/core";
import { addResources, fitsWithin, subtractResources, toTaskId } from "@waxwingroute/core";
import type { EndOutcome, JobSubmission, Objective, TeamUpdate } from "@waxwingroute/placement";
import { PlacementEngine } from "@waxwingroute/placement";
import type { FleetWorker } from "./fleet.js";

/** What a placer decided for one task. */
export interface PlacerDecision {
    readonly kind: "start" | "preempt" | "stop";
    readonly task: TaskId;
    readonly job: JobId;
    readonly worker: WorkerId;
}

/** Decides which task starts where. Times are milliseconds of virtual time. */
export abstract class Placer {
    abstract readonly name: string;
    abstract submitJob(now: number, submission: JobSubmission): void;
    abstract recordEnded(now: number, task: TaskId, outcome: EndOutcome): void;
    abstract tick(now: number): readonly PlacerDecision[];
}

/** The engine of this system. */
export class EnginePlacer extends Placer {
    readonly name: string;
    readonly engine: PlacementEngine;

    constructor(fleet: readonly FleetWorker[], teams: readonly TeamUpdate[], objective: Objective) {
        super();
        this.name = `engine-${objective}`;
        this.engine = new PlacementEngine({ objective });
        for (const { worker, rack, capacity } of fleet) {
            this.engine.updateWorker({ worker, rack, capacity, isInRotation: true });
        }
        teams.forEach(team => this.engine.setTeam(team));
    }

    override submitJob(now: number, submission: JobSubmission): void {
        const result = this.engine.submitJob(now, submission);
        if (result.err) {
            throw new Error(result.val.message);
        }
    }

    override recordEnded(now: number, task: TaskId, outcome: EndOutcome): void {
        this.engine.recordTaskEnded(now, task, outcome);
    }

    override tick(now: number): readonly PlacerDecision[] {
        const { decisions } = this.engine.tick(now, { maxDecisions: 100_000 });
        for (const decision of decisions) {
            if (decision.kind === "start") {
                this.engine.recordTaskStarted(now, decision.task);
            }
        }
        return decisions;
    }
}

interface QueuedJob {
    readonly submission: JobSubmission;
    nextIndex: number;
}

interface BaselineTask {
    readonly row: number;
    readonly size: ResourceVector;
}

/** Serves jobs in the order of arrival, and passes over those that do not fit. Gangs start together or not at all. */
export abstract class ArrivalOrderPlacer extends Placer {
    protected readonly free: ResourceVector[];
    private readonly fleet: readonly FleetWorker[];
    private readonly tasks = new Map<TaskId, BaselineTask>();
    private queue: QueuedJob[] = [];

    constructor(fleet: readonly FleetWorker[]) {
        super();
        this.fleet = fleet;
        this.free = fleet.map(worker => worker.capacity);
    }

    /** Returns the row of a worker with room, or -1. */
    protected abstract findRow(size: ResourceVector): number;

    override submitJob(_now: number, submission: JobSubmission): void {
        this.queue.push({ submission, nextIndex: 0 });
    }

    override recordEnded(_now: number, task: TaskId): void {
        const { row, size } = this.tasks.get(task) as BaselineTask;
        this.tasks.delete(task);
        this.free[row] = addResources(this.free[row] as ResourceVector, size);
    }

    override tick(): readonly PlacerDecision[] {
        const decisions: PlacerDecision[] = [];
        // A size that did not fit is not searched for again in the same tick.
        const failedSizes = new Set<ResourceVector>();
        const remaining: QueuedJob[] = [];
        for (const job of this.queue) {
            const { submission } = job;
            const together = submission.kind === "gang" ? submission.taskCount : 1;
            while (job.nextIndex < submission.taskCount && !failedSizes.has(submission.resources)) {
                const rows = this.allocateRows(submission.resources, together);
                if (rows === undefined) {
                    failedSizes.add(submission.resources);
                    break;
                }
                rows.forEach(row => decisions.push(this.startNext(job, row)));
            }
            if (job.nextIndex < submission.taskCount) {
                remaining.push(job);
            }
        }
        this.queue = remaining;
        return decisions;
    }

    private allocateRows(size: ResourceVector, count: number): number[] | undefined {
        const rows: number[] = [];
        while (rows.length < count) {
            const row = this.findRow(size);
            if (row < 0) {
                for (const allocated of rows) {
                    this.free[allocated] = addResources(this.free[allocated] as ResourceVector, size);
                }
                return undefined;
            }
            this.free[row] = subtractResources(this.free[row] as ResourceVector, size);
            rows.push(row);
        }
        return rows;
    }

    private startNext(job: QueuedJob, row: number): PlacerDecision {
        const task = toTaskId(job.submission.job, job.nextIndex);
        job.nextIndex++;
        this.tasks.set(task, { row, size: job.submission.resources });
        const { worker } = this.fleet[row] as FleetWorker;
        return { kind: "start", task, job: job.submission.job, worker };
    }
}

/** Takes the first worker with room. */
export class FirstFitPlacer extends ArrivalOrderPlacer {
    readonly name = "first-fit";

    protected override findRow(size: ResourceVector): number {
        return this.free.findIndex(free => fitsWithin(size, free));
    }
}

/** Workers that the random baseline tries for one task. */
const maxRandomTries = 32;

/** Takes a random worker with room. */
export class RandomPlacer extends ArrivalOrderPlacer {
    readonly name = "random";
    private readonly random: RandomSource;

    constructor(fleet: readonly FleetWorker[], random: RandomSource) {
        super(fleet);
        this.random = random;
    }

    protected override findRow(size: ResourceVector): number {
        for (let count = 0; count < maxRandomTries; count++) {
            const row = this.random.getInteger(this.free.length);
            if (fitsWithin(size, this.free[row] as ResourceVector)) {
                return row;
            }
        }
        return -1;
    }
}
