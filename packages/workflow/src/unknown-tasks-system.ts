/**
 * Accounts for tasks that an earlier owner may have started on executors that have not answered yet. Until such a task
 * is listed or its lease has expired, it counts toward the limit of its team like a running task, but all such tasks of
 * a team together count for no more than the capacity of the unreachable executors.
 */
import type { ResourceVector } from "@waxwingroute/core";
import { addResources, resourceNames, zeroResources } from "@waxwingroute/core";
import type { JobRow, TaskRow, TeamRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { getChargedResources } from "./state.js";

/** Recomputes `TeamRow.unknownUsage`. Does nothing once no task is `unknown`, to keep ticks cheap. */
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

/** Returns the tasks of a job in the state `unknown`. */
export function listUnknownTasks(job: JobRow): TaskRow[] {
    return [...job.occurrences.values()].flatMap(occurrence =>
        occurrence.steps.flatMap(step => step.tasks.filter(task => task.state === "unknown"))
    );
}

/** Returns the total capacity of the unreachable executors; infinite if the capacity of one is not known. */
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
