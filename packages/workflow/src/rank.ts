/** Ranks steps: the most urgent step gets executors and advice first. */
import { isLikelyToCrash } from "./crash-system.js";
import type { StepRow } from "./rows.js";
import type { SchedulerState } from "./state.js";

/**
 * An occurrence that takes more than this multiple of the time that its objective allows is too late to be of use. It
 * still runs, after all other work, because its job succeeds only when all its steps are done.
 */
const maxUsefulFactor = 3;

/** Tier of steps that are too late to be of use. */
export const tooLateTier = 3;
/** Tier of steps whose tasks are likely to crash their executors. */
const crashedTier = 4;

/** A step with the values by which it is ranked. */
export interface RankedStep {
    readonly step: StepRow;
    /**
     * 0: can meet its objective, or is a service; 1: late; 2: over the rate of its team; 3: too late to be of use; 4:
     * its tasks are likely to crash their executors.
     */
    readonly tier: number;
    readonly priority: number;
    /** Time until the objective minus the remaining critical path, ms; negative if the objective cannot be met. */
    readonly slackMs: number;
    /** Number of executors that tasks of the job have crashed. */
    readonly crashCount: number;
}

/** Returns the open steps with waiting tasks, the most urgent first. */
export function selectRankedSteps(state: SchedulerState, now: number): RankedStep[] {
    const ranked: RankedStep[] = [];
    for (const step of state.openSteps) {
        if (step.waitingCount > 0) {
            ranked.push(computeRank(state, now, step));
        }
    }
    return ranked.sort(compareRanks);
}

function computeRank(state: SchedulerState, now: number, step: StepRow): RankedStep {
    const { job, objectiveAt, dueAt } = step.occurrence;
    const queue = state.queues.get(job.submission.queue);
    const slackMs = objectiveAt - now - step.criticalPathMs * (queue?.estimateRatio ?? 1);
    const endsAt = now + step.criticalPathMs * (queue?.estimateRatio ?? 1);
    const tooLateAt = dueAt + maxUsefulFactor * (objectiveAt - dueAt);
    // The rate is checked first: a job over it displaces no useful work of others, even if it can meet its objective.
    const tier = job.isOverTeamRate ? 2 : endsAt <= objectiveAt ? 0 : endsAt <= tooLateAt ? 1 : tooLateTier;
    const isServing = step.spec.isLongRunning && !step.spec.usesIdleProcessors;
    const knownTier = isLikelyToCrash(step) ? crashedTier : isServing ? 0 : tier;
    return { step, tier: knownTier, priority: queue?.rules.priority ?? 0, slackMs, crashCount: job.crashCount };
}

function compareRanks(first: RankedStep, second: RankedStep): number {
    if (first.tier !== second.tier) {
        return first.tier - second.tier;
    }
    // A job whose executor crashed for another reason is finished by its next probe, so these come before jobs that have
    // crashed an executor again.
    if (first.tier === crashedTier && first.crashCount !== second.crashCount) {
        return first.crashCount - second.crashCount;
    }
    // Steps of priority 0 are short and urgent, so they come first in their tier. Within each group, the least slack
    // comes first.
    const firstClass = first.priority === 0 ? 0 : 1;
    const secondClass = second.priority === 0 ? 0 : 1;
    return firstClass - secondClass || first.slackMs - second.slackMs;
}
