/**
 * Creates the rows of the team table.
 */
import type { TeamId } from "@waxwingroute/core";
import type { TeamRow } from "./rows.js";

/** Returns a team of weight 1 that has no limit and no grant and uses nothing. */
export function createTeam(id: TeamId): TeamRow {
    return {
        id,
        weight: 1,
        limit: undefined,
        grant: undefined,
        overLimit: "finish",
        usedCpu: 0,
        usedMemory: 0,
        usedAccelerators: 0,
        stoppingCpu: 0,
        stoppingMemory: 0,
        stoppingAccelerators: 0,
        waitingCpu: 0,
        waitingMemory: 0,
        waitingAccelerators: 0,
        waitingCount: 0,
        runningCount: 0,
        urgentCpu: 0,
        urgentMemory: 0,
        urgentAccelerators: 0,
        weightedShare: 0,
        urgentWeightedShare: 0,
        isOverShare: false,
        isUrgentFirst: true,
        activeQueues: new Map(),
        queues: new Map(),
        grantBlockedQueues: new Set(),
        preemptible: [],
    };
}
