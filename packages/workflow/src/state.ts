/**
 * The tables of one scheduler. Runs are added and removed only by `addRun` and `removeRun`, so that each run is charged
 * to its executor and its team exactly once.
 */
import type { ExecutorId, JobId, QueueId, ResourceVector, TeamId } from "@waxwingroute/core";
import { addResources, fitsWithin, subtractResources, Table, zeroResources } from "@waxwingroute/core";
import type { AdviceBalance } from "./advice-order.js";
import type { ExecutorRow, JobRow, QueueRow, RunRow, StepRow, TaskRow, TeamRow } from "./rows.js";
import { setTaskState, toRunKey } from "./rows.js";
import type {
    GivenUpJob,
    JobChange,
    JobState,
    SchedulerOptions,
    StartDecision,
    StopDecision,
    StopReason,
    TaskKey,
} from "./types.js";

export type ResolvedOptions = Required<SchedulerOptions>;

/** Executors reserved for the most urgent blocked gang; other steps may use them only for tasks that end soon. */
export interface Reservation {
    readonly step: StepRow;
    readonly executors: ReadonlySet<ExecutorId>;
    /** Whether the gang has waited for too long, so that others leave the room on the executors to it. */
    readonly isKept: boolean;
    /** When the room is expected to suffice, if it is kept. */
    readonly completeAt: number;
    /** Whether the gang is not too late to be of use. */
    readonly isUseful: boolean;
}

/** Most room gains that are kept; a step that was evaluated before the oldest is evaluated anew. */
const maxRoomGains = 4_096;

/** Tables, decisions not yet returned, and the state of the recovery after a change of owner. */
/** An executor on which only probes of one step start. */
export interface ProbeHold {
    readonly step: StepRow;
    readonly executor: ExecutorRow;
    /** Since when an executor is held for the step. */
    readonly since: number;
}

export class SchedulerState {
    readonly executors = new Table<ExecutorId, ExecutorRow>();
    readonly jobs = new Table<JobId, JobRow>();
    readonly queues = new Table<QueueId, QueueRow>();
    readonly teams = new Table<TeamId, TeamRow>();
    private readonly startableSteps = new Set<StepRow>();
    readonly starts: StartDecision[] = [];
    readonly stops: StopDecision[] = [];
    readonly changes: JobChange[] = [];
    readonly givenUp: GivenUpJob[] = [];
    private readonly roomGains: ExecutorRow[] = [];
    private firstGain = 0;
    private readonly avoidedExecutors = new Set<ExecutorRow>();
    /** Where the next advice request begins to take executors without free slots. */
    nextExecutorToAsk = 0;
    readonly adviceBalance: AdviceBalance = { aheadMs: 0 };
    /** Runs are checked for progress again at this time. */
    nextStallCheckAt = 0;
    /** Number of ticks, when the last one was, and the position of the first room gain after it. */
    tickNumber = 0;
    lastTickAt = -Infinity;
    lastTickGain = 0;
    /** Decided again in each tick; `undefined`: no gang waits for executors. */
    reservation: Reservation | undefined;
    /** The executor that is held for a probe. */
    probeHold: ProbeHold | undefined;
    /** The last probe that was started for the step that had the hold. */
    heldProbe: RunRow | undefined;
    /** Whether `releaseUnknownTasks` was called; tasks added later begin as `waiting`, except for `unsettledTasks`. */
    hasReleasedUnknownTasks = false;
    /** The tasks that `releaseUnknownTasks` kept, also those of occurrences that are not open yet. */
    unsettledTasks: ReadonlySet<TaskKey> = new Set();
    /** Whether some task may be in the state `unknown`. */
    hasUnknownTasks = false;
    /** Whether `TeamRow.unknownUsage` of some team may not be 0. */
    hasUnknownUsage = false;
    /** Number of probes in flight. */
    probeCount = 0;
    /** Number of crashes under proven runs so far. */
    lateCrashCount = 0;
    /** Number of isolated probes in flight, which `probeCount` does not contain. */
    isolatedCount = 0;
    /** Run numbers of this owner are above this number. */
    runNumberBase = 0;

    constructor(readonly options: ResolvedOptions) {}

