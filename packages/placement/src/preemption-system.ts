/**
 * Preemption: for urgent work that no worker has room for, and for teams above a lowered grant.
 *
 * Only running batch tasks of normal priority are preempted. For urgent work they are taken only from teams above their
 * share, called borrowers, and only as long as the team stays at or above its share without them. The tasks chosen for
 * preemption are called victims.
 */
import { addResources, fitsWithin } from "@waxwingroute/core";
import { countFitting } from "./rows.js";
import type { JobRow, Reservation, TaskRow, TeamRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { fitsGrant, isAboveGrant } from "./team-shares.js";
import type { PreemptDecision } from "./types.js";

/** Most plans for urgent work that one tick carries out; each makes room on one worker. */
const maxPlansPerTick = 64;
/** Most borrowers that are considered for one plan. */
const maxBorrowers = 4;
/** Most running tasks of each borrower that are considered for one plan. */
const maxConsideredTasks = 16;
/** Time for which the list of borrowers is reused, in milliseconds; shares are still checked for each chosen task. */
const borrowersValidMs = 100;
/** Most urgent queues that one tick visits. */
const maxVisitedQueues = 64;
/** Time after which capacity is no longer held if the preempted tasks have not ended, in milliseconds. */
const victimStopTimeoutMs = 30_000;
/** Delay before preemption is planned again for a queue after none was possible, in milliseconds. */
const preemptRetryDelayMs = 250;
/** Most urgent tasks for which one plan makes room. */
const maxTasksPerWorker = 8;

/** Tasks to preempt on one worker, so that `count` tasks of a job fit there. */
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

    /** Preempts the newest tasks of teams that are above their grant and set `overLimit` to `preempt`. */
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
        let planCount = 0;
        let remainingVisits = Math.min(queues.urgentQueues.size, maxVisitedQueues);
        for (const queue of queues.urgentQueues) {
            remainingVisits--;
            if (remainingVisits < 0) {
                break;
            }
            // Moved to the end, so that each tick visits the queues whose last visit is the longest ago.
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
            while (
                planCount < maxPlansPerTick && !this.state.isBudgetExhausted && this.state.countUnreserved(job) > 0
            ) {
                if (borrowers.length === 0 || !this.preemptForJob(job, borrowers)) {
                    queue.preemptRetryAt = now + preemptRetryDelayMs;
                    break;
                }
                planCount++;
            }
        }
    }

    /** Returns the teams above their share, the one with the largest weighted share first. */
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
        let consideredCount = 0;
        for (let index = borrower.preemptible.length - 1; index >= 0 && consideredCount < maxConsideredTasks; index--) {
            const task = borrower.preemptible[index] as TaskRow;
            if (!isPreemptible(task)) {
                continue;
            }
            consideredCount++;
            if (
                !workers.canPlace(task.workerRow) || workers.hasHolds(task.workerRow)
                || !fitsWithin(job.shape.resources, workers.getCapacity(task.workerRow))
            ) {
                continue;
            }
            const plan = this.planVictimsOnWorker(job, task.workerRow, borrower, consideredCount);
            if (plan !== undefined) {
                return plan;
            }
        }
        return undefined;
    }

    /** Returns the fewest of the newest tasks of a borrower on a worker whose end makes room for tasks of the job. */
    private planVictimsOnWorker(
        job: JobRow,
        row: number,
        borrower: TeamRow,
        consideredCount: number,
    ): PreemptionPlan | undefined {
        const { shares, workers } = this.state;
        const maxCount = this.computeMaxTasks(job);
        let free = workers.computeFree(row);
        const victims: TaskRow[] = [];
        let count = 0;
        let neededVictimCount = 0;
        for (const task of [...this.state.workerTasks[row] ?? []].reverse()) {
            if (count >= maxCount) {
                break;
            }
            if (task.state !== "stopping") {
                if (task.job.team !== borrower || !isPreemptible(task) || !shares.canLoseTask(borrower, task.shape)) {
                    continue;
                }
                // Marked at once, so that `canLoseTask` does not count the earlier victims.
                this.state.markStopping(task);
                victims.push(task);
            }
            free = addResources(free, task.shape.resources);
            const fitting = Math.min(maxCount, countFitting(free, job.shape));
            if (fitting > count) {
                count = fitting;
                neededVictimCount = victims.length;
            }
        }
        for (const task of victims.splice(neededVictimCount)) {
            this.state.clearStopping(task);
        }
        return count === 0 ? undefined : { workerRow: row, victims, count, rejectedCount: consideredCount - 1 };
    }

    /** Returns the largest number of tasks of a job for which one plan may make room. */
    private computeMaxTasks(job: JobRow): number {
        let maxCount = Math.min(maxTasksPerWorker, this.state.countUnreserved(job));
        while (maxCount > 1 && !fitsGrant(job.team, job.shape, maxCount)) {
            maxCount--;
        }
        return maxCount;
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
