/**
 * Totals for metrics, and the demand by which limits are divided among shards.
 */
import type { PlacementState } from "./state.js";
import type { EngineSummary, TeamDemand } from "./types.js";

/** Returns the use and the demand of every team. */
export function listTeamDemands(state: PlacementState): TeamDemand[] {
    return [...state.teams.values()].map(team => ({
        team: team.id,
        used: { cpuMillis: team.usedCpu, memoryMb: team.usedMemory, accelerators: team.usedAccelerators },
        waiting: {
            cpuMillis: team.waitingCpu,
            memoryMb: team.waitingMemory,
            accelerators: team.waitingAccelerators,
        },
    }));
}

/** Returns the totals of all tables. */
export function computeSummary(state: PlacementState): EngineSummary {
    const { workers } = state;
    let waitingCount = 0;
    let used = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const team of state.teams.values()) {
        waitingCount += team.waitingCount;
        used = {
            cpuMillis: used.cpuMillis + team.usedCpu,
            memoryMb: used.memoryMb + team.usedMemory,
            accelerators: used.accelerators + team.usedAccelerators,
        };
    }
    return {
        workerCount: workers.size,
        jobCount: state.jobs.size,
        taskCount: state.tasks.size,
        waitingCount,
        ejectedWorkerCount: state.health.ejected.size,
        reservationCount: state.reservations.size,
        capacity: {
            cpuMillis: workers.totalCpu,
            memoryMb: workers.totalMemory,
            accelerators: workers.totalAccelerators,
        },
        used,
    };
}