    /** Returns the row of a team; creates one without limit and rate if the team is not declared. */
    getTeam(id: TeamId): TeamRow {
        return this.teams.ensure(id, () => ({
            id,
            rules: { team: id, weight: 0, limit: zeroResources },
            used: zeroResources,
            unknownUsage: zeroResources,
            rateTokens: 0,
            rateTokensAt: 0,
        }));
    }

    /** Adds a run and charges it to its executor and team. */
    addRun(run: RunRow): void {
        const { task, executor } = run;
        const row = this.executors.get(executor);
        if (row !== undefined) {
            row.runs.set(toRunKey(task.key, run.number), run);
            row.used = addResources(row.used, run.resources);
            updateRunCounts(row, run, 1);
            this.updateProbeCounts(run, 1);
        }
        const job = task.step.occurrence.job;
        job.team.used = addResources(job.team.used, run.resources);
        job.activeRuns += 1;
        task.runs.push(run);
        task.lastRunNumber = Math.max(task.lastRunNumber, run.number);
        task.step.lastRunNumber = Math.max(task.step.lastRunNumber, run.number);
        if (task.state !== "done") {
            setTaskState(task, "active");
        }
    }

    /** Removes a run and what it was charged. Does nothing if the run was removed before. */
    removeRun(run: RunRow): void {
        const { task, executor } = run;
        const index = task.runs.indexOf(run);
        if (index < 0) {
            return;
        }
        task.runs.splice(index, 1);
        const row = this.executors.get(executor);
        if (row?.runs.delete(toRunKey(task.key, run.number)) === true) {
            row.used = subtractResources(row.used, run.resources);
            updateRunCounts(row, run, -1);
            this.updateProbeCounts(run, -1);
            this.recordRoomGain(row);
        }
        const job = task.step.occurrence.job;
        job.team.used = subtractResources(job.team.used, run.resources);
        job.activeRuns -= 1;
        if (task.state === "active" && task.runs.length === 0) {
            setTaskState(task, "waiting");
        }
    }

    /** Records that the executor has listed a run after its start, so that the start did not crash it. */
    confirmRun(run: RunRow): void {
        const row = this.executors.get(run.executor);
        if (run.isProven || row?.runs.has(toRunKey(run.task.key, run.number)) !== true) {
            return;
        }
        updateRunCounts(row, run, -1);
        this.updateProbeCounts(run, -1);
        run.isProven = true;
        updateRunCounts(row, run, 1);
        if (run.isProbe) {
            this.recordRoomGain(row);
        }
    }

    private updateProbeCounts(run: RunRow, change: 1 | -1): void {
        if (run.isProbe && !run.isProven) {
            this.probeCount += run.provenAfterMs > 0 ? 0 : change;
            this.isolatedCount += run.provenAfterMs > 0 ? change : 0;
            run.task.step.occurrence.job.probeCount += change;
        }
    }

    /** Number of room gains so far; the position of the next one. */
    get gainPosition(): number {
        return this.firstGain + this.roomGains.length;
    }

    /** Records that a step may find room on the executor that it did not find before. */
    recordRoomGain(executor: ExecutorRow): void {
        if (this.roomGains.length >= maxRoomGains) {
            this.firstGain += this.roomGains.length;
            this.roomGains.length = 0;
        }
        this.roomGains.push(executor);
    }

    /** Returns the executors that gained room since a position, or `undefined` if they are no longer known. */
    listRoomGains(position: number): readonly ExecutorRow[] | undefined {
        if (position < this.firstGain) {
            return undefined;
        }
        return position === this.gainPosition ? [] : this.roomGains.slice(position - this.firstGain);
    }

    /** Lets an executor get no work before `until`. */
    recordAvoidance(executor: ExecutorRow, until: number): void {
        executor.avoidUntil = Math.max(executor.avoidUntil, until);
        this.avoidedExecutors.add(executor);
    }

    /** Records a room gain for each executor that may be used again. */
    releaseAvoidedExecutors(now: number): void {
        for (const executor of this.avoidedExecutors) {
            if (executor.avoidUntil <= now) {
                this.avoidedExecutors.delete(executor);
                this.recordRoomGain(executor);
            }
        }
    }

