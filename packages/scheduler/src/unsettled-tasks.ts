/**
 * Tasks that a former owner may have started and that no worker has reported yet.
 *
 * They are settled when a worker reports them, when every worker has answered, or when the longest lease they can have has
 * run out. Until then they hold capacity on a worker that does not answer, so that the shard is not filled twice.
 */
import { toId, toTaskId } from "@waxwingroute/core";
import type { TaskId, TeamId } from "@waxwingroute/core";
import type { PlacementEngine } from "@waxwingroute/placement";
import { TaskState } from "./job-row.js";
import type { JobTracker } from "./job-tracker.js";
import type { ShardContext } from "./shard-context.js";
import type { WorkerFleet } from "./worker-fleet.js";

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

    /** Collects the unsettled tasks of all restored jobs, after the workers' reports have been applied. */
    collect(): void {
        this.collectedAt = this.context.clock.getNow();
        const holder = [...this.fleet.links.values()].find(link => !link.isReachable)
            ?? this.fleet.links.values().next().value;
        for (const row of this.tracker.jobs.values()) {
            if (row.countTasks(TaskState.Unsettled) === 0) {
                continue;
            }
            for (let index = 0; index < row.spec.taskCount; index++) {
                const task = toTaskId(row.job, index);
                if (row.getState(index) === TaskState.Unsettled && holder !== undefined && !this.tasks.has(task)) {
                    this.tasks.add(task);
                    this.engine.adoptTask(this.collectedAt, {
                        task,
                        team: toId<TeamId>(row.spec.team),
                        worker: holder.worker,
                        resources: row.spec.resources,
                        isUncertain: true,
                    });
                }
            }
        }
        this.settle(this.collectedAt);
    }

    /** Takes a task out, because a worker reported it; it then waits in the engine until it is adopted. */
    release(task: TaskId): void {
        if (this.tasks.delete(task)) {
            this.tracker.setState(task, TaskState.Waiting);
            this.engine.recordTaskEnded(this.context.clock.getNow(), task, "preempted", true);
        }
    }

    /** Settles what can be settled: tasks that no worker runs any more are lost. */
    settle(now: number): void {
        if (this.tasks.size === 0) {
            return;
        }
        const leasesHaveRunOut = now > this.collectedAt + this.fleet.leaseBoundMs;
        if (!leasesHaveRunOut && !this.isEveryWorkerKnown(now)) {
            return;
        }
        for (const task of [...this.tasks]) {
            this.tasks.delete(task);
            this.tracker.recordLost(task, undefined, "no worker runs it after the shard changed its owner");
        }
    }

    /** A worker that the host list has not named to this process yet may run a task, until its lease has run out. */
    private isEveryWorkerKnown(now: number): boolean {
        const isListOldEnough = now > this.context.catalog.loadedAt + this.fleet.leaseBoundMs;
        return isListOldEnough && [...this.fleet.links.values()].every(link => link.isReachable);
    }
}
