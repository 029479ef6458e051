/**
 * Counts the tasks that an earlier owner may have started on executors that have not answered yet. Until these tasks
 * are listed or their leases have run out, they count toward the limit of their team like running ones, but not beyond what
 * the silent executors can hold.
 */
import type { ResourceVector } from "@waxwingroute/core";
import { addResources, resourceNames, zeroResources } from "@waxwingroute/core";
import type { JobRow, TaskRow, TeamRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { getChargedResources } from "./state.js";

/** Brings `TeamRow.unknown` up to date. Costs nothing once no task is unknown. */
export function updateUnknownUsage(state: SchedulerState): void {
    if (!state.hasUnknownTasks) {
        return;
    }
    const sums = new Map<TeamRow, ResourceVector>();
    for (const job of state.jobs.values()) {
        for (const task of listUnknownTasks(job)) {
            sums.set(job.team, addResources(sums.get(job.team) ?? zeroResources, getChargedResources(task.step)));
        }
    }
    const unreachableCapacity = computeUnreachableCapacity(state);
    for (const team of state.teams.values()) {
        team.unknownUsage = computeMinimum(sums.get(team) ?? zeroResources, unreachableCapacity);
    }
    state.hasUnknownTasks = sums.size > 0;
}

/** Returns the tasks of a job of which nothing is known since the change of owner. */
export function listUnknownTasks(job: JobRow): TaskRow[] {
    return [...job.occurrences.values()].flatMap(occurrence =>
        occurrence.steps.flatMap(step => step.tasks.filter(task => task.state === "unknown"))
    );
}

/** Returns what the executors that do not answer can hold together; without bound if the capacity of one is not known. */
function computeUnreachableCapacity(state: SchedulerState): ResourceVector {
    let capacity = zeroResources;
    for (const executor of state.executors.values()) {
        if (!executor.isReachable) {
            const isKnown = resourceNames.some(name => executor.capacity[name] > 0);
            capacity = addResources(capacity, isKnown ? executor.capacity : unboundedResources);
        }
    }
    return capacity;
}

const unboundedResources: ResourceVector = { cpuMillis: Infinity, memoryMb: Infinity, accelerators: Infinity };

function computeMinimum(first: ResourceVector, second: ResourceVector): ResourceVector {
    return {
        cpuMillis: Math.min(first.cpuMillis, second.cpuMillis),
        memoryMb: Math.min(first.memoryMb, second.memoryMb),
        accelerators: Math.min(first.accelerators, second.accelerators),
    };
}