    /** Sets the reservation of this tick. Executors that only the previous one held gain room. */
    setReservation(reservation: Reservation | undefined, previous: Reservation | undefined): void {
        this.reservation = reservation;
        for (const id of previous?.executors ?? []) {
            const executor = this.executors.get(id);
            if (
                executor !== undefined
                && (reservation?.executors.has(id) !== true || reservation.isKept !== previous?.isKept)
            ) {
                this.recordRoomGain(executor);
            }
        }
    }

    /** Decides to stop a run, once. The run stays charged until its end is recorded. */
    stopRun(run: RunRow, reason: StopReason): void {
        if (run.state !== "stopping") {
            run.state = "stopping";
            this.stops.push({
                executor: run.executor,
                task: run.task.key,
                run: run.number,
                reason,
                percent: run.percent,
            });
        }
    }

    /** Unfinished steps of open jobs whose earlier steps are all done. Tasks of no other step start. */
    get openSteps(): ReadonlySet<StepRow> {
        return this.startableSteps;
    }

    /**
     * Lets the tasks of a step start. Has no effect if the job has ended: the runs of a cancelled or failed job end later
     * than the job, and each of these ends may complete a step.
     */
    openStep(step: StepRow): void {
        if (this.isOpen(step.occurrence.job)) {
            this.startableSteps.add(step);
        }
    }

    /** Lets no further task of a step start. */
    closeStep(step: StepRow): void {
        this.startableSteps.delete(step);
    }

    /** Records that a task of the job has begun, as far as an executor has shown it. */
    markJobRunning(job: JobRow): void {
        if (job.phase === "queued") {
            job.phase = "running";
            this.changes.push(createChange(job, "running"));
        }
    }

    /** Returns whether the job may still start tasks. */
    isOpen(job: JobRow): boolean {
        return job.endsAs === undefined && (job.phase === "queued" || job.phase === "running");
    }
}

/** Returns the report that a job entered a state. */
export function createChange({ id, submission: { queue, team } }: JobRow, state: JobState): JobChange {
    return { job: id, queue, team, state };
}

function updateRunCounts(executor: ExecutorRow, run: RunRow, change: 1 | -1): void {
    const { spec } = run.task.step;
    executor.bestEffortRuns += spec.usesIdleProcessors ? change : 0;
    executor.servingRuns += spec.targetMs !== undefined ? change : 0;
    executor.unprovenRuns += run.isProven ? 0 : change;
    executor.probeRuns += run.isProbe && !run.isProven ? change : 0;
}

/** Returns the resources of an executor that no run is charged for. */
export function getFreeResources(row: ExecutorRow): ResourceVector {
    return subtractResources(row.capacity, row.used);
}

/** Returns what each run of the step is charged; for a best-effort step nothing for its processors. */
export function getChargedResources(step: StepRow): ResourceVector {
    return step.spec.usesIdleProcessors ? { ...step.spec.resources, cpuMillis: 0 } : step.spec.resources;
}

/** Returns how many tasks that each need `needed` fit into `available`. */
export function countFits(needed: ResourceVector, available: ResourceVector): number {
    return Math.min(
        countAmounts(needed.cpuMillis, available.cpuMillis),
        countAmounts(needed.memoryMb, available.memoryMb),
        countAmounts(needed.accelerators, available.accelerators),
    );
}

function countAmounts(needed: number, available: number): number {
    return needed > 0 ? Math.floor(available / needed) : Number.MAX_SAFE_INTEGER;
}

/** Returns whether the team stays within its limit if `more` is charged. A limit of 0 in a resource means no limit. */
export function allowsMore(team: TeamRow, more: ResourceVector): boolean {
    const limit = team.rules.limit;
    const effectiveLimit = {
        cpuMillis: limit.cpuMillis === 0 ? Infinity : limit.cpuMillis,
        memoryMb: limit.memoryMb === 0 ? Infinity : limit.memoryMb,
        accelerators: limit.accelerators === 0 ? Infinity : limit.accelerators,
    };
    return fitsWithin(addResources(addResources(team.used, team.unknownUsage), more), effectiveLimit);
}

/** Returns the tasks of a step that have no run and may start. */
export function listWaitingTasks(step: StepRow): TaskRow[] {
    return step.waitingCount === 0 ? [] : step.tasks.filter(task => task.state === "waiting");
}
