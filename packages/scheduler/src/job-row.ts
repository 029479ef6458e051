/**
 * Jobs and the state of their tasks, as the shard owner knows them.
 */
import type { JobId, ShardId, ZoneId } from "@waxwingroute/core";
import { getShardZone, toId } from "@waxwingroute/core";
import type { JobSpec } from "@waxwingroute/resources";
import type { JobStatus } from "@waxwingroute/transport";

/** State of one task, as one byte of the job's table. */
export enum TaskState {
    Waiting = 0,
    Starting = 1,
    Running = 2,
    Succeeded = 3,
    Failed = 4,
    Stopped = 5,
    MayHaveRun = 6,
    /** It may be running on a worker that could not be asked; it must not start before that is settled. */
    Unsettled = 7,
}

const taskStateCount = 8;

/** A job and its tasks. */
export class JobRow {
    readonly states: Uint8Array;
    /** Number of tasks in each state, by `TaskState`. */
    private readonly counts = new Array<number>(taskStateCount).fill(0);
    /** How often each task has been started again after it failed. */
    readonly restarts = new Map<number, number>();
    isCancelled = false;
    finalState: string | undefined;
    unschedulableReason: string | undefined;
    /** Number of the last step. */
    revision = 0;

    constructor(readonly job: JobId, readonly name: string, readonly spec: JobSpec, readonly shard: ShardId) {
        this.states = new Uint8Array(spec.taskCount);
        this.counts[TaskState.Waiting] = spec.taskCount;
    }

    /** Whether a task that may have run may start again: services are restarted, other jobs must say so. */
    get isRepeatable(): boolean {
        return this.spec.kind === "service" || this.spec.safeToRepeat;
    }

    getState(index: number): TaskState {
        return this.states[index] ?? TaskState.Waiting;
    }

    setState(index: number, state: TaskState): void {
        this.counts[this.getState(index)]!--;
        this.counts[state]!++;
        this.states[index] = state;
    }

    countTasks(state: TaskState): number {
        return this.counts[state] ?? 0;
    }

    /** Whether every task has ended, or none will start any more. */
    get hasEnded(): boolean {
        const active = this.countTasks(TaskState.Starting) + this.countTasks(TaskState.Running)
            + this.countTasks(TaskState.Unsettled);
        return active === 0 && (this.isCancelled || this.countTasks(TaskState.Waiting) === 0);
    }

    toStatus(): JobStatus {
        const active = this.countTasks(TaskState.Starting) + this.countTasks(TaskState.Running);
        const state = this.isCancelled
            ? "cancelled"
            : this.unschedulableReason !== undefined
            ? "unschedulable"
            : this.finalState !== undefined || this.hasEnded
            ? "finished"
            : active > 0
            ? "running"
            : "waiting";
        return {
            job: this.job,
            name: this.name,
            zone: getShardZone(this.shard),
            shard: this.shard,
            team: this.spec.team,
            kind: this.spec.kind,
            state,
            taskCount: this.spec.taskCount,
            waiting: this.countTasks(TaskState.Waiting) + this.countTasks(TaskState.Unsettled),
            starting: this.countTasks(TaskState.Starting),
            running: this.countTasks(TaskState.Running),
            succeeded: this.countTasks(TaskState.Succeeded),
            failed: this.countTasks(TaskState.Failed),
            stopped: this.countTasks(TaskState.Stopped),
            mayHaveRun: this.countTasks(TaskState.MayHaveRun),
            revision: this.revision,
        };
    }
}

/** Builds the id of a job: names are unique within a zone. */
export function toJobId(zone: ZoneId, name: string): JobId {
    return toId<JobId>(`${zone}.${name}`);
}

/** Returns the name part of a job id. */
export function getJobName(job: JobId): string {
    return job.slice(job.indexOf(".") + 1);
}
