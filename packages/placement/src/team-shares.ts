/**
 * Weighted dominant shares of teams, and checks against their grants.
 */
import type { ResourceVector } from "@waxwingroute/core";
import { zeroResources } from "@waxwingroute/core";
import type { TaskShape, TeamRow } from "./rows.js";
import type { Objective } from "./types.js";
import type { WorkerTable } from "./worker-table.js";

/** Computes shares of the capacity of the workers in rotation. */
export class TeamShares {
    /** Sum of the weights of the active teams, which have running or waiting tasks. */
    activeWeight = 0;
    private readonly workers: WorkerTable;
    private readonly objective: Objective;

    constructor(workers: WorkerTable, objective: Objective) {
        this.workers = workers;
        this.objective = objective;
    }

    /** Recomputes the sum of the weights of active teams. */
    refreshActiveWeight(teams: Iterable<TeamRow>): void {
        this.activeWeight = 0;
        for (const team of teams) {
            if (team.waitingCount > 0 || team.runningCount > 0) {
                this.activeWeight += team.weight;
            }
        }
    }

    /** Recomputes the share of a team and returns whether its position in the order of teams may have changed. */
    refreshShare(team: TeamRow): boolean {
        const share = this.computeShare(team.usedCpu, team.usedMemory, team.usedAccelerators) / team.weight;
        const urgentShare = this.computeShare(team.urgentCpu, team.urgentMemory, team.urgentAccelerators) / team.weight;
        const isOverShare = share * this.activeWeight >= 1;
        // For fairness, urgent work comes first only while it alone is within the share of its team. If the team as a
        // whole is above its share, its normal work waits instead.
        const isUrgentFirst = this.objective === "waiting" || urgentShare * this.activeWeight < 1;
        const hasChanged = share !== team.weightedShare || urgentShare !== team.urgentWeightedShare
            || isOverShare !== team.isOverShare || isUrgentFirst !== team.isUrgentFirst;
        team.weightedShare = share;
        team.urgentWeightedShare = urgentShare;
        team.isOverShare = isOverShare;
        team.isUrgentFirst = isUrgentFirst;
        return hasChanged;
    }

    /** Returns whether a team uses at least the part of the capacity that its weight gives it among active teams. */
    isOverShare(team: TeamRow): boolean {
        return team.weightedShare * this.activeWeight >= 1;
    }

    /** Returns whether a team stays at or above its share if one more task of a shape stops. */
    canLoseTask(team: TeamRow, shape: TaskShape): boolean {
        const share = this.computeShare(
            team.usedCpu - team.stoppingCpu - shape.cpu,
            team.usedMemory - team.stoppingMemory - shape.memory,
            team.usedAccelerators - team.stoppingAccelerators - shape.accelerators,
        );
        return share / team.weight * this.activeWeight >= 1;
    }

    private computeShare(cpu: number, memory: number, accelerators: number): number {
        const workers = this.workers;
        let share = workers.totalCpu > 0 ? cpu / workers.totalCpu : 0;
        share = workers.totalMemory > 0 ? Math.max(share, memory / workers.totalMemory) : share;
        return workers.totalAccelerators > 0 ? Math.max(share, accelerators / workers.totalAccelerators) : share;
    }
}

/** Returns how much a team may use in this shard: nothing for a team with a limit before its first grant. */
export function getGrant(team: TeamRow): ResourceVector | undefined {
    return team.grant ?? (team.limit === undefined ? undefined : zeroResources);
}

/** Returns whether `count` more tasks stay within the grant of their team. */
export function fitsGrant(team: TeamRow, shape: TaskShape, count: number): boolean {
    const grant = getGrant(team);
    return grant === undefined
        || team.usedCpu + shape.cpu * count <= grant.cpuMillis
            && team.usedMemory + shape.memory * count <= grant.memoryMb
            && team.usedAccelerators + shape.accelerators * count <= grant.accelerators;
}

/** Returns whether a team uses more than its grant, not counting stopping tasks. */
export function isAboveGrant(team: TeamRow): boolean {
    const grant = getGrant(team);
    return grant !== undefined
        && (team.usedCpu - team.stoppingCpu > grant.cpuMillis
            || team.usedMemory - team.stoppingMemory > grant.memoryMb
            || team.usedAccelerators - team.stoppingAccelerators > grant.accelerators);
}
