/**
 * Accounts for tasks that an earlier owner may have started on executors that have not answered yet. Until such a task
 * is listed or its lease has expired, it counts toward the limit of its team like a running task, but all such tasks of
 * a team together count for no more than the capacity of the unreachable executors.
 *
 * A listed run whose job is not known may belong to any team. Nothing else starts on its executor, and what is free
 * there counts toward the limits of all teams. Several such executors add up, since all runs may belong to one team. This
 * holds up all teams, so it ends when the run must have ended: `stopMs` and a margin after the executor was reachable and
 * listed the run, and in any case `leaseMs` later than that after the run was first listed.
 */
import type { ResourceVector } from "@waxwingroute/core";
import { addResources, resourceNames, zeroResources } from "@waxwingroute/core";
import type { ExecutorRow, JobRow, RunOfUnknownTask, TaskRow, TeamRow } from "./rows.js";
import { toRunKey } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { getChargedResources, getFreeResources } from "./state.js";
import type { ListedRun } from "./types.js";

/** Time for the order to stop a run and for the listing of its end, ms, as far as `stopMs` does not include them. */
const stopMarginMs = 1_000;

/** Records a listed run whose task is not known. The caller sends the order to stop it. */
export function addRunOfUnknownTask(executor: ExecutorRow | undefined, listed: ListedRun, now: number): void {
    const key = toRunKey(listed.task, listed.run);
    if (executor?.runsOfUnknownTasks.has(key) === false) {
        executor.runsOfUnknownTasks.set(key, { listedAt: now, reachableSince: now });
    }
}

/** Recomputes `TeamRow.unknownUsage`. Looks at the jobs only while a task is `unknown`, to keep ticks cheap. */
export function updateUnknownUsage(state: SchedulerState, now: number): void {
    const ofAnyTeam = computeUsageOfUnknownTeams(state, now);
    if (!state.hasUnknownTasks && !state.hasUnknownUsage && ofAnyTeam === zeroResources) {
        return;
    }
    const sums = state.hasUnknownTasks ? sumUnknownTasks(state) : new Map<TeamRow, ResourceVector>();
    const unreachableCapacity = computeUnreachableCapacity(state);
    for (const team of state.teams.values()) {
        const ofTeam = computeMinimum(sums.get(team) ?? zeroResources, unreachableCapacity);
        team.unknownUsage = addResources(ofTeam, ofAnyTeam);
    }
    state.hasUnknownTasks = sums.size > 0;
    state.hasUnknownUsage = state.hasUnknownTasks || ofAnyTeam !== zeroResources;
}

function sumUnknownTasks(state: SchedulerState): Map<TeamRow, ResourceVector> {
    const sums = new Map<TeamRow, ResourceVector>();
    for (const job of state.jobs.values()) {
        for (const task of listUnknownTasks(job)) {
            sums.set(job.team, addResources(sums.get(job.team) ?? zeroResources, getChargedResources(task.step)));
        }
    }
    return sums;
}

/** Returns an upper bound of what listed runs use whose teams are not known. */
function computeUsageOfUnknownTeams(state: SchedulerState, now: number): ResourceVector {
    let usage = zeroResources;
    for (const executor of state.executors.values()) {
        const runs = [...executor.runsOfUnknownTasks.values()];
        runs.forEach(run => updateReachableSince(run, executor, now));
        if (runs.some(run => canStillRun(state, run, now))) {
            const free = hasKnownCapacity(executor) ? getFreeResources(executor) : unboundedResources;
            usage = addResources(usage, computeMaximum(free, zeroResources));
        }
    }
    return usage;
}

/** An order to stop reaches the executor only while it is reachable. */
function updateReachableSince(run: RunOfUnknownTask, { isReachable }: ExecutorRow, now: number): void {
    run.reachableSince = isReachable ? run.reachableSince ?? now : undefined;
}

function canStillRun(
    { options }: SchedulerState,
    { listedAt, reachableSince }: RunOfUnknownTask,
    now: number,
): boolean {
    const stopMs = options.stopMs + stopMarginMs;
    return now < Math.min(listedAt + options.leaseMs + stopMs, (reachableSince ?? Infinity) + stopMs);
}

function hasKnownCapacity({ capacity }: ExecutorRow): boolean {
    return resourceNames.some(name => capacity[name] > 0);
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
            capacity = addResources(capacity, hasKnownCapacity(executor) ? executor.capacity : unboundedResources);
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

function computeMaximum(first: ResourceVector, second: ResourceVector): ResourceVector {
    return {
        cpuMillis: Math.max(first.cpuMillis, second.cpuMillis),
        memoryMb: Math.max(first.memoryMb, second.memoryMb),
        accelerators: Math.max(first.accelerators, second.accelerators),
    };
}
