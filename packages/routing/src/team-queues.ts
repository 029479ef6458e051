/**
 * The waiting requests of all teams, and the order in which teams get slots.
 *
 * Weighted fair queueing: each team has a virtual time that rises by the service time of its requests, divided by its
 * weight. The team with the lowest virtual time is next.
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

/** A refusal that several requests without a key share. */
export interface SharedRefusal {
    readonly failure: RequestFailure;
    readonly result: Promise<RequestResult>;
    readonly at: number;
}

/** A team and its waiting requests. */
export interface TeamRow {
    settings: RouterTeam;
    virtualTime: number;
    waiting: number;
    readonly deadlineQueues: Map<QueueId, DeadlineQueue>;
    readonly retryBudget: RetryBudget;
    /** The latest refusal because the team had too many waiting requests. */
    queueFullRefusal: SharedRefusal | undefined;
}

/** A request and the executor that it is sent to. */
export interface Assignment {
    readonly team: TeamRow;
    readonly pending: PendingRequest;
    readonly row: ExecutorRow;
}

// A request that already failed on the only free executor must not block those behind it; the limit bounds the scan.
const maxScannedRequests = 8;

/** The teams of a shard and their waiting requests. */
export class TeamQueues {
    private readonly teams = new Table<TeamId, TeamRow>();
    /** Teams with waiting requests. */
    private readonly activeTeams = new Set<TeamRow>();
    /** Highest virtual time at which a team has sent a request. */
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

    /** Removes a team and returns its waiting requests. */
    removeTeam(team: TeamId): PendingRequest[] {
        const removedTeam = this.teams.get(team);
        const removed = removedTeam === undefined ? [] : this.listRequests(removedTeam);
        removed.forEach(pending => this.removeRequest(pending));
        this.teams.delete(team);
        return removed;
    }

    /** Returns all waiting requests. */
    listWaiting(): PendingRequest[] {
        return [...this.activeTeams].flatMap(team => this.listRequests(team));
    }

    enqueue(team: TeamRow, pending: PendingRequest): void {
        if (team.waiting === 0) {
            // A team that was idle gets no extra share for the time in which it sent nothing.
            team.virtualTime = Math.max(team.virtualTime, this.virtualTime);
            this.activeTeams.add(team);
        }
        let deadlineQueue = team.deadlineQueues.get(pending.queue);
        if (deadlineQueue === undefined) {
            deadlineQueue = new DeadlineQueue(pending.queue);
            team.deadlineQueues.set(pending.queue, deadlineQueue);
        }
        deadlineQueue.insert(pending);
        team.waiting++;
        this.waitingCount++;
    }

    /** Removes a waiting request and returns whether it was there. */
    removeRequest(pending: PendingRequest): boolean {
        const team = this.teams.get(pending.team);
        const deadlineQueue = team?.deadlineQueues.get(pending.queue);
        if (team === undefined || deadlineQueue === undefined || !deadlineQueue.remove(pending)) {
            return false;
        }
        if (deadlineQueue.size === 0) {
            team.deadlineQueues.delete(pending.queue);
        }
        team.waiting--;
        this.waitingCount--;
        if (team.waiting === 0) {
            this.activeTeams.delete(team);
        }
        return true;
    }

    /** Returns how many milliseconds a new request is likely to wait for a slot. */
    estimateWait(team: TeamRow, queue: QueueId, deadline: number, now: number): number {
        if (team.waiting === 0) {
            return 0;
        }
        let workMs = 0;
        for (const deadlineQueue of team.deadlineQueues.values()) {
            workMs += deadlineQueue.countAhead(deadline) * this.serviceTimes.estimateMean(deadlineQueue.queue, now);
        }
        return workMs === 0 ? 0 : workMs / Math.max(1, this.estimateTeamSlots(team, queue, now));
    }

    /** Returns the next request to send and its executor, or `undefined` if no waiting request can be sent. */
    chooseNext(now: number): Assignment | undefined {
        let best: Assignment | undefined;
        const neverListedSlots = this.pool.countNeverListedSlots(now);
        for (const team of this.activeTeams) {
            if (best !== undefined && team.virtualTime >= best.team.virtualTime) {
                continue;
            }
            if (this.pool.countUsedSlots(team.settings.team) + neverListedSlots < team.settings.slots) {
                best = this.chooseForTeam(team, now) ?? best;
            }
        }
        return best;
    }

    /** Adds the expected service time of a request that is sent to the virtual time of its team. */
    addExpectedServiceTime(team: TeamRow, expectedMs: number): void {
        this.virtualTime = Math.max(this.virtualTime, team.virtualTime);
        team.virtualTime += expectedMs / team.settings.weight;
    }

    /** Corrects the virtual time of a team by the difference between the measured and the expected service time. */
    applyServiceTimeDifference(team: TeamRow, differenceMs: number): void {
        team.virtualTime += differenceMs / team.settings.weight;
    }

    /** Returns the waiting requests whose deadline is at most `time`. */
    listExpired(time: number): PendingRequest[] {
        const expired: PendingRequest[] = [];
        for (const team of this.activeTeams) {
            for (const deadlineQueue of team.deadlineQueues.values()) {
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

    /**
     * Returns the slots that a team can expect: its weighted share, or what the other teams leave if that is more,
     * within its grant.
     */
    private estimateTeamSlots(team: TeamRow, queue: QueueId, now: number): number {
        const usableSlots = this.pool.countUsableSlots(queue, now);
        let weightSum = 0;
        let otherTeamsSlots = 0;
        for (const other of this.activeTeams) {
            weightSum += other.settings.weight;
            otherTeamsSlots += other === team ? 0 : this.pool.countUsedSlots(other.settings.team);
        }
        const weightedShare = usableSlots * team.settings.weight / weightSum;
        return Math.min(team.settings.slots, Math.max(weightedShare, usableSlots - otherTeamsSlots));
    }

    private listRequests(team: TeamRow): PendingRequest[] {
        return [...team.deadlineQueues.values()].flatMap(deadlineQueue =>
            Array.from({ length: deadlineQueue.size }, (_, index) => deadlineQueue.get(index)!)
        );
    }
}
