/**
 * Tasks that a former owner may have started and that no worker has reported yet.
 *
 * They are settled when a worker reports them, when every worker has answered, or when the longest lease that they can
 * have has run out. Until then their resources are reserved on a worker that does not answer, if there is one, so that
 * the shard's capacity is not given out twice.
 */
import { toId, toTaskId } from "@waxwingroute/core";
import type { TaskId, TeamId } from "@waxwingroute/core";
import type { PlacementEngine } from "@waxwingroute/placement";
import { TaskState } from "./job-row.js";
import type { JobTracker } from "./job-tracker.js";
import type { ShardContext } from "./shard-context.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** The unsettled tasks of one shard under one right. */
export class UnsettledTasks {
    private readonly tasks = new Set<TaskId>();
    private collectedAt = 0;

    constructor(
        private readonly context: ShardContext,
        private readonly engine: PlacementEngine,
        private readonly tracker: JobTracker,
        private readonly fleet: WorkerFleet,
    ) {}

    get size(): number {
        return this.tasks.size;
    }

    has(task: TaskId): boolean {
        return this.tasks.has(task);
    }

    /** Adds the unsettled tasks of all restored jobs and reserves capacity. Called after the reports are applied. */
    collect(): void {
        this.collectedAt = this.context.clock.getNow();
        const reservedLink = [...this.fleet.links.values()].find(link => !link.isReachable)
            ?? this.fleet.links.values().next().value;
        for (const row of this.tracker.jobs.values()) {
            if (row.countTasks(TaskState.Unsettled) === 0) {
                continue;
            }
            for (let index = 0; index < row.spec.taskCount; index++) {
                const task = toTaskId(row.job, index);
                if (
                    row.getState(index) === TaskState.Unsettled && reservedLink !== undefined && !this.tasks.has(task)
                ) {
                    this.tasks.add(task);
                    this.engine.adoptTask(this.collectedAt, {
                        task,
                        team: toId<TeamId>(row.spec.team),
                        worker: reservedLink.worker,
                        resources: row.spec.resources,
                        isUncertain: true,
                    });
                }
            }
        }
        this.settle(this.collectedAt);
    }

    /** Removes a task that a worker reported; it then waits in the engine until the caller adopts it. */
    release(task: TaskId): void {
        if (this.tasks.delete(task)) {
            this.tracker.setState(task, TaskState.Waiting);
            this.engine.recordTaskEnded(this.context.clock.getNow(), task, "preempted", true);
        }
    }

    /** Records all unsettled tasks as lost once no worker can run them any more. */
    settle(now: number): void {
        if (this.tasks.size === 0) {
            return;
        }
        const haveLeasesExpired = now > this.collectedAt + this.fleet.leaseBoundMs;
        if (!haveLeasesExpired && !this.hasEveryWorkerAnswered(now)) {
            return;
        }
        for (const task of [...this.tasks]) {
            this.tasks.delete(task);
            this.tracker.recordLost(task, undefined, "no worker runs it after the shard changed its owner");
        }
    }

    /**
     * Whether every worker that can run one of the tasks has answered. A worker that the host list has not named to
     * this process yet may run one until its lease has run out, so the first list must be older than that.
     */
    private hasEveryWorkerAnswered(now: number): boolean {
        const isListOldEnough = now > this.context.catalog.loadedAt + this.fleet.leaseBoundMs;
        return isListOldEnough && [...this.fleet.links.values()].every(link => link.isReachable);
    }
}
