/**
 * Takes back borrowed capacity: for urgent work that no worker has room for, and for teams above a lowered grant.
 *
 * Only running batch tasks of normal priority are preempted, and only while their team stays at or above its share
 * without them.
 */
import { addResources, fitsWithin } from "@waxwingroute/core";
import { countFitting } from "./rows.js";
import type { JobRow, Reservation, TaskRow, TeamRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { fitsGrant, isAboveGrant } from "./team-shares.js";
import type { PreemptDecision } from "./types.js";

/** Urgent tasks for which one tick preempts. */
const maxPlansPerTick = 64;
/** Teams from which one urgent task may take, and running tasks of each that are considered. */
const maxBorrowers = 4;
const maxConsideredTasks = 16;
/** Time for which the list of borrowing teams is used, in milliseconds; the share of each is checked at every use. */
const borrowersValidMs = 100;
/** Urgent queues that one tick visits. */
const maxVisitedQueues = 64;
/** Time after which capacity is not held any longer for tasks that were to be preempted and did not end, in milliseconds. */
const victimStopTimeoutMs = 30_000;
/** Delay before preemption is planned again for a queue for which none was possible, in milliseconds. */
const preemptRetryDelayMs = 250;
/** Urgent tasks that one set of preemptions on a worker makes room for. */
const maxTasksPerWorker = 8;

interface PreemptionPlan {
    readonly workerRow: number;
    readonly victims: readonly TaskRow[];
    readonly count: number;
    readonly rejectedCount: number;
}

/** Decides preemptions. */
export class PreemptionSystem {
    private readonly state: PlacementState;
    private borrowers: readonly TeamRow[] = [];
    private borrowersUntil = -Infinity;

    constructor(state: PlacementState) {
        this.state = state;
    }

    /** Checkpoints the newest work of teams that are above their grant and asked for it. */
    preemptAboveGrants(): void {
        for (const team of this.state.teams.values()) {
            if (team.overLimit !== "preempt" || !isAboveGrant(team)) {
                continue;
            }
            for (let index = team.preemptible.length - 1; index >= 0; index--) {
                if (!isAboveGrant(team) || this.state.isBudgetExhausted) {
                    break;
                }
                const task = team.preemptible[index] as TaskRow;
                if (isPreemptible(task)) {
                    this.preempt(task, "overLimit", undefined, 0);
                }
            }
        }
    }

    /** Makes room for urgent jobs that wait for capacity. */
    preemptForUrgent(): void {
        const { now, queues } = this.state;
        let served = 0;
        let remaining = Math.min(queues.urgentQueues.size, maxVisitedQueues);
        for (const queue of queues.urgentQueues) {
            remaining--;
            if (remaining < 0) {
                break;
            }
            // Moved behind the others, so that each tick visits those that waited longest for a visit.
            queues.urgentQueues.delete(queue);
            queues.urgentQueues.add(queue);
            const job = queue.jobs.getFirst();
            if (
                queue.kind === "gang" || queue.state !== "active" || queue.shape.isOpen || job === undefined
                || now < queue.preemptRetryAt
            ) {
                continue;
            }
            const borrowers = this.listBorrowers();
            while (served < maxPlansPerTick && !this.state.isBudgetExhausted && this.state.countUnreserved(job) > 0) {
                if (borrowers.length === 0 || !this.preemptForJob(job, borrowers)) {
                    queue.preemptRetryAt = now + preemptRetryDelayMs;
                    break;
                }
                served++;
            }
        }
    }

    /** Returns the teams above their share, the one furthest above it first. */
    private listBorrowers(): readonly TeamRow[] {
        const { now } = this.state;
        if (now < this.borrowersUntil) {
            return this.borrowers;
        }
        this.borrowersUntil = now + borrowersValidMs;
        this.borrowers = [...this.state.teams.values()]
            .filter(team => this.state.shares.isOverShare(team))
            .sort((first, second) => second.weightedShare - first.weightedShare)
            .slice(0, maxBorrowers);
        return this.borrowers;
    }

    private preemptForJob(job: JobRow, borrowers: readonly TeamRow[]): boolean {
        const { shares } = this.state;
        if (!fitsGrant(job.team, job.shape, 1)) {
            return false;
        }
        const isBorrowing = shares.isOverShare(job.team);
        for (const borrower of borrowers) {
            // A team above its own share takes only from itself or from teams that are further above theirs.
            if (isBorrowing && borrower !== job.team && borrower.weightedShare <= job.team.weightedShare) {
                continue;
            }
            const plan = this.planVictims(job, borrower);
            if (plan !== undefined) {
                this.applyPlan(job, plan);
                return true;
            }
        }
        return false;
    }

    private planVictims(job: JobRow, borrower: TeamRow): PreemptionPlan | undefined {
        const { workers } = this.state;
        let considered = 0;
        for (let index = borrower.preemptible.length - 1; index >= 0 && considered < maxConsideredTasks; index--) {
            const task = borrower.preemptible[index] as TaskRow;
            if (!isPreemptible(task)) {
                continue;
            }
            considered++;
            if (
                !workers.canPlace(task.workerRow) || workers.hasHolds(task.workerRow)
                || !fitsWithin(job.shape.resources, workers.getCapacity(task.workerRow))
            ) {
                continue;
            }
            const plan = this.planVictimsOnWorker(job, task.workerRow, borrower, considered);
            if (plan !== undefined) {
                return plan;
            }
        }
        return undefined;
    }

    /** Returns the fewest newest tasks of the borrower whose end makes room for tasks of the job on a worker. */
    private planVictimsOnWorker(
        job: JobRow,
        row: number,
        borrower: TeamRow,
        considered: number,
    ): PreemptionPlan | undefined {
        const { shares, workers } = this.state;
        const bound = this.computeMaxTasks(job);
        let free = workers.computeFree(row);
        const victims: TaskRow[] = [];
        let count = 0;
        let neededVictims = 0;
        for (const task of [...this.state.workerTasks[row] ?? []].reverse()) {
            if (count >= bound) {
                break;
            }
            if (task.state !== "stopping") {
                if (task.job.team !== borrower || !isPreemptible(task) || !shares.canLoseTask(borrower, task.shape)) {
                    continue;
                }
                // Marked at once, so that the share of the borrower is judged without the earlier victims.
                this.state.markStopping(task);
                victims.push(task);
            }
            free = addResources(free, task.shape.resources);
            const fitting = Math.min(bound, countFitting(free, job.shape));
            if (fitting > count) {
                count = fitting;
                neededVictims = victims.length;
            }
        }
        for (const task of victims.splice(neededVictims)) {
            this.state.clearStopping(task);
        }
        return count === 0 ? undefined : { workerRow: row, victims, count, rejectedCount: considered - 1 };
    }

    /** Returns the number of tasks of a job for which preemptions on one worker may make room. */
    private computeMaxTasks(job: JobRow): number {
        let bound = Math.min(maxTasksPerWorker, this.state.countUnreserved(job));
        while (bound > 1 && !fitsGrant(job.team, job.shape, bound)) {
            bound--;
        }
        return bound;
    }

    private applyPlan(job: JobRow, plan: PreemptionPlan): void {
        for (const victim of plan.victims) {
            this.preempt(victim, "urgent", job, plan.rejectedCount);
        }
        const reservation: Reservation = {
            job,
            purpose: "preemption",
            parts: [{ workerRow: plan.workerRow, count: plan.count }],
            readyAt: this.state.now,
            replanAt: this.state.now + victimStopTimeoutMs,
        };
        this.state.addReservation(reservation);
    }

    private preempt(
        task: TaskRow,
        reason: PreemptDecision["reason"],
        forJob: JobRow | undefined,
        rejectedCount: number,
    ): void {
        this.state.markStopping(task);
        this.state.decisions.push({
            kind: "preempt",
            task: task.id,
            job: task.job.id,
            team: task.job.team.id,
            worker: this.state.workers.ids[task.workerRow] as PreemptDecision["worker"],
            reason,
            forJob: forJob?.id,
            rejectedCount,
        });
    }
}

function isPreemptible(task: TaskRow): boolean {
    return !task.hasEnded && task.state === "running" && task.job.kind === "batch" && task.job.priority === "normal";
}
