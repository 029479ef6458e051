/**
 * The waiting jobs of all teams, and the order in which teams get slots.
 *
 * Weighted fair queueing: each team has a virtual time that rises by the service time it uses, divided by its weight. The
 * team with the lowest virtual time goes next.
 */
import type { QueueId, TeamId } from "@waxwingroute/core";
import { Table } from "@waxwingroute/core";
import { DeadlineQueue } from "./deadline-queue.js";
import type { ExecutorPool } from "./executor-pool.js";
import type { ExecutorRow } from "./executor-row.js";
import type { PendingRequest } from "./pending-request.js";
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
    readonly deadlineQueues: Map<QueueId, DeadlineQueue>;
    readonly retryBudget: RetryBudget;
    /** The newest refusal for a full queue. */
    queueFullRefusal: SharedRefusal | undefined;
}

/** A job and the executor that it goes to. */
export interface Assignment {
    readonly team: TeamRow;
    readonly pending: PendingRequest;
    readonly row: ExecutorRow;
}

// A job that may not go back to the only free executor must not block those behind it; the scan stays short.
const maxScannedRequests = 8;

export class TeamQueues {
    private readonly teams = new Table<TeamId, TeamRow>();
    /** Teams with waiting jobs. */
    private readonly activeTeams = new Set<TeamRow>();
    private virtualTime = 0;
    private waitingCount = 0;

    constructor(private readonly pool: ExecutorPool, private readonly serviceTimes: ServiceTimes) {}

    get waiting(): number {
        return this.waitingCount;
    }

    getTeam(team: TeamId): TeamRow | undefined {
        return this.teams.get(team);
    }

    updateTeam(settings: RouterTeam): void {
        const create = () => ({
            settings,
            virtualTime: 0,
            waiting: 0,
            deadlineQueues: new Map<QueueId, DeadlineQueue>(),
            retryBudget: new RetryBudget(),
            queueFullRefusal: undefined,
        });
        this.teams.ensure(settings.team, create).settings = settings;
    }

    /** Removes a team and returns its waiting jobs. */
    removeTeam(team: TeamId): PendingRequest[] {
        const row = this.teams.get(team);
        const removed = row === undefined ? [] : this.listRequests(row);
        removed.forEach(pending => this.removeRequest(pending));
        this.teams.delete(team);
        return removed;
    }

    /** Returns all waiting jobs. */
    listWaiting(): PendingRequest[] {
        return [...this.activeTeams].flatMap(row => this.listRequests(row));
    }

    enqueue(row: TeamRow, pending: PendingRequest): void {
        if (row.waiting === 0) {
            // A team that was idle does not save up a claim.
            row.virtualTime = Math.max(row.virtualTime, this.virtualTime);
            this.activeTeams.add(row);
        }
        let deadlineQueue = row.deadlineQueues.get(pending.queue);
        if (deadlineQueue === undefined) {
            deadlineQueue = new DeadlineQueue(pending.queue);
            row.deadlineQueues.set(pending.queue, deadlineQueue);
        }
        deadlineQueue.insert(pending);
        row.waiting++;
        this.waitingCount++;
    }

    /** Removes a waiting job and returns whether it was there. */
    removeRequest(pending: PendingRequest): boolean {
        const row = this.teams.get(pending.team);
        const deadlineQueue = row?.deadlineQueues.get(pending.queue);
        if (row === undefined || deadlineQueue === undefined || !deadlineQueue.remove(pending)) {
            return false;
        }
        if (deadlineQueue.size === 0) {
            row.deadlineQueues.delete(pending.queue);
        }
        row.waiting--;
        this.waitingCount--;
        if (row.waiting === 0) {
            this.activeTeams.delete(row);
        }
        return true;
    }

    /** Returns the milliseconds that a new job is likely to wait for a slot. */
    estimateWait(row: TeamRow, queue: QueueId, deadline: number, now: number): number {
        if (row.waiting === 0) {
            return 0;
        }
        let workMs = 0;
        for (const deadlineQueue of row.deadlineQueues.values()) {
            workMs += deadlineQueue.countAhead(deadline) * this.serviceTimes.estimateMean(deadlineQueue.queue, now);
        }
        return workMs === 0 ? 0 : workMs / Math.max(1, this.estimateTeamSlots(row, queue, now));
    }

    /** Returns the next job to send and its executor, or `undefined` if no waiting job can be sent. */
    chooseNext(now: number): Assignment | undefined {
        let best: Assignment | undefined;
        const unknownSlots = this.pool.countNeverListedSlots(now);
        for (const team of this.activeTeams) {
            if (best !== undefined && team.virtualTime >= best.team.virtualTime) {
                continue;
            }
            if (this.pool.countUsedSlots(team.settings.team) + unknownSlots < team.settings.slots) {
                best = this.chooseForTeam(team, now) ?? best;
            }
        }
        return best;
    }

    /** Charges a team the expected service time of a job that is sent. */
    addExpectedServiceTime(row: TeamRow, expectedMs: number): void {
        this.virtualTime = Math.max(this.virtualTime, row.virtualTime);
        row.virtualTime += expectedMs / row.settings.weight;
    }

    /** Adds the difference between the measured and the expected service time. */
    applyServiceTimeDifference(row: TeamRow, differenceMs: number): void {
        row.virtualTime += differenceMs / row.settings.weight;
    }

    /** Returns the waiting jobs whose deadline is at most `time`. */
    listExpired(time: number): PendingRequest[] {
        const expired: PendingRequest[] = [];
        for (const row of this.activeTeams) {
            for (const deadlineQueue of row.deadlineQueues.values()) {
                for (let position = 0; (deadlineQueue.get(position)?.deadline ?? Infinity) <= time; position++) {
                    expired.push(deadlineQueue.get(position)!);
                }
            }
        }
        return expired;
    }

    private chooseForTeam(team: TeamRow, now: number): Assignment | undefined {
        let best: Assignment | undefined;
        for (const deadlineQueue of team.deadlineQueues.values()) {
            for (let position = 0; position < maxScannedRequests; position++) {
                const pending = deadlineQueue.get(position);
                if (pending === undefined || best !== undefined && pending.deadline >= best.pending.deadline) {
                    break;
                }
                const row = this.pool.chooseExecutor(pending, now);
                if (row !== undefined) {
                    best = { team, pending, row };
                    break;
                }
            }
        }
        return best;
    }

    /** Returns the slots that a team can expect: its weighted part, or what the others leave, within its grant. */
    private estimateTeamSlots(row: TeamRow, queue: QueueId, now: number): number {
        const usableSlots = this.pool.countUsableSlots(queue, now);
        let weightSum = 0;
        let otherTeamsSlots = 0;
        for (const other of this.activeTeams) {
            weightSum += other.settings.weight;
            otherTeamsSlots += other === row ? 0 : this.pool.countUsedSlots(other.settings.team);
        }
        const weightedShare = usableSlots * row.settings.weight / weightSum;
        return Math.min(row.settings.slots, Math.max(weightedShare, usableSlots - otherTeamsSlots));
    }

    private listRequests(row: TeamRow): PendingRequest[] {
        return [...row.deadlineQueues.values()].flatMap(deadlineQueue =>
            Array.from({ length: deadlineQueue.size }, (_, index) => deadlineQueue.get(index)!)
        );
    }
}
