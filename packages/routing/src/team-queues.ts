/**
 * The waiting jobs of all teams, and the order in which teams get slots.
 *
 * Weighted fair queueing: each team has a virtual time that rises by the service time it uses, divided by its weight. The
 * team with the lowest virtual time goes next.
 */
import type { QueueId, TeamId } from "@waxwingroute/core";
import { Table } from "@waxwingroute/core";
import type { ExecutorPool } from "./executor-pool.js";
import type { ExecutorRow } from "./executor-row.js";
import type { Job } from "./job.js";
import { Lane } from "./lane.js";
import { RetryBudget } from "./retry-budget.js";
import type { ServiceTimes } from "./service-times.js";
import type { RequestFailure, RequestResult, RouterTeam } from "./types.js";

/** A refusal that several requests without keys get. */
export interface SharedRefusal {
    readonly failure: RequestFailure;
    readonly result: Promise<RequestResult>;
    readonly at: number;
}

/** A team and its waiting jobs. */
export interface TeamRow {
    settings: RouterTeam;
    virtualTime: number;
    waiting: number;
    readonly lanes: Map<QueueId, Lane>;
    readonly retries: RetryBudget;
    /** The newest refusal for a full queue. */
    queueFull: SharedRefusal | undefined;
}

/** A job and the executor that it goes to. */
export interface Placement {
    readonly team: TeamRow;
    readonly job: Job;
    readonly row: ExecutorRow;
}

// A job that may not go back to the only free executor must not block those behind it; the scan stays short.
const maxSkippedJobs = 8;

export class TeamQueues {
    private readonly teams = new Table<TeamId, TeamRow>();
    /** Teams with waiting jobs. */
    private readonly active = new Set<TeamRow>();
    private virtualTime = 0;
    private waitingCount = 0;

    constructor(private readonly pool: ExecutorPool, private readonly serviceTimes: ServiceTimes) {}

    get waiting(): number {
        return this.waitingCount;
    }

    get(team: TeamId): TeamRow | undefined {
        return this.teams.get(team);
    }

    update(settings: RouterTeam): void {
        const create = () => ({
            settings,
            virtualTime: 0,
            waiting: 0,
            lanes: new Map<QueueId, Lane>(),
            retries: new RetryBudget(),
            queueFull: undefined,
        });
        this.teams.ensure(settings.team, create).settings = settings;
    }

    /** Removes a team and returns its waiting jobs. */
    remove(team: TeamId): Job[] {
        const row = this.teams.get(team);
        const jobs = row === undefined ? [] : this.listJobs(row);
        jobs.forEach(job => this.removeJob(job));
        this.teams.delete(team);
        return jobs;
    }

    /** Returns all waiting jobs. */
    listWaiting(): Job[] {
        return [...this.active].flatMap(row => this.listJobs(row));
    }

    enqueue(row: TeamRow, job: Job): void {
        if (row.waiting === 0) {
            // A team that was idle does not save up a claim.
            row.virtualTime = Math.max(row.virtualTime, this.virtualTime);
            this.active.add(row);
        }
        let lane = row.lanes.get(job.queue);
        if (lane === undefined) {
            lane = new Lane(job.queue);
            row.lanes.set(job.queue, lane);
        }
        lane.insert(job);
        row.waiting++;
        this.waitingCount++;
    }

    /** Removes a waiting job and returns whether it was there. */
    removeJob(job: Job): boolean {
        const row = this.teams.get(job.team);
        const lane = row?.lanes.get(job.queue);
        if (row === undefined || lane === undefined || !lane.remove(job)) {
            return false;
        }
        if (lane.size === 0) {
            row.lanes.delete(job.queue);
        }
        row.waiting--;
        this.waitingCount--;
        if (row.waiting === 0) {
            this.active.delete(row);
        }
        return true;
    }

    /** Returns the milliseconds that a new job is likely to wait for a slot. */
    estimateWait(row: TeamRow, queue: QueueId, deadline: number, now: number): number {
        if (row.waiting === 0) {
            return 0;
        }
        let workMs = 0;
        for (const lane of row.lanes.values()) {
            workMs += lane.countAhead(deadline) * this.serviceTimes.estimateMean(lane.queue, now);
        }
        return workMs === 0 ? 0 : workMs / Math.max(1, this.estimateSlots(row, queue, now));
    }

    /** Returns the next job to send and its executor, or `undefined` if no waiting job can be sent. */
    choose(now: number): Placement | undefined {
        let best: Placement | undefined;
        const unknownSlots = this.pool.countUnknownSlots(now);
        for (const team of this.active) {
            if (best !== undefined && team.virtualTime >= best.team.virtualTime) {
                continue;
            }
            if (this.pool.countRunning(team.settings.team) + unknownSlots < team.settings.slots) {
                best = this.chooseOfTeam(team, now) ?? best;
            }
        }
        return best;
    }

    /** Charges a team the expected service time of a job that is sent. */
    startUse(row: TeamRow, expectedMs: number): void {
        this.virtualTime = Math.max(this.virtualTime, row.virtualTime);
        row.virtualTime += expectedMs / row.settings.weight;
    }

    /** Adds the difference between the measured and the expected service time. */
    updateUse(row: TeamRow, differenceMs: number): void {
        row.virtualTime += differenceMs / row.settings.weight;
    }

    /** Returns the waiting jobs whose deadline is at most `time`. */
    listDue(time: number): Job[] {
        const due: Job[] = [];
        for (const row of this.active) {
            for (const lane of row.lanes.values()) {
                for (let position = 0; (lane.get(position)?.deadline ?? Infinity) <= time; position++) {
                    due.push(lane.get(position)!);
                }
            }
        }
        return due;
    }

    private chooseOfTeam(team: TeamRow, now: number): Placement | undefined {
        let best: Placement | undefined;
        for (const lane of team.lanes.values()) {
            for (let position = 0; position < maxSkippedJobs; position++) {
                const job = lane.get(position);
                if (job === undefined || best !== undefined && job.deadline >= best.job.deadline) {
                    break;
                }
                const row = this.pool.choose(job, now);
                if (row !== undefined) {
                    best = { team, job, row };
                    break;
                }
            }
        }
        return best;
    }

    /** Returns the slots that a team can expect: its weighted part, or what the others leave, within its grant. */
    private estimateSlots(row: TeamRow, queue: QueueId, now: number): number {
        const usable = this.pool.countUsableSlots(queue, now);
        let weights = 0;
        let others = 0;
        for (const other of this.active) {
            weights += other.settings.weight;
            others += other === row ? 0 : this.pool.countRunning(other.settings.team);
        }
        const part = usable * row.settings.weight / weights;
        return Math.min(row.settings.slots, Math.max(part, usable - others));
    }

    private listJobs(row: TeamRow): Job[] {
        return [...row.lanes.values()].flatMap(lane =>
            Array.from({ length: lane.size }, (_, index) => lane.get(index)!)
        );
    }
}
